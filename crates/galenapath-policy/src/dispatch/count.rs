//! How many instances dispatch for a service.
//!
//! Load pattern: a service whose load grows beyond what a few instances can carry, and shrinks
//! again. Without growth its dispatchers saturate; without the gap between the two thresholds the
//! number flaps, and each flap moves callers and connections.

/// Thresholds of [`DispatcherCount`].
#[derive(Clone, Debug)]
pub struct CountConfig {
    /// Requests per second that one small instance carries with ease, for all its services. A
    /// request takes 84 to 102 microseconds of the data thread (`docs/CAPACITY.md`), so that 6,000
    /// are 0.5 to 0.6 of a core.
    pub instance_rate: f64,
    /// Part of `instance_rate` per dispatcher above which the number grows.
    pub grow_above: f64,
    /// Part of `instance_rate` per dispatcher, after shrinking, below which the number shrinks.
    pub shrink_below: f64,
}

impl Default for CountConfig {
    fn default() -> Self {
        Self { instance_rate: 6_000.0, grow_above: 0.7, shrink_below: 0.5 }
    }
}

/// Number of dispatchers of one service, between one per failure domain and all instances.
#[derive(Clone, Debug, Default)]
pub struct DispatcherCount {
    count: usize,
}

impl DispatcherCount {
    /// Takes the service's rate in requests per second; returns the number of dispatchers.
    pub fn update(
        &mut self,
        cfg: &CountConfig,
        rate: f64,
        domains: usize,
        instances: usize,
    ) -> usize {
        let least = domains.max(1);
        let needed = |part: f64| (rate / (cfg.instance_rate * part)).ceil() as usize;
        self.count = self.count.max(needed(cfg.grow_above));
        if needed(cfg.shrink_below) < self.count {
            self.count = needed(cfg.shrink_below);
        }
        self.count = self.count.clamp(least, instances.max(least));
        self.count
    }
}
