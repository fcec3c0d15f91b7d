//! Replicas of plain services.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use serde_json::{Value, json};

use crate::{
    http::{Conn, Message, response, serve},
    name,
    record::Record,
};

/// A replica, and how often it ran each request.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Replica {
    /// Starts a replica, which answers each request as `reply` does.
    pub fn start(
        id: &str,
        service: &str,
        record: &Record,
        reply: impl Fn(&Message, &mut Conn) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
        let (counted, own, record) = (Arc::clone(&runs), id.to_owned(), record.clone());
        let address = serve(move |mut conn| {
            while let Ok(request) = conn.read_message() {
                let expected = request.header(name("EXPECT")).unwrap_or(&own).to_owned();
                if expected != own {
                    let headers = format!("X-Request-Id: {}\r\n", request.id());
                    if conn.write(&response(421, &headers, b"")).is_err() {
                        return;
                    }
                    continue;
                }
                *counted.lock().expect("not poisoned").entry(request.id().to_owned()).or_default() += 1;
                record.line(&format!("{own} runs {} {}", request.id(), request.target()));
                if let Err(e) = reply(&request, &mut conn) {
                    record.line(&format!("{own} could not answer {}: {e}", request.id()));
                    return;
                }
                record.line(&format!("{own} answered {}", request.id()));
            }
        });
        Self { id: id.to_owned(), address, service: service.to_owned(), runs }
    }

    /// Its key in the store.
    pub fn key(&self) -> String {
        format!("{}{}", name("REPLICA_PREFIX"), self.id)
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "hall-a", "version": "v1",
            "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1
        })
    }

    /// How often it ran a request.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.runs.lock().expect("not poisoned").get(id).copied().unwrap_or(0)
    }
}

/// A success with the replica's seal.
pub fn sealed(request: &Message, body: &str) -> Vec<u8> {
    let headers = format!("X-Request-Id: {}\r\n{}: s1\r\n", request.id(), name("SEAL"));
    response(200, &headers, body.as_bytes())
}
