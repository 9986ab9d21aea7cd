//! HTTP client for the operators' interface of an entry instance. Each call opens its own
//! connection.

use crate::CtlError;
use galenapath_config::wire::ErrorWire;
use galenapath_http::{
    BodyState, Connection, Framing, HeadTimeouts, HttpError, put_request, response_framing,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use monoio::net::TcpStream;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of the head of an answer, in bytes.
const HEAD_LIMIT: usize = 16 * 1024;
/// Maximum size of the body of an answer, in bytes.
const BODY_LIMIT: usize = 8 << 20;
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one entry instance.
pub(crate) struct Client {
    address: SocketAddr,
    token: Option<String>,
    timeout: Duration,
}

impl Client {
    pub(crate) fn new(address: SocketAddr, token: Option<String>, timeout: Duration) -> Self {
        Self { address, token, timeout }
    }

    /// Sends a GET request and parses the answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.call(Method::GET, path, &[]).await
    }

    /// Sends `body` and parses the answer. If the call fails after the request was sent, the
    /// request may still have taken effect.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &[u8],
    ) -> Result<T, CtlError> {
        self.call(Method::POST, path, body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<T, CtlError> {
        let mut connection = self.connect().await?;
        let exchange = self.exchange(&mut connection, &method, path, body);
        let answer = monoio::time::timeout(self.timeout, exchange).await;
        let (status, body) = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => return Err(self.no_answer(e.to_string())),
            Err(_) => return Err(self.no_answer(format!("no answer within {:?}", self.timeout))),
        };
        let unreadable = |e: serde_json::Error| CtlError::BadAnswer {
            address: self.address,
            reason: format!("status {status}, {e}"),
        };
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(unreadable);
        }
        Err(CtlError::ErrorAnswer(serde_json::from_slice::<ErrorWire>(&body).map_err(unreadable)?))
    }

    async fn connect(&self) -> Result<Connection, CtlError> {
        let unreachable = |reason: String| CtlError::Unreachable { address: self.address, reason };
        let connect = TcpStream::connect(self.address);
        match monoio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(io)) => Ok(Connection::new(io, HEAD_LIMIT)),
            Ok(Err(e)) => Err(unreachable(e.to_string())),
            Err(_) => Err(unreachable(format!("no connection within {CONNECT_TIMEOUT:?}"))),
        }
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<(StatusCode, Vec<u8>), HttpError> {
        let framing = match body.len() {
            0 => Framing::None,
            len => Framing::Length(len as u64),
        };
        put_request(connection.output(), method, path, &self.headers(), &[], framing);
        connection.write_body(framing, body).await?;
        connection.finish_body(framing).await?;
        let times = HeadTimeouts { idle: self.timeout, head: self.timeout };
        let head = connection.read_final_response(times).await?;
        let framing = response_framing(method, head.status, &head.headers)?;
        let mut state = BodyState::new(framing);
        let mut answer = Vec::new();
        while let Some(chunk) = connection.read_body(&mut state).await? {
            if answer.len() + chunk.len() > BODY_LIMIT {
                return Err(HttpError::BadFraming("the answer is too large"));
            }
            answer.extend_from_slice(&chunk);
        }
        Ok((head.status, answer))
    }

    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        let bearer = self.token.as_ref().map(|token| format!("Bearer {token}"));
        if let Some(Ok(mut value)) = bearer.map(|text| HeaderValue::from_str(&text)) {
            value.set_sensitive(true);
            headers.insert(header::AUTHORIZATION, value);
        }
        headers
    }

    fn no_answer(&self, reason: String) -> CtlError {
        CtlError::NoAnswer { address: self.address, reason }
    }
}
