//! The setting for the memory of the machine, and what follows from it.

use dahliaseam_settings::{gateway::GatewaySettings, memory::Memory};
use serde_json::{Value, json};

/// Size of a head and its margin, in bytes.
const HEAD_BYTES: usize = 20 << 10;

fn settings(change: impl FnOnce(&mut Value)) -> GatewaySettings {
    let mut settings = json!({
        "vm": "front-1", "hall": "hall-1", "keyspace": "x/", "link_mbps": 1000, "max_files": 4100,
        "caller_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3",
        "load_address": "127.0.0.1:4", "metrics_address": "127.0.0.1:5", "store_address": "127.0.0.1:6",
        "retries": {"ratio": 0.2, "slack": 20, "window_s": 10},
        "timing": {"contact_ms": 1000, "stop_s": 5, "order_lease_ms": 1000}
    });
    change(&mut settings);
    serde_json::from_value(settings).expect("valid settings")
}

/// What callers may hold in all.
fn held(memory: Memory, connections: usize) -> usize {
    let connections = connections.min(memory.connections(HEAD_BYTES));
    memory.body_bytes() + connections * (memory.receive_buffer_bytes(connections) + HEAD_BYTES)
}

#[test]
fn memory_below_the_minimum_is_rejected() {
    for (megabytes, is_valid) in [(0, false), (63, false), (64, true), (260, true)] {
        let checked = settings(|settings| settings["memory_mb"] = json!(megabytes)).check();
        assert_eq!(checked.is_ok(), is_valid, "{megabytes}: {checked:?}");
        if let Err(e) = checked {
            assert!(e.to_string().contains("memory_mb"), "{e}");
        }
    }
}

#[test]
fn what_callers_hold_leaves_memory_for_the_daemon() {
    for megabytes in [64, 260, 1_024] {
        let settings = settings(|settings| settings["memory_mb"] = json!(megabytes));
        let held = held(settings.memory(), settings.caller_connections());
        assert!(held <= megabytes * 1_000_000 * 9 / 10, "{megabytes} MB: {held} bytes");
    }
}

#[test]
fn a_machine_of_260_mb_has_as_many_connections_as_its_files_allow() {
    let settings = settings(|settings| settings["memory_mb"] = json!(260));
    assert!(settings.memory().connections(HEAD_BYTES) >= settings.caller_connections());
}
