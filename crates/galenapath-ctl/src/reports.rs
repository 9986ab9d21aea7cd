//! The commands `galenactl status`, `audit` and `explain`.

use crate::client::Client;
use crate::output::{Table, print};
use crate::{CtlError, OutputFormat};
use galenapath_config::wire::{AuditWire, ChangeRecordWire, ClassWire, ExplainWire, StatusWire};

pub(crate) async fn status(client: &Client, format: OutputFormat) -> Result<(), CtlError> {
    let status: StatusWire = client.get("/v1/status").await?;
    print(format, &status, status_table)
}

/// Reads the audit trail from `after` to its end, page by page.
pub(crate) async fn audit(
    client: &Client,
    format: OutputFormat,
    after: u64,
) -> Result<(), CtlError> {
    let mut audit: AuditWire = client.get(&format!("/v1/audit?after={after}")).await?;
    while let (false, Some(last)) = (audit.complete, audit.records.last()) {
        let next: AuditWire = client.get(&format!("/v1/audit?after={}", last.version)).await?;
        if next.records.is_empty() {
            break;
        }
        audit.records.extend(next.records);
        audit.complete = next.complete;
        audit.version = next.version;
    }
    print(format, &audit, audit_table)
}

pub(crate) async fn explain(
    client: &Client,
    format: OutputFormat,
    id: &str,
) -> Result<(), CtlError> {
    let explain: ExplainWire = client.get(&format!("/v1/requests/{}", escape(id))).await?;
    print(format, &explain, explain_table)
}

/// Percent-encodes the bytes that could end the path or break the request line.
fn escape(id: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    let encode = |b: u8| match plain(b) {
        true => char::from(b).to_string(),
        false => format!("%{b:02X}"),
    };
    id.bytes().map(encode).collect()
}

fn status_table(status: &StatusWire) -> Table {
    let store = &status.store;
    let mut table = Table::new(&["FIELD", "VALUE"]);
    let mut row = |field: &str, value: String| table.push_row(vec![field.to_owned(), value]);
    row("instance", status.instance.clone());
    row("domain", status.domain.clone());
    row("incarnation", status.incarnation.clone());
    row("state", status.state.to_string());
    row("version", status.version.to_string());
    let reachable = if store.reachable { "answers" } else { "does not answer" };
    let watching = if store.watching { ", watched" } else { "" };
    row("store", format!("{reachable}{watching}"));
    row("store calls", format!("{} reads, {} writes", store.reads, store.writes));
    row("store failures", store.failures.to_string());
    for peer in &status.peers {
        let value = format!("version {}, reported {} ms ago", peer.version, peer.age_ms);
        row(&format!("peer {}", peer.name), value);
    }
    table
}

fn audit_table(audit: &AuditWire) -> Table {
    let mut table = Table::new(&["VERSION", "AT-UNIX-MS", "AUTHOR", "ID", "CLASS", "FROM", "TO"]);
    for record in &audit.records {
        table.push_row(vec![
            record.version.to_string(),
            record.at_unix_ms.to_string(),
            record.author.clone(),
            record.id.clone(),
            class_name(record),
            class_text(record.from.as_ref()),
            class_text(record.to.as_ref()),
        ]);
    }
    table
}

fn class_name(record: &ChangeRecordWire) -> String {
    let class = record.to.as_ref().or(record.from.as_ref());
    class.map(|class| class.name.clone()).unwrap_or_default()
}

fn class_text(class: Option<&ClassWire>) -> String {
    match class {
        Some(class) => format!("{} ms {}", class.target.latency_ms, class.target.share),
        None => "-".to_owned(),
    }
}

fn explain_table(explain: &ExplainWire) -> Table {
    let mut table = Table::new(&["FIELD", "VALUE"]);
    let mut row = |field: &str, value: String| table.push_row(vec![field.to_owned(), value]);
    row("request", explain.id.clone());
    row("class", explain.class.clone().unwrap_or_else(|| "-".to_owned()));
    row("workspace", explain.workspace.clone().unwrap_or_else(|| "-".to_owned()));
    row("status", explain.status.to_string());
    row("verdict", explain.verdict.clone());
    row("why", explain.why.clone());
    row("queued", format!("{} us", explain.queued_us));
    row("total", format!("{} us", explain.total_us));
    for (n, backend) in explain.backends.iter().enumerate() {
        row(&format!("attempt {}", n + 1), backend.clone());
    }
    table
}
