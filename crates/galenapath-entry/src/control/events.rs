//! What the data thread tells and asks.

use super::claims::{self, ClaimLease};
use super::gossip;
use super::plane::ControlPlane;
use crate::shared::ControlEvent;
use std::rc::Rc;

/// Carries out events of the data thread; what takes time does not hold up the next.
pub(super) async fn serve(plane: Rc<ControlPlane>) {
    let lease = Rc::new(ClaimLease::default());
    while let Ok(event) = plane.wiring.events.recv_async().await {
        let held = Rc::clone(&plane);
        match event {
            ControlEvent::Leaving(mark) => gossip::note_leaving(&plane, &mark),
            ControlEvent::Crash(note) => drop(monoio::spawn(gossip::note_crash(held, note))),
            ControlEvent::Claim(request) => {
                drop(monoio::spawn(claims::serve(held, Rc::clone(&lease), request)));
            }
        }
    }
}
