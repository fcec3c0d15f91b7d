//! Records the tokens of one request as they arrive.

use std::sync::Arc;

use dahliaseam_core::{request::RequestKey, time::Time};

use crate::{
    dispatch::records::{OpenRecord, lock},
    node::Node,
};

/// Recorder of the tokens of one request.
#[derive(Debug)]
pub struct Progress {
    node: Arc<Node>,
    record: OpenRecord,
    key: RequestKey,
    arrived: Time,
    kind_name: String,
}

impl Progress {
    /// Creates the recorder of one request.
    #[must_use]
    pub fn new(node: &Arc<Node>, record: &OpenRecord, key: RequestKey, arrived: Time, kind_name: &str) -> Self {
        Self { node: Arc::clone(node), record: Arc::clone(record), key, arrived, kind_name: kind_name.to_owned() }
    }

    /// Records tokens that have just arrived.
    pub fn record_tokens(&self, tokens: u32) {
        let now = self.node.now();
        self.node.dispatcher.progress(self.key, tokens, now);
        let mut record = lock(&self.record);
        let Some(attempt) = record.attempts.last_mut() else { return };
        attempt.tokens += tokens;
        if attempt.first_ms.is_none() {
            let since = now.since(self.arrived).as_seconds();
            attempt.first_ms = Some(since.mul_add(1_000.0, -(attempt.sent_ms as f64)));
            if attempt.attempt == 0 {
                self.node.metrics.first_token(&self.kind_name, since);
            }
        }
    }
}
