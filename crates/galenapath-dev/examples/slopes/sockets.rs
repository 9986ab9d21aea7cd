//! Traffic between peers, from the kernel's socket counters.

use std::collections::HashMap;
use std::process::Command;

/// Bytes sent and received on connections, counted on the connecting side.
#[derive(Default)]
pub struct Sockets {
    last_bytes: HashMap<String, u64>,
    /// Bytes in both directions since the first sample.
    pub bytes: u64,
}

impl Sockets {
    /// Samples all connections to `port` at addresses that start with `prefix`, and adds the bytes
    /// since the previous sample.
    pub fn sample(&mut self, prefix: &str, port: u16) {
        let is_first = self.last_bytes.is_empty();
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
            let before = self.last_bytes.insert(format!("{local} {peer}"), bytes).unwrap_or(0);
            if !is_first {
                self.bytes += bytes.saturating_sub(before);
            }
        }
    }
}

fn count(fields: &[&str], name: &str) -> u64 {
    fields.iter().find_map(|f| f.strip_prefix(name)?.parse().ok()).unwrap_or(0)
}
