//! Performance model of the engines of one service, learned from the work that they do.
//!
//! Nothing here assumes how fast an engine is. [`read_time`] predicts the time to prefill a prompt, [`hand_over`] the
//! time to transfer the KV cache of a prompt to another engine, [`answer_pace`] how fast long answers progress, and
//! [`event_pace`] the usual interval between the events of a stream. Each starts with a guess that a few tens of
//! observations replace. Busy engines look slow, so the effect of an observation far above the prediction is limited,
//! while one far below it counts in full.

use serde::{Deserialize, Serialize};

use self::{answer_pace::AnswerPace, event_pace::EventPace, hand_over::KvTransferTime, read_time::PrefillTime};

pub mod answer_pace;
pub mod event_pace;
pub mod hand_over;
mod least_squares;
pub mod read_time;
pub(super) mod running_mean;
pub(super) mod running_quantile;

/// The learned model of the engines of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineModel {
    /// Time to prefill prompts.
    pub prefill: PrefillTime,
    /// Time to transfer the KV cache of a prompt to another engine.
    pub kv_transfer: KvTransferTime,
    /// Usual interval between the events of a stream.
    pub event_pace: EventPace,
    /// How fast long answers progress.
    pub answer_pace: AnswerPace,
}

/// What a daemon has learned, as it reports it to others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedModel {
    /// Number of prefill observations.
    #[serde(rename = "reads")]
    pub prefill_observations: u32,
    /// Weights of the prefill time.
    #[serde(rename = "read")]
    pub prefill_weights: [f32; 3],
    /// Prefill time of a decode engine, as a multiple of a prefill engine's.
    pub decode_factor: f32,
    /// Number of KV transfer observations.
    #[serde(rename = "hand_overs")]
    pub kv_transfer_observations: u32,
    /// Weights of the KV transfer time.
    #[serde(rename = "hand_over")]
    pub kv_transfer_weights: [f32; 2],
}

impl EngineModel {
    /// What this daemon has learned; `None` before the first observation.
    #[must_use]
    pub fn learned(&self) -> Option<LearnedModel> {
        let learned = LearnedModel {
            prefill_observations: self.prefill.observations(),
            prefill_weights: self.prefill.weights(),
            decode_factor: self.prefill.decode_factor() as f32,
            kv_transfer_observations: self.kv_transfer.observations(),
            kv_transfer_weights: self.kv_transfer.weights(),
        };
        (learned.prefill_observations > 0 || learned.kv_transfer_observations > 0).then_some(learned)
    }

    /// Adopts what another daemon has learned from more observations, so that a new daemon need not start from nothing.
    pub fn adopt(&mut self, learned: &LearnedModel) {
        self.prefill.adopt(learned.prefill_observations, learned.prefill_weights, learned.decode_factor);
        self.kv_transfer.adopt(learned.kv_transfer_observations, learned.kv_transfer_weights);
    }
}
