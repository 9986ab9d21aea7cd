//! Classes that exist before a scenario starts.
//!
//! They are written to the store as accepted changes, so that scenarios that test other features
//! do not depend on the operators' API.

use super::error::ScenarioError;
use super::line::Line;
use crate::wire::exchange;
use galenapath_config::{
    Chain, Change, ChangeId, ChangeRequest, Class, ClassKind, Config, HEAD_KEY, Head, Share,
    TailLimits, Target, Version, encode_head, propose,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// The classes added so far.
#[derive(Default)]
pub struct Preset {
    head: Head,
}

impl Preset {
    /// Runs `class NAME service=… kind=… [path=…] [methods=…] [target_ms=…]
    /// [share=…]`: adds the class and writes all classes to the store.
    pub async fn add(&mut self, line: &Line, store: SocketAddr) -> Result<(), ScenarioError> {
        let bad = |text: String| ScenarioError::bad(format!("class: {text}"));
        let class = read_class(line)?;
        let chain = Chain::follow(&Arc::new(Config::default()), self.head.clone());
        let chain = chain.map_err(|e| bad(e.to_string()))?;
        let id = ChangeId(format!("preset-{}", class.name));
        let change = Change::CreateClass(class);
        let req = ChangeRequest { id, author: "scenario".to_owned(), base: Version(0), change };
        let proposal = propose(&chain, &req, 0, TailLimits::DEFAULT);
        self.head = proposal.map_err(|e| bad(e.to_string()))?.head;
        let value = encode_head(&self.head).map_err(|e| bad(e.to_string()))?;
        let path = format!("/v1/kv/{HEAD_KEY}");
        let read = exchange(store, "GET", &path, b"").await;
        let read = read.map_err(ScenarioError::call("reading the classes from the store"))?;
        let entries: serde_json::Value = serde_json::from_slice(&read.body).unwrap_or_default();
        let cas = entries[0]["ModifyIndex"].as_u64().unwrap_or(0);
        let answer = exchange(store, "PUT", &format!("{path}?cas={cas}"), &value).await;
        let answer = answer.map_err(ScenarioError::call("writing the classes to the store"))?;
        match answer.body.trim_ascii() {
            b"true" => Ok(()),
            other => Err(bad(String::from_utf8_lossy(other).into_owned())),
        }
    }
}

fn read_class(line: &Line) -> Result<Class, ScenarioError> {
    let kind = match line.option("kind") {
        Some("filing") => ClassKind::Filing,
        Some("transfer") => ClassKind::Transfer,
        Some("lookup") | None => ClassKind::Lookup,
        Some(other) => return Err(ScenarioError::bad(format!("unknown kind of class `{other}`"))),
    };
    let methods = line.option("methods").unwrap_or("");
    let number = |name: &str, default: f64| match line.option(name) {
        Some(text) => text.parse().map_err(|_| ScenarioError::bad(format!("{name}={text}"))),
        None => Ok(default),
    };
    let share = Share::from_f64(number("share", 0.99)?);
    Ok(Class {
        name: line.word(1).to_owned(),
        service: line.option("service").unwrap_or("main").to_owned(),
        kind,
        methods: methods.split(',').filter(|m| !m.is_empty()).map(str::to_owned).collect(),
        path_prefix: line.option("path").unwrap_or("/").to_owned(),
        target: Target {
            latency_ms: number("target_ms", 1_000.0)? as u32,
            share: share.ok_or_else(|| ScenarioError::bad("share must be between 0 and 1"))?,
        },
        revision: Version(0),
    })
}
