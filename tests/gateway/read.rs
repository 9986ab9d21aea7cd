//! Reading from a socket.

use std::io::{self, ErrorKind, Read};

/// Reads once, and again if a signal interrupted that: a process that is stopped and continued, as
/// on a machine that is suspended, gets this error from a socket with a timeout. It says nothing of
/// the peer.
pub fn read_some(io: &mut impl Read, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        match io.read(buf) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
