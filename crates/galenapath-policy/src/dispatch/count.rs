//! Number of instances that dispatch for a service.
//!
//! Load pattern: the load of a service grows beyond the capacity of a few instances and shrinks
//! again. With a fixed number of dispatchers they saturate. Without a gap between the thresholds
//! for growing and shrinking the number flaps, and each change moves callers and connections.

/// Thresholds of [`DispatcherCount`].
#[derive(Clone, Debug)]
pub struct CountConfig {
    /// Requests per second that one small instance handles without overload, for all its services.
    /// A request takes 84 to 102 microseconds of the data thread (`docs/CAPACITY.md`), so 6,000
    /// requests use 0.5 to 0.6 of a core.
    pub instance_rate: f64,
    /// Fraction of `instance_rate` per dispatcher above which the number grows.
    pub grow_above: f64,
    /// Fraction of `instance_rate` per dispatcher below which the number shrinks. It applies to the
    /// rate per dispatcher after shrinking.
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
    /// Updates the number for the service's rate in requests per second and returns it.
    pub fn update(
        &mut self,
        cfg: &CountConfig,
        rate: f64,
        domains: usize,
        instances: usize,
    ) -> usize {
        let min = domains.max(1);
        let needed = |fraction: f64| (rate / (cfg.instance_rate * fraction)).ceil() as usize;
        self.count = self.count.max(needed(cfg.grow_above));
        if needed(cfg.shrink_below) < self.count {
            self.count = needed(cfg.shrink_below);
        }
        self.count = self.count.clamp(min, instances.max(min));
        self.count
    }
}
