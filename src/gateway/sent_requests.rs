//! Pairs the answers on a connection with the requests that were sent on it.
//!
//! An endpoint may answer a request more than once, and the further answers arrive where later
//! ones are due. An answer states the id of its attempt. However late it comes, that tells its
//! request as long as the connection carries no attempt twice.

use super::stream_origins::AttemptHash;

/// Most requests on one connection, which bounds what it remembers of them.
const MAX_SENT: usize = 256;

/// Requests that were sent on one connection, in order.
#[derive(Debug, Default)]
pub struct SentRequests {
    /// Attempts of the requests; none for a request without an id.
    attempts: Vec<Option<AttemptHash>>,
    /// Those of them whose method is HEAD.
    head_attempts: Vec<Option<AttemptHash>>,
    /// An answer came that did not state the attempt of the latest request.
    is_ambiguous: bool,
}

impl SentRequests {
    /// Returns whether a request of an attempt may be sent; requests without an id count as one
    /// attempt.
    pub fn allows(&self, attempt: Option<AttemptHash>) -> bool {
        !self.attempts.contains(&attempt)
    }

    /// Returns whether no further request may be sent.
    pub fn is_spent(&self) -> bool {
        self.attempts.len() >= MAX_SENT || self.is_ambiguous
    }

    /// Records that a request of an attempt is sent.
    pub fn push(&mut self, attempt: Option<AttemptHash>) {
        self.attempts.push(attempt);
    }

    /// Records that the method of the latest request is HEAD.
    pub fn record_head(&mut self) {
        self.head_attempts.push(self.latest());
    }

    /// Returns whether an answer is to a HEAD request, so that it has no body; `answered` is the
    /// attempt that it states.
    ///
    /// A further answer to an earlier request is framed by that one's method.
    pub fn is_head(&self, answered: Option<AttemptHash>) -> bool {
        let request = match self.attempts.contains(&answered) {
            true => answered,
            false => self.latest(),
        };
        self.head_attempts.contains(&request)
    }

    /// Returns the attempt of the latest request; none for a request without an id.
    pub fn latest(&self) -> Option<AttemptHash> {
        self.attempts.last().copied().flatten()
    }

    /// Returns the number of requests so far.
    pub fn count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Returns whether an answer belongs to the latest request; `answered` is the attempt that
    /// it states.
    ///
    /// An answer that states none belongs to a request without an id, or to the only request.
    /// After one to a request with an id, or to an earlier request, no further one is sent.
    pub fn pair(&mut self, answered: Option<AttemptHash>) -> bool {
        let states_latest = answered == self.latest();
        let is_only = self.attempts.len() == 1;
        self.is_ambiguous |= !states_latest;
        states_latest || (is_only && answered.is_none())
    }
}
