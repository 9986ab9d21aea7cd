//! The configuration and the list of backend servers as this instance knows them.

use crate::compression::CompressedConfig;
use crate::instance::Instance;
use crate::leaving::LeavingServers;
use crate::route_state::{RouteState, RouteStates};
use galenapath_platform::{Item, KeyEvent};
use galenapath_policy::LogLineKind;
use galenapath_protocol::{BackendId, Micros, StorePosition};
use galenapath_routes::{
    Change, Directory, Evacuations, ListedServer, Removal, Route, RouteTable, ServerChanges,
    ServerState, VisibleChange,
};
use std::rc::Rc;
use std::sync::Arc;

/// Time after an outage of the store during which entries that expired meanwhile, or that a store
/// which came back from a backup has lost, may reappear. The platform promises that they do within
/// two seconds.
pub(crate) const REAPPEAR_TIMEOUT: Micros = Micros::from_millis(2_100);

/// Platform state known to an instance.
///
/// Invariant: the version of `table` never decreases while the process lives, and `config` holds
/// the text that `table` was parsed from.
#[derive(Default)]
pub(crate) struct State {
    table: Rc<RouteTable>,
    /// Text of the configuration in force, compressed as it is sent to other instances. The plain
    /// text, a quarter of a megabyte for a thousand routes, is not kept.
    config: Option<CompressedConfig>,
    /// States of the routes of `table`.
    route_states: RouteStates,
    directory: Directory,
    /// Evacuated failure domains, whose servers get no requests. They are always applied before a
    /// server list, so that no instance serves without knowing them.
    pub(crate) evacuations: Evacuations,
    /// Servers that are leaving.
    pub(crate) leaving: LeavingServers,
    /// Until this time, entries that disappear are kept because they may reappear; set when the
    /// store has recovered from an outage that was seen.
    hold_removals_until: Micros,
}

impl State {
    /// Whether both the configuration and the server list are known.
    pub(crate) fn is_known(&self) -> bool {
        self.config.is_some() && self.directory.position() > StorePosition::default()
    }

    /// The parsed configuration in force.
    pub(crate) fn table(&self) -> &Rc<RouteTable> {
        &self.table
    }

    /// The state of `route`, which is one of [`Self::table`]. Instances differ in `seed`.
    pub(crate) fn route_state(&self, route: &Arc<Route>, seed: u64) -> Rc<RouteState> {
        self.route_states.of(route, seed)
    }

    /// The configuration in force as sent to other instances; `None` before the first one.
    pub(crate) fn config(&self) -> Option<&CompressedConfig> {
        self.config.as_ref()
    }

    /// Puts a configuration into force; `config` is its text.
    pub(crate) fn set_config(&mut self, table: Rc<RouteTable>, config: CompressedConfig) {
        self.table = table;
        self.config = Some(config);
        self.route_states = RouteStates::default();
    }

    /// The list of backend servers.
    pub(crate) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Changes of the list that a peer at `position` lacks. Servers known to be leaving are marked
    /// as such.
    pub(crate) fn changes_after(&self, position: StorePosition, now: Micros) -> ServerChanges {
        let mut changes = self.directory.changes_after(position, now);
        for put in &mut changes.puts {
            if self.leaving.contains(&put.record.run_id()) {
                put.record.state = ServerState::Leaving;
            }
        }
        changes
    }

    /// Position in the store up to which all changes are applied. The operator's keys and the
    /// servers' entries are read one after the other, so changes by the operator between the two
    /// reads may still be missing.
    pub(crate) fn position(&self) -> StorePosition {
        self.directory.position().min(self.evacuations.position())
    }

    /// A counter that increases with each visible change of the servers or of the evacuations.
    pub(crate) fn generation(&self) -> u64 {
        self.directory.generation() + self.evacuations.generation()
    }

    /// Records that the store recovered at `at` from an outage that affected every instance.
    pub(crate) fn record_store_recovery(&mut self, at: Micros) {
        self.hold_removals_until = self.hold_removals_until.max(at + REAPPEAR_TIMEOUT);
    }

    /// Records the position of a list or of changes that are about to be applied. In a new epoch,
    /// the store may lack entries that were written since its backup.
    fn prepare_for(&mut self, position: StorePosition, now: Micros) {
        let known = self.directory.position();
        if known > StorePosition::default() && position.epoch > known.epoch {
            log::warn!(epoch = position.epoch, revision = position.revision, known:? = known;
                "the store has come back from a backup");
            self.record_store_recovery(now);
        }
        self.directory.begin_epoch(position);
    }

    /// When an entry that disappears now is removed; `None` for at once.
    fn removal_time(&self, now: Micros) -> Option<Micros> {
        (self.hold_removals_until > now).then_some(self.hold_removals_until)
    }
}

/// Where a change came from, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    /// The platform's store.
    Store,
    /// Another instance.
    Peer,
}

impl Source {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

impl Instance {
    /// Applies the changes of a watch on the store, up to `position`. A peer may have brought a later
    /// epoch since the watch began; the changes are ignored then.
    pub(crate) fn apply_events(&self, events: &[KeyEvent], position: StorePosition) {
        let known = self.state.borrow().position();
        if position.epoch != known.epoch {
            log::info!(position:?, known:?; "a watch was answered in another epoch; ignored");
            return;
        }
        for event in events {
            self.apply_event(event);
        }
        {
            let mut state = self.state.borrow_mut();
            state.directory.advance_position(position);
            state.evacuations.advance_position(position);
        }
        self.log_list_changes(Source::Store);
        self.refresh_services();
    }

    fn apply_event(&self, event: &KeyEvent) {
        if event.key() == self.dialect.config_key() {
            if let KeyEvent::Put(item) = event {
                self.apply_config(&item.value);
            }
            return;
        }
        if let Some(domain) = self.evacuated_domain(event.key()) {
            self.apply_evacuation_event(domain, event);
            return;
        }
        let Some(id) = self.server_id(event.key()) else { return };
        let mut gone_at = self.state.borrow().removal_time(self.now());
        let (revision, change) = match event {
            KeyEvent::Put(item) => match self.dialect.parse_server(id, &item.value) {
                Ok(record) => (item.revision.0, Change::Put(record)),
                Err(e) => {
                    self.report_unreadable_entry(id, item.revision.0, &e);
                    gone_at = None;
                    (item.revision.0, Change::Removed(BackendId(id.into())))
                }
            },
            KeyEvent::Deleted { revision, .. } => {
                (revision.0, Change::Removed(BackendId(id.into())))
            }
        };
        self.state.borrow_mut().directory.apply(revision, change, gone_at);
    }

    /// Returns the server ID in the key of a server's entry, or `None` for any other key.
    fn server_id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.dialect.servers_prefix())
    }

    /// Counts and logs an entry under the servers' key prefix that cannot be parsed as a server.
    fn report_unreadable_entry(&self, id: &str, revision: u64, error: &str) {
        self.metrics.unreadable_entries.inc();
        if self.may_log(LogLineKind::Failure) {
            log::warn!(server = id, revision, error; "entry names no server");
        }
    }

    /// Applies the whole list as read from the store: the entries under the servers' key prefix. A
    /// list of an epoch that is over is ignored.
    pub(crate) fn apply_list(&self, position: StorePosition, items: &[Item]) {
        if position.epoch < self.state.borrow().directory.position().epoch {
            return;
        }
        let mut list = Vec::with_capacity(items.len());
        let mut unreadable = Vec::new();
        for Item { key, value, revision } in items {
            let (id, revision) = (self.server_id(key).unwrap_or(key), revision.0);
            match self.dialect.parse_server(id, value) {
                Ok(record) => list.push(ListedServer { revision, record, expires_in: None }),
                Err(e) => {
                    self.report_unreadable_entry(id, revision, &e);
                    unreadable.push(Removal { revision, id: BackendId(id.into()) });
                }
            }
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.prepare_for(position, now);
        let gone_at = state.removal_time(now);
        for Removal { revision, id } in unreadable {
            state.directory.apply(revision, Change::Removed(id), None);
        }
        state.directory.apply_list(position, list, gone_at);
        drop(state);
        self.log_list_changes(Source::Store);
        self.refresh_services();
    }

    /// Applies the list changes received from another instance.
    pub(crate) fn apply_changes(&self, changes: ServerChanges) {
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            let is_new_epoch = changes.position.epoch > state.directory.position().epoch;
            state.prepare_for(changes.position, now);
            let gone_at = if is_new_epoch { state.removal_time(now) } else { None };
            state.directory.merge(changes, now, gone_at);
        }
        self.log_list_changes(Source::Peer);
        self.refresh_services();
    }

    /// Removes servers whose entries did not reappear in time.
    pub(crate) fn expire_servers(&self) {
        self.expire_evacuations();
        let now = self.now();
        let gone = self.state.borrow_mut().directory.expire(now);
        if gone.is_empty() {
            return;
        }
        for id in &gone {
            log::info!(server:% = id; "server gone: its entry did not reappear");
        }
        self.refresh_services();
    }
}

/// Maximum number of changes in one batch that are logged one by one; a larger batch, such as the
/// first list of a fleet, gets a single line.
const MAX_CHANGE_LINES: usize = 100;

impl Instance {
    /// Logs the changes of the list of backend servers and marks servers that are leaving.
    fn log_list_changes(&self, source: Source) {
        let now = self.now();
        let (changes, position) = {
            let mut state = self.state.borrow_mut();
            let changes = state.directory.take_visible_changes();
            changes.iter().filter_map(leaving_run).for_each(|run| {
                state.leaving.add(now, &run);
            });
            (changes, state.position().revision)
        };
        let source = source.as_str();
        if changes.len() > MAX_CHANGE_LINES {
            log::info!(changes = changes.len(), position, source; "list of servers applied");
            return;
        }
        changes.iter().for_each(|change| log_change(now, change, source));
    }
}

/// The process run that a list entry reports as leaving.
fn leaving_run(change: &VisibleChange) -> Option<BackendId> {
    match change {
        VisibleChange::Listed { record, .. } if record.state == ServerState::Leaving => {
            Some(record.run_id())
        }
        VisibleChange::Listed { .. } | VisibleChange::Removed { .. } => None,
    }
}

fn log_change(now: Micros, change: &VisibleChange, source: &str) {
    match change {
        VisibleChange::Listed { revision, record } => {
            let (run, service) = (record.run_id(), &*record.service);
            let state = format!("{:?}", record.state);
            let cold_ms = record.cold_for.as_millis() as u64;
            log::info!(
                server:% = run, service, address:% = record.address, state, cold_ms, revision, source;
                "server listed"
            );
        }
        VisibleChange::Removed { revision, id, gone_at } => {
            let hold_ms = gone_at.map_or(0.0, |at| (at - now).as_millis_f64());
            log::info!(server:% = id, revision, hold_ms, source; "server removed");
        }
    }
}
