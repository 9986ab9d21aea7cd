//! Mechanisms that can be switched off.

use std::fmt;
use std::str::FromStr;

/// A mechanism of the gateway that a play goes without.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Switch {
    /// The question to a server before a request goes there.
    Questions,
    /// Loads that instances tell each other.
    Sharing,
    /// The load that a send makes, told at once.
    OwnSends,
    /// Probes of slow servers more often than of others.
    SlowProbes,
    /// All probes.
    Probes,
    /// The wait for a server; without it what finds none is refused.
    Waiting,
    /// The last slots left free where crowding costs more than they bring.
    Crowding,
    /// The preference for servers of the own domain.
    Home,
    /// The choice among a sample of the servers.
    Sample,
    /// Chance in the choice.
    Jitter,
}

/// All switches.
pub(crate) const ALL: [Switch; 10] = [
    Switch::Questions,
    Switch::Sharing,
    Switch::OwnSends,
    Switch::SlowProbes,
    Switch::Probes,
    Switch::Waiting,
    Switch::Crowding,
    Switch::Home,
    Switch::Sample,
    Switch::Jitter,
];

impl Switch {
    /// All of them, in the order in which tables show them.
    pub const fn all() -> &'static [Self] {
        &ALL
    }

    /// Its name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Questions => "questions",
            Self::Sharing => "sharing",
            Self::OwnSends => "own-sends",
            Self::SlowProbes => "slow-probes",
            Self::Probes => "probes",
            Self::Waiting => "waiting",
            Self::Crowding => "crowding",
            Self::Home => "home",
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

/// A name that is no switch's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{name}` is no mechanism; there are: {}", ALL.map(Switch::as_str).join(", "))]
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
