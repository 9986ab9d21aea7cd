//! Faults of a stand-in backend server.

/// Fault of a server in handling requests; its health answers stay correct.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerFault {
    /// No fault.
    #[default]
    None,
    /// Rejects the request and states that it did not run it.
    Shed,
    /// Rejects every second request on a connection like that, and sends a second copy of the
    /// rejection where the answer to the next request is due, which it runs.
    ShedWithLateCopy,
    /// Runs the request and closes the connection without an answer.
    Mute,
    /// Runs the request and never answers.
    Hang,
    /// Runs the request and answers with status 500.
    Errors,
    /// Answers without a signature.
    Unsigned,
    /// Closes the connection before the last byte of the answer.
    BreaksOff,
    /// Closes the connection after this number of bytes of the answer.
    BreaksOffAfter(usize),
    /// Runs the request and writes this in place of the status code.
    StatusText(&'static str),
    /// Sends a second answer after the first.
    Extra,
    /// Sends the answer to another request before the right one.
    Foreign,
    /// Runs the request and answers with status 503, without stating whether it ran.
    Busy,
    /// Answers as another instance (status 421): its address now belongs to a different server.
    Other,
    /// Crashes at the end of the work on a request whose path contains `poison`, with all requests
    /// in flight; refuses connections until it restarts after one second.
    CrashesOnPoison,
    /// The same, also if the connection of the request closes before the end of the work.
    CrashesOnAbandonedPoison,
    /// Crashes after half of the answer.
    CrashesInAnswer,
    /// Closes a connection that was idle for more than 300 ms when the next request arrives on it.
    ForgetsIdle,
    /// Sends bytes without end where the answer to a request is due.
    Endless(EndlessPart),
    /// The same where the answer to a load query is due.
    EndlessProbes(EndlessPart),
}

/// The part of an answer that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// The status line.
    StatusLine,
    /// The header fields.
    Fields,
    /// Interim answers (1xx).
    Interim,
    /// A body that ends with the connection.
    Body,
    /// A body in chunks.
    Chunks,
    /// The extension of a chunk's size.
    Extension,
    /// The trailers after the last chunk.
    Trailers,
}
