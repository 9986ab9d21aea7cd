//! Whether an instance sends a good part of its requests to servers of other failure domains.
//!
//! Load pattern: many instances that see what servers do, and bytes between failure domains that are
//! billed. While every domain has slots in plenty, what is seen of its servers is of use only at home:
//! told to all that serve, it crosses as often as there are others that serve. Once a domain runs short,
//! its instances need to know the servers of the others as well as those at home do, or they send there
//! blindly. So an instance says which of the two holds, by what it did in the last second.

use galenapath_protocol::Micros;

/// Length of one count.
const WINDOW: Micros = Micros::from_secs(1);

/// Part of the sends, one in so many, from which an instance counts as one that crosses: fewer are
/// stray ones, whose server is asked before.
const PART: u32 = 8;

/// Time for which it counts after its last such window: a burst comes in waves of some seconds.
const HOLDS: Micros = Micros::from_secs(3);

/// Sends of an instance, by whether they leave its failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crossings {
    began: Micros,
    sends: u32,
    away: u32,
    /// Until when the instance counts as one that crosses.
    until: Micros,
}

impl Crossings {
    /// Counts one send.
    #[must_use]
    pub fn sent(self, now: Micros, is_away: bool) -> Self {
        let mut next = if now - self.began >= WINDOW {
            Self { began: now, sends: 0, away: 0, ..self }
        } else {
            self
        };
        next.sends += 1;
        next.away += u32::from(is_away);
        // The first sends of a window say little.
        if is_away && next.away > 1 && next.away * PART >= next.sends {
            next.until = now + HOLDS;
        }
        next
    }

    /// Whether the instance crosses.
    pub fn crosses(&self, now: Micros) -> bool {
        now < self.until
    }
}
