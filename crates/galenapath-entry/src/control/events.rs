//! Handles events from the data thread.

use super::claims::{self, ClaimLease};
use super::gossip;
use super::plane::ControlPlane;
use crate::shared::ControlEvent;
use galenapath_filings::SuspectReport;
use std::rc::Rc;

/// Handles events from the data thread. Events that need calls to peers or to the store run as
/// separate tasks, so that they do not delay the next event.
pub(super) async fn serve(plane: Rc<ControlPlane>) {
    let lease = Rc::new(ClaimLease::default());
    while let Ok(event) = plane.wiring.events.recv_async().await {
        let task_plane = Rc::clone(&plane);
        match event {
            ControlEvent::Leaving(mark) => gossip::record_leaving(&plane, &mark),
            ControlEvent::Crash(report) => {
                drop(monoio::spawn(gossip::record_crash(task_plane, report)));
            }
            ControlEvent::SuspectAnswered(fp) => {
                let answered = SuspectReport::Answered { fp, age_ms: 0 };
                plane.suspects.borrow_mut().merge(plane.now(), &[answered]);
            }
            ControlEvent::Claim(request) => {
                drop(monoio::spawn(claims::serve(task_plane, Rc::clone(&lease), request)));
            }
        }
    }
}
