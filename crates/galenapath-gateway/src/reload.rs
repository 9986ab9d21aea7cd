//! Reloading of the settings file while the instance runs.

use crate::instance::{Instance, sleep_to_next};
use crate::stop::Signals;
use galenapath_protocol::Micros;
use galenapath_settings::{GatewaySettings, SettingsError};
use std::rc::Rc;

/// Reads and validates the settings file.
pub type ReadSettings = Box<dyn Fn() -> Result<GatewaySettings, SettingsError>>;

/// Time between two checks for a reload signal.
const SIGNAL_CHECK_PERIOD: Micros = Micros::from_millis(200);

/// Number of checks after which the file is read without a signal, since it may change without one.
const CHECKS_PER_READ: u32 = 15;

/// Applies changes of the settings file for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>, signals: Signals, read: ReadSettings) {
    let mut checks = 0;
    let mut was_invalid = false;
    loop {
        sleep_to_next(&instance, SIGNAL_CHECK_PERIOD).await;
        checks += 1;
        let is_requested = signals.take_reload();
        if !is_requested && checks < CHECKS_PER_READ {
            continue;
        }
        checks = 0;
        match read() {
            Ok(settings) => {
                was_invalid = false;
                apply(&instance, settings, is_requested);
            }
            // An error that persists is logged once.
            Err(e) if is_requested || !was_invalid => {
                was_invalid = true;
                log::error!(error:% = e; "settings refused; the last good ones stay in force");
            }
            Err(_) => {}
        }
    }
}

fn apply(instance: &Instance, new: GatewaySettings, is_requested: bool) {
    let current = instance.settings();
    if new == *current {
        if is_requested {
            log::info!("reload: settings have not changed");
        }
        return;
    }
    let settings = keep_fixed_settings(new.clone(), &current);
    let needs_restart = settings != new;
    log::info!(needs_restart; "reload: settings changed");
    instance.set_settings(settings);
}

/// Returns the new settings, except for those that cannot change while the process runs.
fn keep_fixed_settings(new: GatewaySettings, current: &GatewaySettings) -> GatewaySettings {
    let mut listen = current.listen.clone();
    listen.seeds.clone_from(&new.listen.seeds);
    GatewaySettings {
        name: current.name.clone(),
        domain: current.domain.clone(),
        listen,
        platform: current.platform,
        platform_timeout: current.platform_timeout,
        log_level: current.log_level,
        ..new
    }
}
