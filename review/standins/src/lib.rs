//! Stand-ins for the review: the platform's store, replicas, clients, and the daemons as processes.

pub mod client;
pub mod daemon;
pub mod http;
pub mod record;
pub mod replica;
pub mod store;

use std::{collections::HashMap, sync::OnceLock};

/// A name of the platform's protocol, from `names.txt`.
pub fn name(key: &str) -> &'static str {
    static NAMES: OnceLock<HashMap<&'static str, &'static str>> = OnceLock::new();
    let names = NAMES.get_or_init(|| {
        let lines = include_str!("../names.txt").lines().filter(|line| !line.starts_with('#'));
        lines.filter_map(|line| line.split_once(' ')).collect()
    });
    names.get(key).copied().unwrap_or_else(|| panic!("no name {key}"))
}
