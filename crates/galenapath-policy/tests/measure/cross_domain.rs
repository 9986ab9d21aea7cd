//! Detection of instances that send across failure domains.

use galenapath_policy::measure::CrossDomainSends;
use galenapath_protocol::Micros;

const START: Micros = Micros::from_secs(10);

/// Sends 200 requests per second for two seconds, one in `every` of them to another failure domain.
fn sends_with_remote(every: u64) -> CrossDomainSends {
    let mut sends = CrossDomainSends::default();
    for n in 0..400 {
        let now = START + Micros::from_millis(n * 5);
        sends = sends.with_send(now, n % every == every - 1);
    }
    sends
}

#[test]
fn is_cross_domain_false_for_occasional_sends() {
    assert!(!sends_with_remote(20).is_cross_domain(START + Micros::from_secs(2)));
}

#[test]
fn is_cross_domain_starts_and_ends() {
    let sends = sends_with_remote(3);
    assert!(sends.is_cross_domain(START + Micros::from_secs(2)));
    assert!(!sends.is_cross_domain(START + Micros::from_secs(6)));
}
