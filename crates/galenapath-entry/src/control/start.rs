//! Starts the tasks of the control thread.

use super::plane::ControlPlane;
use super::{configuration, events, gossip, lists, operators, stop};
use monoio::net::TcpListener;
use std::rc::Rc;

/// Runs the control thread until a planned stop of the instance has completed.
pub async fn run(plane: Rc<ControlPlane>, operators: TcpListener) {
    monoio::spawn(lists::announce(Rc::clone(&plane)));
    monoio::spawn(lists::follow_entries(Rc::clone(&plane)));
    monoio::spawn(lists::follow_backends(Rc::clone(&plane)));
    monoio::spawn(configuration::follow(Rc::clone(&plane)));
    monoio::spawn(gossip::probe_peers(Rc::clone(&plane)));
    monoio::spawn(gossip::contact_seeds(Rc::clone(&plane)));
    monoio::spawn(gossip::answer_peers(Rc::clone(&plane)));
    monoio::spawn(events::serve(Rc::clone(&plane)));
    monoio::spawn(operators::serve(Rc::clone(&plane), operators));
    stop::wait_and_drain(&plane).await;
}
