//! A whole answer in the form in which it also travels between hosts.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    http::message::Headers,
    openai::ErrorAnswer,
    outcome::RunStateWord,
    peer::frame::Field,
    recorder::Ending,
    ticket::{
        call::KeptResponse,
        refusal::TicketRefusal, //
    },
    upstream, //
};

/// An answer in the form in which it also travels between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<Field>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl PlainAnswer {
    /// A JSON value.
    pub fn json(status: u16, value: &Value) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: value.to_string().into_bytes(),
        }
        .with_field("content-type", "application/json")
    }

    /// The same answer with one more header field.
    pub fn with_field(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Field {
            name: name.into(),
            value: value.into(),
        });
        self
    }

    fn with_retry_after(self, seconds: Option<u64>) -> Self {
        match seconds {
            Some(seconds) => self.with_field("retry-after", &seconds.to_string()),
            None => self,
        }
    }

    /// The error answer in the form of the caller interface.
    pub fn from_error(answer: &ErrorAnswer) -> Self {
        Self {
            status: answer.status,
            headers: Vec::new(),
            body: answer.to_json(),
        }
        .with_field("content-type", "application/json")
        .with_retry_after(answer.retry_after_s())
    }

    /// An answer that was kept.
    pub fn from_kept(kept: &KeptResponse) -> Self {
        let fields = kept.fields.iter().map(|field| Field {
            name: field.name.clone(),
            value: field.value.clone(),
        });
        Self {
            status: kept.status,
            headers: fields.collect(),
            body: kept.body.clone(),
        }
    }

    /// The refusal of a ticketed call.
    pub fn from_refusal(refusal: &TicketRefusal) -> Self {
        let error = error_of(refusal);
        Self::json(refusal.status(), &json!(error.body)).with_retry_after(refusal.retry_after_s())
    }

    /// How the answer counts as the end of a request.
    pub fn ending(&self) -> Ending {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        match body["error"]["run_state"].as_str() {
            Some("not_run") => Ending::GivenUp(RunStateWord::NotRun),
            Some("unknown") => Ending::GivenUp(RunStateWord::Unknown),
            _ => Ending::Whole,
        }
    }

    /// Header fields for the caller.
    pub fn to_headers(&self) -> Headers {
        upstream::from_fields(&self.headers)
    }
}

/// The refusal of a ticketed call in the form of the caller interface.
pub fn error_of(refusal: &TicketRefusal) -> ErrorAnswer {
    let message = format!(
        "the call of this ticket was not started: {}",
        refusal.code()
    );
    ErrorAnswer::new(
        refusal.status(),
        refusal.code(),
        &message,
        refusal.run_state(),
    )
}
