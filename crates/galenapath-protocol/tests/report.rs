//! Tests of the load report's text form.

use galenapath_protocol::{LoadReport, ParseReportError};
use proptest::prelude::*;

#[test]
fn parse_slots_missing() {
    assert_eq!("in-flight=3".parse::<LoadReport>(), Err(ParseReportError::NoSlots));
}

#[test]
fn parse_unknown_field_skipped() {
    let report: LoadReport = "slots=6;temperature=hot;leaving=1".parse().unwrap();
    assert_eq!(report, LoadReport { slots: 6, leaving: true, ..LoadReport::default() });
}

proptest! {
    #[test]
    fn parse_any_text_no_panic(text in ".{0,80}") {
        let _ = text.parse::<LoadReport>();
    }

    #[test]
    fn parse_display_same(in_flight: u32, waiting: u32, slots in 1..u32::MAX, leaving: bool) {
        let report = LoadReport { in_flight, waiting, slots, leaving, pace: 0 };
        prop_assert_eq!(report.to_string().parse(), Ok(report));
    }
}
