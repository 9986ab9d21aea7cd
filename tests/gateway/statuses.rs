//! Answers of backend servers whose status code is none of HTTP.

use crate::support::{Gateway, World};
use galenapath_dev::users_platform::ServerFault;

const NO_STATUSES: [&str; 10] = ["000", "001", "099", "101", "600", "999", "1000", "20", "2", ""];

/// Statuses by which an instance assures its caller that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn set_status(world: &World, service: &str, text: &'static str) {
    let servers = world.servers_of(service);
    servers.iter().for_each(|server| server.set_fault(ServerFault::StatusText(text)));
}

/// Guards against bytes that are no answer being passed on as one, and against a filing that ran
/// being reported as not run or sent again.
#[test]
fn filing_answered_with_no_status_fails_and_may_have_run() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for status in NO_STATUSES {
        set_status(&world, "file", status);
        let before = world.run_count("file");
        let id = format!("f-{status}");
        let answer = gateway.send_filing(&id);
        assert_eq!(answer.status, 502, "{status:?}");
        assert!(!answer.body.contains(&b'x'), "{status:?}: {answer:?}");
        assert_eq!(world.run_count("file"), before + 1, "{status:?}");
        let line = gateway.log_of(&id).to_string();
        assert!(line.contains("not_http") || line.contains("broken"), "{status:?}: {line}");
    }
}

/// An interim answer is no answer: the final one is awaited as long as the caller waits.
#[test]
fn filing_answered_with_interim_status_only_times_out() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    set_status(&world, "file", "100");
    assert_eq!(gateway.send_filing("f-100").status, 504);
    assert_eq!(world.run_count("file"), 1);
}

#[test]
fn lookup_answered_with_no_status_is_retried() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for status in NO_STATUSES {
        set_status(&world, "look", status);
        let answer = gateway.send_lookup(&format!("l-{status}"));
        assert!(
            answer.status >= 500 && !PROMISES.contains(&answer.status),
            "{status:?}: {answer:?}"
        );
        world.servers_of("look").iter().for_each(|server| server.set_fault(ServerFault::None));
        assert_eq!(gateway.send_lookup(&format!("k-{status}")).status, 200, "{status:?}");
    }
}
