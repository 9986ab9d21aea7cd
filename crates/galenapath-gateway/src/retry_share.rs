//! The part of a service's retry budget that one instance may use.

use crate::instance::Instance;
use crate::service::Service;
use galenapath_policy::{RetryBudget, RetryConfig, SharedRetryBudget};
use galenapath_protocol::Micros;
use galenapath_settings::RetrySettings;

/// Share of the retry budget of an instance that does not know the load of the others yet.
const INITIAL_RETRY_SHARE: f64 = 1.0 / 16.0;

/// Largest share of the retry budget for one instance, because another instance that has just
/// started may not be known yet.
const MAX_RETRY_SHARE: f64 = 0.5;

/// Time after its start during which an instance does not know the load of the others.
const RETRY_SHARE_SETTLING_TIME: Micros = Micros::from_secs(3);

/// The retry budget of an instance that has just started.
pub(crate) fn initial_retry_budget(instance: &Instance) -> RetryBudget {
    RetryBudget::new(retry_config(&instance.settings().retries, INITIAL_RETRY_SHARE))
}

impl Service {
    /// Updates this instance's share of the retry budget.
    pub(crate) fn update_retry_share(&self, instance: &Instance) {
        let share = if instance.clock.uptime() < RETRY_SHARE_SETTLING_TIME {
            INITIAL_RETRY_SHARE
        } else {
            f64::from(instance.load_share()).min(MAX_RETRY_SHARE)
        };
        let cfg = retry_config(&instance.settings().retries, share);
        self.retries.borrow_mut().set_config(instance.now(), cfg);
    }
}

/// The retry budget of an instance that serves `share` of all requests.
fn retry_config(settings: &RetrySettings, share: f64) -> RetryConfig {
    let RetrySettings { ratio, slack, window } = *settings;
    SharedRetryBudget { ratio, slack, window: window.into() }.for_share(share)
}
