//! The request classes of a service: their policies and latencies.

use super::latency::ClassLatency;
use super::offer::{ClassIndex, ClassPolicy, WorkLength};
use galenapath_protocol::{FastMap, Micros};

/// Target of a class for which no policy has been received yet.
const DEFAULT_TARGET: Micros = Micros::from_millis(500);

/// One request class of the service.
#[derive(Clone, Debug)]
pub struct Class {
    /// The configured policy.
    pub policy: ClassPolicy,
    /// Latencies of its requests, counted from their start.
    pub latency: ClassLatency,
}

impl Class {
    /// Creates a class without latencies.
    pub fn new(policy: ClassPolicy) -> Self {
        Self { policy, latency: ClassLatency::new() }
    }

    /// Returns how long a request may wait and still meet the target in 99 of 100 cases, but at
    /// least `min_share` of the target: if the work alone exceeds the target, rejecting requests
    /// because of their wait does not help.
    pub fn allowed_wait(&self, min_share: f64) -> Micros {
        let min = Micros((self.policy.target.0 as f64 * min_share) as u64);
        (self.policy.target - self.latency.tail()).max(min)
    }
}

/// All request classes of the service.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    by_index: FastMap<ClassIndex, Class>,
    has_short: bool,
    has_long: bool,
}

impl Classes {
    /// Replaces the policies. Classes that exist before and after keep their latencies.
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

    /// Returns whether the service has both short and long work.
    pub fn are_mixed(&self) -> bool {
        self.has_short && self.has_long
    }

    /// Returns the class. An unknown class is added as short work with the default target.
    pub fn get(&mut self, class: ClassIndex) -> &mut Class {
        let policy = ClassPolicy { class, length: WorkLength::Short, target: DEFAULT_TARGET };
        self.by_index.entry(class).or_insert_with(|| Class::new(policy))
    }

    /// Returns the longest allowed wait of the classes of this length.
    pub fn longest_wait(&self, length: WorkLength, min_share: f64) -> Micros {
        let same = self.by_index.values().filter(|class| class.policy.length == length);
        same.map(|class| class.allowed_wait(min_share)).max().unwrap_or(DEFAULT_TARGET)
    }
}
