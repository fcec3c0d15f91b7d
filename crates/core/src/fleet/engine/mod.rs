//! What is learned of the engines of one service from the work that they do.
//!
//! Nothing here assumes how fast an engine is. [`read_time`] tells what a prompt's reading takes,
//! [`hand_over`] what it takes to bring a prompt's memory to another engine, [`answer_pace`] how fast
//! long answers go on. Each starts with a
//! guess that a few tens of observations replace. Engines that are busy look slow, so an
//! observation far above what is expected counts little, and one far below counts in full.

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
    /// What reading takes.
    pub prefill: PrefillTime,
    /// What handing over and copying take.
    pub kv_transfer: KvTransferTime,
    /// How far apart the events of streams come.
    pub event_pace: EventPace,
    /// How fast long answers go on.
    pub answer_pace: AnswerPace,
}

/// What a daemon has learned, as it shares it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedModel {
    /// Observations of reading.
    #[serde(rename = "reads")]
    pub prefill_observations: u32,
    /// Terms of the time to read.
    #[serde(rename = "read")]
    pub prefill_weights: [f32; 3],
    /// How many times as long a decode engine takes.
    pub decode_factor: f32,
    /// Observations of hand-overs.
    #[serde(rename = "hand_overs")]
    pub kv_transfer_observations: u32,
    /// Terms of the time to hand over.
    #[serde(rename = "hand_over")]
    pub kv_transfer_weights: [f32; 2],
}

impl EngineModel {
    /// What this daemon can share with others, once it has learned something.
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

    /// Take over what another daemon knows better, so that one that starts need not learn again.
    pub fn adopt(&mut self, learned: &LearnedModel) {
        self.prefill.adopt(learned.prefill_observations, learned.prefill_weights, learned.decode_factor);
        self.kv_transfer.adopt(learned.kv_transfer_observations, learned.kv_transfer_weights);
    }
}
