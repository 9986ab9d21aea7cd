//! The configuration and the list of backend servers, as far as this instance knows them.

use crate::instance::Instance;
use crate::leaving::Leaving;
use crate::packed::Packed;
use galenapath_platform::{Item, KeyEvent};
use galenapath_policy::LogLineKind;
use galenapath_protocol::{BackendId, Micros};
use galenapath_routes::{
    Change, Directory, Evacuations, ListNews, ListedServer, Removal, RouteTable, ServerChanges,
    ServerState,
};
use std::rc::Rc;

/// Time after the end of an outage of the store in which entries that lapsed meanwhile come back.
/// The platform promises two seconds.
const COME_BACK: Micros = Micros::from_millis(2_100);

/// What an instance knows of the platform.
///
/// Invariant: the version of `table` never falls while the process lives, and `config` holds the text that
/// `table` was read from.
#[derive(Default)]
pub(crate) struct State {
    table: Rc<RouteTable>,
    /// Text of the configuration in force, packed as it is sent to other instances: the text itself, a
    /// quarter of a megabyte for a thousand routes, is not needed any more.
    config: Option<Packed>,
    directory: Directory,
    /// Failure domains whose servers get nothing. Whoever takes in a list takes these in before it, so that
    /// no instance serves without them.
    pub(crate) evacuations: Evacuations,
    /// Servers that leave.
    pub(crate) leaving: Leaving,
    /// Until when vanished entries are given time to come back; set when the store is back after
    /// no instance was answered.
    comes_back_until: Micros,
}

impl State {
    /// Whether both the configuration and the list are known.
    pub(crate) fn is_known(&self) -> bool {
        self.config.is_some() && self.directory.position() > 0
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> &Rc<RouteTable> {
        &self.table
    }

    /// The configuration in force as it is sent to other instances; `None` before the first one.
    pub(crate) fn config(&self) -> Option<&Packed> {
        self.config.as_ref()
    }

    /// The backend servers.
    pub(crate) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// What a peer at `position` lacks of the list. Servers that have said that they leave are told as such.
    pub(crate) fn changes_after(&self, position: u64, now: Micros) -> ServerChanges {
        let mut changes = self.directory.changes_after(position, now);
        for put in &mut changes.puts {
            if self.leaving.contains(&put.record.run_id()) {
                put.record.state = ServerState::Leaving;
            }
        }
        changes
    }

    /// Position in the store up to which all is known. The operator's keys and the servers' entries are read
    /// one after the other: what the operator changed between the two reads is still to come.
    pub(crate) fn position(&self) -> u64 {
        self.directory.position().min(self.evacuations.position())
    }

    /// Counts up with each visible change of the servers and of what they may get.
    pub(crate) fn generation(&self) -> u64 {
        self.directory.generation() + self.evacuations.generation()
    }

    /// The store is back after an outage that met every instance.
    pub(crate) fn store_is_back(&mut self, now: Micros) {
        self.comes_back_until = now + COME_BACK;
    }

    /// When an entry that vanishes now counts as gone; `None` for at once.
    fn gone_at(&self, now: Micros) -> Option<Micros> {
        (self.comes_back_until > now).then_some(self.comes_back_until)
    }
}

/// What led to a change, for the log.
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
    /// Takes a configuration that the store has over if it is newer than the one in force.
    pub(crate) fn take_config(&self, text: &[u8]) {
        self.take_text(text, Source::Store, || Packed::pack(text));
    }

    /// Takes over a configuration that another instance has sent.
    ///
    /// # Errors
    ///
    /// When it cannot be unpacked.
    pub(crate) fn take_packed(&self, packed: Packed) -> std::io::Result<()> {
        let text = packed.unpack()?;
        self.take_text(&text, Source::Peer, || packed);
        Ok(())
    }

    fn take_text(&self, text: &[u8], source: Source, packed: impl FnOnce() -> Packed) {
        let before = self.state.borrow().table.version();
        let source = source.as_str();
        let table = match self.dialect.route_table(text) {
            Ok(table) => table,
            Err(e) => {
                log::error!(error = e, source, in_force = before; "configuration refused");
                return;
            }
        };
        let (version, routes) = (table.version(), table.len());
        let is_first = self.state.borrow().config.is_none();
        if version <= before && !is_first {
            return;
        }
        let mut state = self.state.borrow_mut();
        state.table = Rc::new(table);
        state.config = Some(packed());
        drop(state);
        self.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        log::info!(version, before, routes, source; "configuration in force");
        self.reset_splits();
        self.refresh_services();
    }

    /// Takes in changes that a watch on the store saw, up to `position`.
    pub(crate) fn take_events(&self, events: &[KeyEvent], position: u64) {
        for event in events {
            self.take_event(event);
        }
        {
            let mut state = self.state.borrow_mut();
            state.directory.reached(position);
            state.evacuations.reached(position);
        }
        self.note_list_news(Source::Store);
        self.refresh_services();
    }

    fn take_event(&self, event: &KeyEvent) {
        if event.key() == self.dialect.config_key() {
            if let KeyEvent::Put(item) = event {
                self.take_config(&item.value);
            }
            return;
        }
        if let Some(domain) = self.evacuated_domain(event.key()) {
            self.take_evacuation_event(domain, event);
            return;
        }
        let Some(id) = self.server_id(event.key()) else { return };
        let mut gone_at = self.state.borrow().gone_at(self.now());
        let (revision, change) = match event {
            KeyEvent::Put(item) => match self.dialect.server(id, &item.value) {
                Ok(record) => (item.revision.0, Change::Put(record)),
                Err(e) => {
                    self.note_unreadable(id, item.revision.0, &e);
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

    /// The identity in the key of a server's entry; `None` for any other key.
    fn server_id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.dialect.servers_prefix())
    }

    /// An entry below the servers' prefix is not a server's own: it names no server.
    fn note_unreadable(&self, id: &str, revision: u64, error: &str) {
        self.metrics.unreadable_entries.inc();
        if self.may_log(LogLineKind::Failure) {
            log::warn!(server = id, revision, error; "entry names no server");
        }
    }

    /// Takes in the whole list as the store gave it: the entries below the servers' prefix.
    pub(crate) fn take_list(&self, position: u64, items: &[Item]) {
        let mut list = Vec::with_capacity(items.len());
        let mut unreadable = Vec::new();
        for Item { key, value, revision } in items {
            let (id, revision) = (self.server_id(key).unwrap_or(key), revision.0);
            match self.dialect.server(id, value) {
                Ok(record) => list.push(ListedServer { revision, record, lapses_in: None }),
                Err(e) => {
                    self.note_unreadable(id, revision, &e);
                    unreadable.push(Removal { revision, id: BackendId(id.into()) });
                }
            }
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let gone_at = state.gone_at(now);
        for Removal { revision, id } in unreadable {
            state.directory.apply(revision, Change::Removed(id), None);
        }
        state.directory.take_list(position, list, gone_at);
        drop(state);
        self.note_list_news(Source::Store);
        self.refresh_services();
    }

    /// Takes in what another instance knows.
    pub(crate) fn take_changes(&self, changes: ServerChanges) {
        let now = self.now();
        self.state.borrow_mut().directory.merge(changes, now);
        self.note_list_news(Source::Peer);
        self.refresh_services();
    }

    /// Drops servers whose entries did not come back.
    pub(crate) fn expire_servers(&self) {
        let now = self.now();
        let gone = self.state.borrow_mut().directory.expire(now);
        if gone.is_empty() {
            return;
        }
        for id in &gone {
            log::info!(server:% = id; "server gone: its entry did not come back");
        }
        self.refresh_services();
    }
}

/// Changes of the list in one go up to which each has a line; the first list of a fleet has one for all.
const MOST_LINES: usize = 100;

impl Instance {
    /// Writes a line for each change of the list of backend servers.
    fn note_list_news(&self, source: Source) {
        let now = self.now();
        let (news, position) = {
            let mut state = self.state.borrow_mut();
            let news = state.directory.take_news();
            news.iter().filter_map(leaving_run).for_each(|run| {
                state.leaving.add(now, &run);
            });
            (news, state.position())
        };
        let source = source.as_str();
        if news.len() > MOST_LINES {
            log::info!(changes = news.len(), position, source; "list of servers taken");
            return;
        }
        news.iter().for_each(|news| log_news(now, news, source));
    }
}

/// The run that an entry says leaves.
fn leaving_run(news: &ListNews) -> Option<BackendId> {
    match news {
        ListNews::Listed { record, .. } if record.state == ServerState::Leaving => {
            Some(record.run_id())
        }
        ListNews::Listed { .. } | ListNews::Removed { .. } => None,
    }
}

fn log_news(now: Micros, news: &ListNews, source: &str) {
    match news {
        ListNews::Listed { revision, record } => {
            let (run, service) = (record.run_id(), &*record.service);
            let state = format!("{:?}", record.state);
            let cold_ms = record.cold_for.as_millis() as u64;
            log::info!(
                server:% = run, service, address:% = record.address, state, cold_ms, revision, source;
                "server listed"
            );
        }
        ListNews::Removed { revision, id, gone_at } => {
            let hold_ms = gone_at.map_or(0.0, |at| (at - now).as_millis_f64());
            log::info!(server:% = id, revision, hold_ms, source; "server removed");
        }
    }
}
