//! Mechanisms that can be disabled in a simulation.

use std::fmt;
use std::str::FromStr;

/// A mechanism of the gateway that a simulation can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Switch {
    /// Load queries before a request is sent.
    Queries,
    /// Load updates between instances.
    Sharing,
    /// Load updates about the instance's own sends, before the server answers.
    OwnSends,
    /// More frequent probes of slow servers.
    SlowProbes,
    /// All probes.
    Probes,
    /// Waiting for a server. Without it, a request that cannot be assigned a server at once is
    /// rejected.
    Queueing,
    /// Leaving the last slots of a server free where contention costs more than they gain.
    Contention,
    /// Preference for servers of the local domain.
    LocalPreference,
    /// Choosing among a sample of the servers.
    Sample,
    /// Randomness in the choice.
    Jitter,
}

/// All switches, in the order of the tables.
pub(crate) const ALL: [Switch; 10] = [
    Switch::Queries,
    Switch::Sharing,
    Switch::OwnSends,
    Switch::SlowProbes,
    Switch::Probes,
    Switch::Queueing,
    Switch::Contention,
    Switch::LocalPreference,
    Switch::Sample,
    Switch::Jitter,
];

impl Switch {
    /// All switches, in the order of the tables.
    pub const fn all() -> &'static [Self] {
        &ALL
    }

    /// Its name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queries => "questions",
            Self::Sharing => "sharing",
            Self::OwnSends => "own-sends",
            Self::SlowProbes => "slow-probes",
            Self::Probes => "probes",
            Self::Queueing => "waiting",
            Self::Contention => "crowding",
            Self::LocalPreference => "home",
            Self::Sample => "sample",
            Self::Jitter => "jitter",
        }
    }
}

impl fmt::Display for Switch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for a name that is not the name of a switch.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown mechanism `{name}`; known: {}", ALL.map(Switch::as_str).join(", "))]
pub struct UnknownSwitch {
    /// The name.
    pub name: String,
}

impl FromStr for Switch {
    type Err = UnknownSwitch;

    fn from_str(name: &str) -> Result<Self, UnknownSwitch> {
        let found = ALL.into_iter().find(|switch| switch.as_str() == name);
        found.ok_or_else(|| UnknownSwitch { name: name.to_owned() })
    }
}
