//! What a request's steps say, in words.

use std::fmt;

/// One step of a request, as its log line has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Something at a server.
    AtServer {
        /// The server's identity.
        server: String,
        /// What was done or how it ended.
        what: String,
        /// Load, pace and age of what was known, or the time that it took.
        detail: String,
    },
    /// A wait was predicted to be too long.
    Refused {
        /// The predicted wait, such as `309ms`.
        predicted: String,
    },
    /// Anything else, such as `copy` or `silent`.
    Word(String),
}

impl Step {
    /// Reads all steps of a line.
    pub fn parse_all(text: &str) -> Vec<Self> {
        text.split_whitespace().map(Self::parse).collect()
    }

    fn parse(text: &str) -> Self {
        if let Some(predicted) = text.strip_prefix("refused:predicted") {
            return Self::Refused { predicted: predicted.to_owned() };
        }
        let mut parts = text.splitn(3, ':');
        match (parts.next(), parts.next(), parts.next()) {
            (Some(server), Some(what), detail) => Self::AtServer {
                server: server.to_owned(),
                what: what.to_owned(),
                detail: detail.unwrap_or_default().to_owned(),
            },
            _ => Self::Word(text.to_owned()),
        }
    }

    /// The server that the step is about.
    pub fn server(&self) -> Option<&str> {
        match self {
            Self::AtServer { server, .. } => Some(server),
            Self::Refused { .. } | Self::Word(_) => None,
        }
    }
}

/// What an outcome at a server means.
fn meaning(what: &str) -> &str {
    match what {
        "sent" => "sent there",
        "answered" => "answered",
        "server_error" => "answered with an error of its own",
        "unfit" => "slow, full or silent when it was asked; nothing was sent",
        "not_asked" => "no more questions to it were left; nothing was sent",
        "unreachable" => "no connection; nothing was sent",
        "refused" => "said that it did not run the request",
        "other_server" => "another server has the address and did not run the request",
        "broken" => "the connection broke after the request was sent",
        "unsigned" | "unidentified" | "foreign" | "not_http" | "encoded" | "bad_framing"
        | "unproven_refusal" => "its answer could not be passed on",
        _ => "",
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtServer { server, what, detail } => {
                let meaning = meaning(what);
                let meaning = if meaning.is_empty() { what } else { meaning };
                write!(f, "{server}: {meaning}")?;
                if detail.is_empty() { Ok(()) } else { write!(f, " ({what}:{detail})") }
            }
            Self::Refused { predicted } => {
                write!(f, "refused: its wait was predicted to last {predicted}")
            }
            Self::Word(word) => match word.as_str() {
                "copy" => write!(f, "a second copy went out"),
                "withdrawn" => write!(f, "most servers were in evacuated failure domains"),
                "cold" => write!(f, "most servers were cold"),
                "limited" => write!(f, "most servers named a rate limit"),
                "paused" => write!(f, "most servers wanted nothing from the instance"),
                "silent" => write!(f, "no answer after three times the usual"),
                "retry_budget_spent" => write!(f, "the retry budget was spent: not sent again"),
                other => write!(f, "{other}"),
            },
        }
    }
}
