//! The classes of the service: their targets and what their work takes.

use super::latency::ClassLatency;
use super::offer::{ClassIndex, ClassPolicy, WorkLength};
use galenapath_protocol::{FastMap, Micros};

/// Target of a class that the instance has not been told about yet.
const UNKNOWN_TARGET: Micros = Micros::from_millis(500);

/// One class of the service.
#[derive(Clone, Debug)]
pub struct Class {
    /// What the operators ask of it.
    pub policy: ClassPolicy,
    /// What its requests take once started.
    pub latency: ClassLatency,
}

impl Class {
    /// A class without latencies.
    pub fn new(policy: ClassPolicy) -> Self {
        Self { policy, latency: ClassLatency::new() }
    }

    /// How long a request may wait and still meet the target in 99 of 100 cases, but at least
    /// `min_share` of the target: where the work alone uses it up, waiting is not the cause.
    pub fn allowed_wait(&self, min_share: f64) -> Micros {
        let least = Micros((self.policy.target.0 as f64 * min_share) as u64);
        (self.policy.target - self.latency.tail()).max(least)
    }
}

/// All classes of the service.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    by_index: FastMap<ClassIndex, Class>,
    has_short: bool,
    has_long: bool,
}

impl Classes {
    /// Replaces the policies; classes that stay keep their latencies.
    pub fn set(&mut self, policies: &[ClassPolicy]) {
        let mut old = std::mem::take(&mut self.by_index);
        for policy in policies {
            let mut class = old.remove(&policy.class).unwrap_or_else(|| Class::new(*policy));
            class.policy = *policy;
            self.by_index.insert(policy.class, class);
        }
        let any = |length| policies.iter().any(|policy| policy.length == length);
        self.has_short = any(WorkLength::Short);
        self.has_long = any(WorkLength::Long);
    }

    /// Whether short and long work share the service.
    pub fn are_mixed(&self) -> bool {
        self.has_short && self.has_long
    }

    /// The class, made up as short work if it is unknown.
    pub fn get(&mut self, class: ClassIndex) -> &mut Class {
        let policy = ClassPolicy { class, length: WorkLength::Short, target: UNKNOWN_TARGET };
        self.by_index.entry(class).or_insert_with(|| Class::new(policy))
    }

    /// The longest wait that any class of the length allows.
    pub fn longest_wait(&self, length: WorkLength, min_share: f64) -> Micros {
        let same = self.by_index.values().filter(|class| class.policy.length == length);
        same.map(|class| class.allowed_wait(min_share)).max().unwrap_or(UNKNOWN_TARGET)
    }
}
