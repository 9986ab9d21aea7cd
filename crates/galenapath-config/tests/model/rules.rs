//! The rules of `docs/SPEC-configuration.md`, which are checked in every world.

use super::world::{Answer, Mutation, World};
use galenapath_config::{Config, Version};

impl World {
    /// Returns the rule that the world violates, if any.
    pub fn violated_rule(&self) -> Option<&'static str> {
        let newest = self.history.last().unwrap();
        if self.store.load().as_ref() != Some(&**newest) {
            return Some("the store does not give the newest configuration");
        }
        let Some(audit) = self.store.audit() else {
            return Some("the audit trail has a gap");
        };
        let replayed = Config::default().with_records(&audit);
        if replayed.as_ref() != Ok(newest.config()) {
            return Some("the audit trail does not give the configuration");
        }
        for instance in &self.instances {
            let version = instance.replica.version().0 as usize;
            if instance.replica.config() != self.history[version].config() {
                return Some("a replica differs from the chain at its version");
            }
        }
        self.operators.iter().find_map(|operator| {
            let mut operator_records =
                audit.iter().filter(|r| r.id.0.starts_with(&operator.req.id.0[..1]));
            let (first, second) = (operator_records.next(), operator_records.next());
            let accepted = first.map(|record| record.version);
            let base = first.map(|r| r.from.as_ref().map_or(Version(0), |class| class.revision));
            match &operator.answer {
                _ if second.is_some() => Some("a change was accepted twice"),
                // A tool that reads the class again for each attempt has no single base to compare.
                _ if self.mutation != Mutation::NewIdOnRetry
                    && base.is_some_and(|base| base != operator.req.base) =>
                {
                    Some("a change was accepted on what its author had not seen")
                }
                Answer::Accepted(version) if accepted != Some(*version) => {
                    Some("a change reported as accepted is not in the chain")
                }
                Answer::NotAccepted if accepted.is_some() => {
                    Some("a change reported as not accepted is in the chain")
                }
                _ => None,
            }
        })
    }
}
