//! What the connections and requests of all callers share.

use std::sync::Arc;

use dahliaseam_settings::memory::Memory;
use opentelemetry::metrics::Meter;

use crate::{body_store::BodyStore, clock::Clock, listener_health::ListenerHealth};

/// What the connections and requests of all callers share.
#[derive(Clone, Debug)]
pub struct CallerResources {
    /// Whether their listener serves.
    pub health: Arc<ListenerHealth>,
    /// The bodies of their requests.
    pub bodies: Arc<BodyStore>,
}

impl CallerResources {
    /// What callers share on a machine with this memory.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, memory: Memory) -> Self {
        Self { health: Arc::default(), bodies: BodyStore::new(clock, memory.body_bytes()) }
    }

    /// Creates the instruments that show what is held, and what was refused.
    pub(crate) fn observe(&self, meter: &Meter) {
        let counter = |name, description, count: fn(&Self) -> u64| {
            let resources = self.clone();
            let _ = meter
                .u64_observable_counter(name)
                .with_description(description)
                .with_callback(move |seen| seen.observe(count(&resources), &[]))
                .build();
        };
        counter("dahliaseam_connections_panicked", "Connections of callers that ended by a panic", |all| {
            all.health.panics()
        });
        counter("dahliaseam_connections_evicted", "Idle connections of callers that were closed for new ones", |all| {
            all.health.evicted()
        });
        counter("dahliaseam_connections_refused", "Connections of callers that were closed at once", |all| {
            all.health.refused()
        });
        counter("dahliaseam_bodies_refused", "Bodies that were refused since the memory was used up", |all| {
            all.bodies.refused()
        });
        let bodies = Arc::clone(&self.bodies);
        let _ = meter
            .u64_observable_gauge("dahliaseam_body_bytes")
            .with_description("Bytes of memory that bodies of callers' requests hold")
            .with_callback(move |seen| seen.observe(bodies.held() as u64, &[]))
            .build();
    }
}
