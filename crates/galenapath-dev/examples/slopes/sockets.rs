//! Bytes on the connections between peers, as the kernel counts them.

use std::collections::HashMap;
use std::process::Command;

/// Bytes sent and received per connection, seen from the side that connected.
#[derive(Default)]
pub struct Sockets {
    seen: HashMap<String, u64>,
    /// Bytes since the first look, in both directions.
    pub bytes: u64,
}

impl Sockets {
    /// Looks at all connections to port `port` below `prefix` and adds what has passed.
    pub fn look(&mut self, prefix: &str, port: u16) {
        let is_first = self.seen.is_empty();
        let filter = format!("( dport = :{port} )");
        let output = Command::new("ss").args(["-tinHO", &filter]).output();
        let Ok(output) = output else { return };
        for line in String::from_utf8_lossy(&output.stdout).lines() {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let Some((local, peer)) = fields.get(3).zip(fields.get(4)) else { continue };
            if !peer.starts_with(prefix) {
                continue;
            }
            let bytes = count(&fields, "bytes_sent:") + count(&fields, "bytes_received:");
            let before = self.seen.insert(format!("{local} {peer}"), bytes).unwrap_or(0);
            if !is_first {
                self.bytes += bytes.saturating_sub(before);
            }
        }
    }
}

fn count(fields: &[&str], name: &str) -> u64 {
    fields.iter().find_map(|f| f.strip_prefix(name)?.parse().ok()).unwrap_or(0)
}
