//! Finds out which process has opened a connection.
//!
//! All processes of a test share the loopback address, so that an address alone does not tell from
//! which of them a connection comes. The kernel's socket diagnostics give the inode of a socket, and
//! a process's descriptors name the inodes that it has.

use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketType, netlink, recv, sendto, socket};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Type of a request for the state of a socket, and of its answer.
const SOCK_DIAG_BY_FAMILY: u16 = 20;

/// Flag of a request.
const NLM_F_REQUEST: u16 = 1;

/// Numbers of the address family and of the protocol in a request.
const FAMILY_IPV4: u8 = 2;
const PROTOCOL_TCP: u8 = 6;

/// Length of the header of a message.
const HEADER_LEN: usize = 16;

/// Position of the inode in an answer.
const INODE_AT: usize = HEADER_LEN + 68;

/// Whether the process `pid` has the socket of the connection from `local` to `remote`.
pub(crate) fn owns_socket(pid: u32, local: SocketAddr, remote: SocketAddr) -> bool {
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else { return false };
    let Some(inode) = inode_of(local, remote) else { return false };
    let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let name = format!("socket:[{inode}]");
    descriptors
        .flatten()
        .filter_map(|entry| fs::read_link(entry.path()).ok())
        .any(|target| target.as_os_str() == name.as_str())
}

/// Inode of the socket of a connection.
fn inode_of(local: SocketAddrV4, remote: SocketAddrV4) -> Option<u32> {
    let kernel = netlink::SocketAddrNetlink::new(0, 0);
    let diagnostics =
        socket(AddressFamily::NETLINK, SocketType::DGRAM, Some(netlink::SOCK_DIAG)).ok()?;
    sendto(&diagnostics, &request(local, remote), SendFlags::empty(), &kernel).ok()?;
    let mut answer = [0; 256];
    let (len, _) = recv(&diagnostics, &mut answer, RecvFlags::empty()).ok()?;
    let answer = answer.get(..len)?;
    let kind = u16::from_ne_bytes(answer.get(4..6)?.try_into().ok()?);
    let inode = u32::from_ne_bytes(answer.get(INODE_AT..INODE_AT + 4)?.try_into().ok()?);
    (kind == SOCK_DIAG_BY_FAMILY).then_some(inode)
}

/// A request for the state of one TCP socket.
fn request(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let address = |ip: &Ipv4Addr| [&ip.octets()[..], &[0; 12]].concat();
    let mut body = vec![FAMILY_IPV4, PROTOCOL_TCP, 0, 0];
    body.extend(u32::MAX.to_ne_bytes()); // all states
    body.extend(local.port().to_be_bytes());
    body.extend(remote.port().to_be_bytes());
    body.extend(address(local.ip()));
    body.extend(address(remote.ip()));
    body.extend([0; 4]); // any interface
    body.extend([u8::MAX; 8]); // any cookie
    let len = (HEADER_LEN + body.len()) as u32;
    let mut message = len.to_ne_bytes().to_vec();
    message.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    message.extend(NLM_F_REQUEST.to_ne_bytes());
    message.extend([0; 8]); // sequence number and sender
    message.extend(body);
    message
}
