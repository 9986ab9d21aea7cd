//! When a quota is contended, as one instance finds it.

use galenapath_protocol::Micros;

/// Time for which the quota has to be uncontended before instances count as no longer reporting to
/// all: they find that at different moments, and it may be contended again at once.
const CONTENTION_GAP: Micros = Micros::from_millis(300);

/// When a quota is contended, and since when all instances have reported to all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contention {
    /// Since when the quota is contended; `None` while it is not.
    since: Option<Micros>,
    /// When it was last contended.
    last_at: Micros,
    /// Since when all instances reported to all, when it was last contended. What they reported to
    /// their owners before that is not known here.
    all_report_since: Micros,
}

impl Contention {
    /// Records whether the quota is contended now.
    pub(super) fn update(&mut self, now: Micros, is_contended: bool) {
        if !is_contended {
            self.since = None;
            return;
        }
        self.all_report_since = self.all_report_since(now).unwrap_or(now);
        self.last_at = now;
        self.since.get_or_insert(now);
    }

    /// Since when the quota is contended; `None` while it is not.
    pub(super) fn since(&self) -> Option<Micros> {
        self.since
    }

    /// Since when this instance has got all reports of all instances; `None` while they report to
    /// owners only.
    pub(super) fn all_report_since(&self, now: Micros) -> Option<Micros> {
        (now - self.last_at <= CONTENTION_GAP).then_some(self.all_report_since)
    }
}
