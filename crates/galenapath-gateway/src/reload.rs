//! Settings that change while the instance runs.

use crate::instance::{Instance, sleep_to_next};
use crate::stop::Signals;
use galenapath_protocol::Micros;
use galenapath_settings::{GatewaySettings, SettingsError};
use std::rc::Rc;

/// Reads the settings file.
pub type ReadSettings = Box<dyn Fn() -> Result<GatewaySettings, SettingsError>>;

/// Time between two looks at whether a signal has come.
const LOOK: Micros = Micros::from_millis(200);

/// Looks after which the file is read although no signal has come: it may change without one.
const LOOKS_PER_READ: u32 = 15;

/// Follows the settings file for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>, signals: Signals, read: ReadSettings) {
    let mut looks = 0;
    let mut was_bad = false;
    loop {
        sleep_to_next(&instance, LOOK).await;
        looks += 1;
        let is_asked = signals.take_reload();
        if !is_asked && looks < LOOKS_PER_READ {
            continue;
        }
        looks = 0;
        match read() {
            Ok(settings) => {
                was_bad = false;
                take(&instance, settings, is_asked);
            }
            // A file that stays bad is told of once.
            Err(e) if is_asked || !was_bad => {
                was_bad = true;
                log::error!(error:% = e; "settings refused; the last good ones stay in force");
            }
            Err(_) => {}
        }
    }
}

fn take(instance: &Instance, read: GatewaySettings, is_asked: bool) {
    let before = instance.settings();
    if read == *before {
        if is_asked {
            log::info!("reload: settings have not changed");
        }
        return;
    }
    let settings = with_fixed(read.clone(), &before);
    let needs_restart = settings != read;
    log::info!(needs_restart; "reload: settings changed");
    instance.set_settings(settings);
}

/// The new settings, but for those that the process cannot change while it runs.
fn with_fixed(read: GatewaySettings, before: &GatewaySettings) -> GatewaySettings {
    let mut listen = before.listen.clone();
    listen.seeds.clone_from(&read.listen.seeds);
    GatewaySettings {
        name: before.name.clone(),
        domain: before.domain.clone(),
        listen,
        platform: before.platform,
        platform_timeout: before.platform_timeout,
        log_level: before.log_level,
        ..read
    }
}
