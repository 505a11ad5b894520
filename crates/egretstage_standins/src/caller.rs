//! Requests of callers and the responses that they receive.

use std::net::SocketAddr;
use std::time::Duration;

/// Default time limit for a complete response.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Request that a caller sends to an entry.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    method: String,
    path: String,
    body: String,
    token: String,
    budget_ms: Option<u64>,
    key: Option<String>,
}

impl CallerRequest {
    /// Creates a request to a plain service.
    #[must_use]
    pub fn plain(method: &str, path: &str, body: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            body: body.to_owned(),
            token: "desk-token".to_owned(),
            budget_ms: None,
            key: None,
        }
    }

    /// Creates a chat completion request with one message.
    #[must_use]
    pub fn chat(model: &str, prompt: &str, max_tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": model, "max_tokens": max_tokens, "stream": stream,
            "messages": chat_messages(prompt),
        });
        Self::plain("POST", "/v1/chat/completions", &body.to_string())
    }

    /// Sets the bearer token.
    #[must_use]
    pub fn token(mut self, token: &str) -> Self {
        token.clone_into(&mut self.token);
        self
    }

    /// Sets the time budget.
    #[must_use]
    pub fn budget(mut self, budget: Duration) -> Self {
        self.budget_ms = u64::try_from(budget.as_millis()).ok();
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sends the request and reads the complete response.
    ///
    /// # Panics
    ///
    /// Panics when a header has a character that HTTP doesn't allow.
    #[must_use]
    pub fn send(&self, entry: SocketAddr) -> CallerResponse {
        self.send_with_timeout(entry, CALL_TIMEOUT)
    }

    /// Sends the request and waits at most `timeout` for the complete response.
    ///
    /// # Panics
    ///
    /// Panics when a header has a character that HTTP doesn't allow.
    #[must_use]
    pub fn send_with_timeout(&self, entry: SocketAddr, timeout: Duration) -> CallerResponse {
        let client: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .max_idle_connections(0)
            .build()
            .into();
        let mut req = ureq::http::Request::builder()
            .method(self.method.as_str())
            .uri(format!("http://{entry}{}", self.path))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json");
        if let Some(budget_ms) = self.budget_ms {
            req = req.header("egret-budget-ms", budget_ms);
        }
        if let Some(key) = &self.key {
            req = req.header("idempotency-key", key);
        }
        let req = req.body(self.body.clone()).expect("valid headers");
        match client.run(req) {
            Ok(resp) => CallerResponse::read(resp),
            Err(e) => CallerResponse {
                error: Some(e.to_string()),
                ..CallerResponse::default()
            },
        }
    }
}

/// Returns the messages of a chat completion with one prompt.
#[must_use]
pub fn chat_messages(prompt: &str) -> serde_json::Value {
    serde_json::json!([{"role": "user", "content": prompt}])
}

/// Response that a caller received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerResponse {
    /// HTTP status; 0 when no response was received.
    pub status: u16,
    /// `Egret-Outcome` header.
    pub outcome: Option<String>,
    /// `Egret-Request-Id` header.
    pub request: Option<String>,
    /// `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The part of the body that was received.
    pub body: String,
    /// Why no complete response was received.
    pub error: Option<String>,
}

impl CallerResponse {
    fn read(mut resp: ureq::http::Response<ureq::Body>) -> Self {
        let header = |name: &str| {
            let value = resp.headers().get(name)?;
            value.to_str().ok().map(ToOwned::to_owned)
        };
        let mut received = Self {
            status: resp.status().as_u16(),
            outcome: header("egret-outcome"),
            request: header("egret-request-id"),
            retry_after: header("retry-after").and_then(|text| text.parse().ok()),
            ..Self::default()
        };
        match resp.body_mut().read_to_string() {
            Ok(body) => received.body = body,
            Err(e) => received.error = Some(e.to_string()),
        }
        received
    }

    /// Returns whether a complete response came from an upstream.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        self.error.is_none() && self.outcome.as_deref() == Some("completed")
    }

    /// Returns whether the request was refused as not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.error.is_none() && self.outcome.as_deref() == Some("not-run")
    }
}
