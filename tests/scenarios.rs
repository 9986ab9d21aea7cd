//! One test for each scenario in `scenarios/`.
//!
//! The tests are in this package and not in that of the runner, so that `cargo test --workspace`
//! builds the programs that they start.

use galenapath_dev::scenario::{Programs, run_file};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex, PoisonError};

/// Scenarios that may run concurrently; each starts up to a dozen processes.
const MAX_CONCURRENT: usize = 4;

static FREE_PERMITS: Mutex<usize> = Mutex::new(MAX_CONCURRENT);
static PERMIT_FREED: Condvar = Condvar::new();

/// Permission to run one scenario; released on drop.
struct Permit;

impl Permit {
    fn take() -> Self {
        let mut free = FREE_PERMITS.lock().unwrap_or_else(PoisonError::into_inner);
        while *free == 0 {
            free = PERMIT_FREED.wait(free).unwrap_or_else(PoisonError::into_inner);
        }
        *free -= 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *FREE_PERMITS.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        PERMIT_FREED.notify_one();
    }
}

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn run(name: &str) {
    let _permit = Permit::take();
    let programs = Programs::beside_test().unwrap_or_else(|e| panic!("{e}"));
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap_or_else(|e| panic!("{}: {e}", dir.display()));
    let result = run_file(&directory().join(format!("{name}.scn")), programs, &dir);
    // The files of a failed scenario stay for inspection.
    result.unwrap_or_else(|e| panic!("{e}"));
    std::fs::remove_dir_all(&dir).unwrap_or_else(|e| panic!("{}: {e}", dir.display()));
}

macro_rules! scenarios {
    ($($test:ident: $name:literal,)*) => {
        const LISTED: &[&str] = &[$($name),*];
        $(
            #[test]
            fn $test() {
                run($name);
            }
        )*
    };
}

scenarios! {
    scenario_answers_damaged: "answers-damaged",
    scenario_backend_cut_and_store_down: "backend-cut-and-store-down",
    scenario_backends_cut_common_lookup: "backends-cut-common-lookup",
    scenario_backend_frozen: "backend-frozen",
    scenario_backend_killed: "backend-killed",
    scenario_backend_leaving_list_lags: "backend-leaving-list-lags",
    scenario_config_conflict: "config-conflict",
    scenario_config_first_classes: "config-first-classes",
    scenario_config_frozen_instance: "config-frozen-instance",
    scenario_config_in_force: "config-in-force",
    scenario_config_in_force_everywhere: "config-in-force-everywhere",
    scenario_config_never_reverts_restart: "config-never-reverts-restart",
    scenario_config_race: "config-race",
    scenario_config_reply_lost: "config-reply-lost",
    scenario_config_reply_lost_and_killed: "config-reply-lost-and-killed",
    scenario_config_sixteen_instances: "config-sixteen-instances",
    scenario_config_slow_and_lost: "config-slow-and-lost",
    scenario_config_store_down: "config-store-down",
    scenario_config_store_down_after_acceptance: "config-store-down-after-acceptance",
    scenario_config_store_down_and_killed: "config-store-down-and-killed",
    scenario_config_store_frozen: "config-store-frozen",
    scenario_config_watch_cut: "config-watch-cut",
    scenario_config_wrong_token: "config-wrong-token",
    scenario_fail_fast: "fail-fast",
    scenario_filing_backend_frozen: "filing-backend-frozen",
    scenario_filing_backend_killed: "filing-backend-killed",
    scenario_filing_caller_cut: "filing-caller-cut",
    scenario_filing_cut_and_killed: "filing-cut-and-killed",
    scenario_filing_frozen_and_store_down: "filing-frozen-and-store-down",
    scenario_filing_instance_frozen: "filing-instance-frozen",
    scenario_filing_instance_killed: "filing-instance-killed",
    scenario_filing_keys_many_resent: "filing-keys-many-resent",
    scenario_filing_killed_while_store_down: "filing-killed-while-store-down",
    scenario_filing_own_key_elsewhere: "filing-own-key-elsewhere",
    scenario_filing_own_key_instance_frozen: "filing-own-key-instance-frozen",
    scenario_filing_own_key_instance_killed: "filing-own-key-instance-killed",
    scenario_filing_planned_stop: "filing-planned-stop",
    scenario_filing_reply_cut: "filing-reply-cut",
    scenario_filing_resent_same_key: "filing-resent-same-key",
    scenario_filing_store_down: "filing-store-down",
    scenario_filing_store_reply_lost: "filing-store-reply-lost",
    scenario_filing_two_at_once: "filing-two-at-once",
    scenario_garbage: "garbage",
    scenario_gateway_each_kind_change_leave_stop: "gateway-each-kind-change-leave-stop",
    scenario_gateway_domain_evacuated_and_cold: "gateway-domain-evacuated-and-cold",
    scenario_gateway_instance_without_paths: "gateway-instance-without-paths",
    scenario_gateway_key_replaced: "gateway-key-replaced",
    scenario_gateway_request_crashes_servers: "gateway-request-crashes-servers",
    scenario_gateway_servers_ask_for_less: "gateway-servers-ask-for-less",
    scenario_gateway_store_back_from_backup: "gateway-store-back-from-backup",
    scenario_gateway_store_away_filing_refused: "gateway-store-away-filing-refused",
    scenario_idle_callers: "idle-callers",
    scenario_instance_killed: "instance-killed",
    scenario_lookup_answered: "lookup-answered",
    scenario_measuring_within_budget: "measuring-within-budget",
    scenario_not_run_no_backend: "not-run-no-backend",
    scenario_not_run_saturated: "not-run-saturated",
    scenario_overload_recovers: "overload-recovers",
    scenario_poison_abandoned: "poison-abandoned",
    scenario_poison_and_store_down: "poison-and-store-down",
    scenario_poison_answered_with_errors: "poison-answered-with-errors",
    scenario_poison_bystanders: "poison-bystanders",
    scenario_poison_lookup_retried: "poison-lookup-retried",
    scenario_poison_resent: "poison-resent",
    scenario_reports_lie: "reports-lie",
    scenario_rack_lost_common_request: "rack-lost-common-request",
    scenario_rolling_all: "rolling-all",
    scenario_rolling_backends: "rolling-backends",
    scenario_rolling_instances: "rolling-instances",
    scenario_store_down_lookups: "store-down-lookups",
    scenario_store_down_new_instance: "store-down-new-instance",
    scenario_store_down_new_instance_serves: "store-down-new-instance-serves",
    scenario_store_slow: "store-slow",
    scenario_straggler: "straggler",
    scenario_suspect_answered_elsewhere: "suspect-answered-elsewhere",
    scenario_transfer_among_lookups: "transfer-among-lookups",
    scenario_transfer_cut: "transfer-cut",
    scenario_transfer_large: "transfer-large",
    scenario_two_servers_lost: "two-servers-lost",
}

#[test]
fn scenarios_every_file_listed() {
    let entries = std::fs::read_dir(directory()).unwrap_or_else(|e| panic!("{e}"));
    let files: BTreeSet<String> = entries
        .map(|entry| entry.unwrap_or_else(|e| panic!("{e}")).path())
        .filter(|path| path.extension().is_some_and(|ext| ext == "scn"))
        .filter_map(|path| Some(path.file_stem()?.to_str()?.to_owned()))
        .collect();
    let listed: BTreeSet<String> = LISTED.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(files, listed);
}
