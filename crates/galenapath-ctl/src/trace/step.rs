//! Processing steps of a request, as logged, and their description for people.

use std::fmt;

/// One processing step from the log line of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// An event at a server.
    AtServer {
        /// The server's identity.
        server: String,
        /// What was done at the server or how the attempt ended.
        event: String,
        /// For a send, the load, slowdown and age of the last load observation; otherwise the time
        /// taken.
        detail: String,
    },
    /// The request was rejected because its predicted wait was too long.
    Rejected {
        /// The predicted wait, such as `309ms`.
        predicted_wait: String,
    },
    /// Any other step, such as `copy` or `silent`.
    Other(String),
}

impl Step {
    /// Parses the steps of a line, which are separated by spaces.
    pub fn parse_all(text: &str) -> Vec<Self> {
        text.split_whitespace().map(Self::parse).collect()
    }

    fn parse(text: &str) -> Self {
        if let Some(predicted_wait) = text.strip_prefix("refused:predicted") {
            return Self::Rejected { predicted_wait: predicted_wait.to_owned() };
        }
        let mut parts = text.splitn(3, ':');
        match (parts.next(), parts.next(), parts.next()) {
            (Some(server), Some(event), detail) => Self::AtServer {
                server: server.to_owned(),
                event: event.to_owned(),
                detail: detail.unwrap_or_default().to_owned(),
            },
            _ => Self::Other(text.to_owned()),
        }
    }

    /// The server at which the step took place, if any.
    pub fn server(&self) -> Option<&str> {
        match self {
            Self::AtServer { server, .. } => Some(server),
            Self::Rejected { .. } | Self::Other(_) => None,
        }
    }
}

/// Describes an event at a server. Returns an empty string for an unknown event.
fn meaning(event: &str) -> &str {
    match event {
        "sent" => "sent there",
        "answered" => "answered",
        "server_error" => "answered with its own error",
        "unfit" => "slow, full or silent when queried; nothing was sent",
        "not_asked" => "load query budget spent; nothing was sent",
        "unreachable" => "no connection; nothing was sent",
        "refused" => "reported that it did not run the request",
        "other_server" => "another server has the address and did not run the request",
        "broken" => "the connection broke after the request was sent",
        "unsigned" | "unidentified" | "foreign" | "not_http" | "encoded" | "bad_framing"
        | "unproven_refusal" => "its answer could not be forwarded",
        _ => "",
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtServer { server, event, detail } => {
                let meaning = meaning(event);
                let meaning = if meaning.is_empty() { event } else { meaning };
                write!(f, "{server}: {meaning}")?;
                if detail.is_empty() { Ok(()) } else { write!(f, " ({event}:{detail})") }
            }
            Self::Rejected { predicted_wait } => {
                write!(f, "rejected: its wait was predicted to last {predicted_wait}")
            }
            Self::Other(word) => match word.as_str() {
                "copy" => write!(f, "hedged request sent"),
                "withdrawn" => write!(f, "most servers were in evacuated failure domains"),
                "cold" => write!(f, "most servers were warming up"),
                "limited" => write!(f, "most servers had stated a rate limit"),
                "paused" => write!(f, "most servers had paused requests from the instance"),
                "silent" => write!(f, "no answer after three times the usual time"),
                "caller_end_of_input" => write!(f, "the caller ended its sending side"),
                "caller_reset" => write!(f, "the caller reset the connection"),
                "caller_connection_failed" => write!(f, "the caller's connection failed"),
                "answer_ahead_failed" => {
                    write!(f, "the connection ended with the answer to a request ahead of it")
                }
                "retry_budget_spent" => write!(f, "retry budget spent; not retried"),
                other => write!(f, "{other}"),
            },
        }
    }
}
