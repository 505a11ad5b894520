//! The calls that the clients share.

use crate::PlatformError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

pub(crate) fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

pub(crate) fn get<T: DeserializeOwned>(agent: &ureq::Agent, url: &str) -> Result<T, PlatformError> {
    json(url, &read(url, agent.get(url).call())?)
}

pub(crate) fn post<T: DeserializeOwned>(
    agent: &ureq::Agent,
    url: &str,
    body: &impl Serialize,
) -> Result<T, PlatformError> {
    json(url, &read(url, agent.post(url).send_json(body))?)
}

fn json<T: DeserializeOwned>(url: &str, body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed {
        url: url.to_owned(),
        reason: e.to_string(),
    })
}

fn read(
    url: &str,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Vec<u8>, PlatformError> {
    let no_answer = |e: ureq::Error| PlatformError::NoAnswer {
        url: url.to_owned(),
        reason: e.to_string(),
    };
    let mut resp = result.map_err(no_answer)?;
    let status = resp.status().as_u16();
    let body = resp.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    let body = body.read_to_vec().map_err(no_answer)?;
    if !(200..300).contains(&status) {
        return Err(PlatformError::Refused {
            url: url.to_owned(),
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        });
    }
    Ok(body)
}

/// Calls a service of the platform whose bodies are not all JSON.
///
/// Each call has a timeout of its own: that of the wait that it asks for and
/// the time for an answer.
#[derive(Clone, Debug)]
pub struct HttpClient {
    agent: ureq::Agent,
    base: String,
    answer_timeout: Duration,
}

impl HttpClient {
    /// Uses the service at a base URL; `answer_timeout` is the longest time
    /// for an answer beyond the wait that a call asks for.
    #[must_use]
    pub fn new(base: &str, answer_timeout: Duration) -> Self {
        Self {
            agent: agent(),
            base: base.trim_end_matches('/').to_owned(),
            answer_timeout,
        }
    }

    /// Returns a client that shares the connections and waits for so long.
    #[must_use]
    pub fn with_answer_timeout(&self, answer_timeout: Duration) -> Self {
        Self {
            answer_timeout,
            ..self.clone()
        }
    }

    /// Gets a path, whose answer may take `wait` longer than others.
    ///
    /// # Errors
    ///
    /// Returns an error without an answer, or with one that isn't a success.
    pub fn get(&self, path: &str, wait: Duration) -> Result<Vec<u8>, PlatformError> {
        let url = format!("{}{path}", self.base);
        let timeout = Some(self.answer_timeout + wait);
        let req = self.agent.get(&url).config().timeout_global(timeout);
        read(&url, req.build().call())
    }

    /// Posts bytes to a path.
    ///
    /// # Errors
    ///
    /// Returns an error without an answer, or with one that isn't a success.
    /// After [`PlatformError::NoAnswer`] the call may have taken effect.
    pub fn post(
        &self,
        path: &str,
        content_type: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, PlatformError> {
        let url = format!("{}{path}", self.base);
        let timeout = Some(self.answer_timeout);
        let req = self.agent.post(&url).config().timeout_global(timeout);
        let req = req.build().header("content-type", content_type);
        read(&url, req.send(body))
    }
}
