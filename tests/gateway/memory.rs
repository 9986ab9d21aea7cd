//! How much memory an instance takes.

use super::Gateway;

impl Gateway {
    /// Resident memory in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }
}
