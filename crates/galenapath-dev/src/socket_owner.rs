//! Finds out which process has opened a connection.
//!
//! All processes of a test share the loopback address, so that an address alone does not tell from
//! which of them a connection comes.

use std::fs;
use std::net::{IpAddr, SocketAddr};

/// Columns of a socket's local and remote address in the kernel's table of connections.
const ADDRESSES: std::ops::RangeInclusive<usize> = 1..=2;

/// Column of its inode.
const INODE: usize = 9;

/// How often the table is read for a socket that is not in it. The table may change while it is
/// read, and entries are then left out.
const MAX_READS: usize = 4;

/// Whether the process `pid` has the socket of the connection from `local` to `remote`.
pub(crate) fn owns_socket(pid: u32, local: SocketAddr, remote: SocketAddr) -> bool {
    let Some(inode) = (0..MAX_READS).find_map(|_| inode_of(local, remote)) else { return false };
    let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let name = format!("socket:[{inode}]");
    descriptors
        .flatten()
        .filter_map(|entry| fs::read_link(entry.path()).ok())
        .any(|target| target.as_os_str() == name.as_str())
}

/// Inode of the socket of a connection.
fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<u64> {
    let addresses = [column(local)?, column(remote)?];
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_it = columns.get(ADDRESSES)? == addresses;
        is_it.then(|| columns.get(INODE)?.parse().ok())?
    })
}

/// An address as the table has it: in the byte order of the machine.
fn column(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    Some(format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port()))
}
