//! Client of the operators' HTTP interface, for the command line.

use std::{
    fmt,
    fs,
    io::{
        self,
        Read, //
    },
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    time::Duration, //
};

use oxhttp::{
    Client,
    model::{
        Body,
        Method,
        Request,
        header::AUTHORIZATION, //
    }, //
};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::{
    admin::{
        AdminError,
        AdminErrorKind,
        BurnReport,
        Confirmed,
        PlanAnswer,
        Status, //
    },
    intent::Change,
    plan::Plan, //
};

/// Longest silence; a confirmation waits 4 s for the regions and retries races.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Largest response: a plan as JSON and as text.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Why a call of the operators' interface failed.
#[derive(Debug, Error)]
pub enum AdminClientError {
    /// The key file cannot be used.
    #[error("key file {} cannot be used: {reason}", path.display())]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The host did not answer.
    #[error("no answer from the operators' interface at {address}")]
    Unreachable {
        /// Its address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The answer is not one of this interface.
    #[error("invalid answer from {address}: status {status}, {reason}")]
    InvalidAnswer {
        /// Address of the host.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What is wrong with it.
        reason: String,
    },
    /// The host reported an error.
    #[error(transparent)]
    Reported(#[from] AdminError),
}

impl AdminClientError {
    /// Whether a plan was refused or conflicts with another change.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self,
            Self::Reported(AdminError {
                kind: AdminErrorKind::Refused | AdminErrorKind::Conflict,
                ..
            })
        )
    }
}

/// Client of one host's interface.
#[derive(Clone)]
pub struct AdminClient {
    address: SocketAddr,
    key: String,
}

impl fmt::Debug for AdminClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl AdminClient {
    /// A client that presents `key`.
    pub fn new(address: SocketAddr, key: String) -> Self {
        Self { address, key }
    }

    /// A client that presents the key in a file, without white space around it.
    pub fn from_key_file(address: SocketAddr, path: &Path) -> Result<Self, AdminClientError> {
        let error = |reason: String| AdminClientError::KeyFile {
            path: path.to_owned(),
            reason,
        };
        let text = fs::read_to_string(path).map_err(|source| error(source.to_string()))?;
        let key = text.trim();
        if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(error(
                "expected one line of printable characters".to_owned(),
            ));
        }
        Ok(Self::new(address, key.to_owned()))
    }

    /// Plans an intent file.
    pub fn plan(&self, intents: &str) -> Result<PlanAnswer, AdminClientError> {
        self.call(Method::POST, "plan", intents.to_owned())
    }

    /// Confirms a plan and waits for the regions.
    pub fn confirm(&self, plan: &Plan) -> Result<Confirmed, AdminClientError> {
        let body = serde_json::to_string(plan).map_err(|error| self.invalid(0, &error))?;
        self.call(Method::POST, "confirm", body)
    }

    /// The last changes, newest first.
    pub fn history(&self) -> Result<Vec<Change>, AdminClientError> {
        self.call(Method::GET, "history", String::new())
    }

    /// State of the host.
    pub fn status(&self) -> Result<Status, AdminClientError> {
        self.call(Method::GET, "status", String::new())
    }

    /// Service-level burn.
    pub fn burn(&self) -> Result<BurnReport, AdminClientError> {
        self.call(Method::GET, "burn", String::new())
    }

    fn call<Answer>(
        &self,
        method: Method,
        name: &str,
        body: String,
    ) -> Result<Answer, AdminClientError>
    where
        Answer: DeserializeOwned,
    {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/admin/v1/{name}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Body::from(body))
            .map_err(|error| self.invalid(0, &error))?;
        let response = Client::new()
            .with_global_timeout(TIMEOUT)
            .request(request)
            .map_err(|source| self.unreachable(source))?;
        let status = response.status().as_u16();
        let mut bytes = Vec::new();
        response
            .into_body()
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut bytes)
            .map_err(|source| self.unreachable(source))?;
        if status == 200 {
            return serde_json::from_slice(&bytes).map_err(|error| self.invalid(status, &error));
        }
        let error: AdminError =
            serde_json::from_slice(&bytes).map_err(|error| self.invalid(status, &error))?;
        Err(error.into())
    }

    fn unreachable(&self, source: io::Error) -> AdminClientError {
        AdminClientError::Unreachable {
            address: self.address,
            source,
        }
    }

    fn invalid<Reason>(&self, status: u16, reason: &Reason) -> AdminClientError
    where
        Reason: fmt::Display,
    {
        AdminClientError::InvalidAnswer {
            address: self.address,
            status,
            reason: reason.to_string(),
        }
    }
}
