//! Hash functions with the same result in every process.

use xxhash_rust::xxh3::xxh3_64;

/// Length in bytes of the leading block of a prompt.
const PREFIX_BLOCK: usize = 256;

/// Hash of the leading block of a prompt, used for prefix affinity.
#[must_use]
pub fn prefix(prompt: &[u8]) -> u64 {
    xxh3_64(&prompt[..prompt.len().min(PREFIX_BLOCK)])
}

/// Hash of arbitrary bytes.
#[must_use]
pub fn bytes(data: &[u8]) -> u64 {
    xxh3_64(data)
}

/// Rendezvous weight of `node` for `item`; the node with the highest weight owns the item.
#[must_use]
pub fn rendezvous(item: u64, node: u64) -> u64 {
    let mut buf = [0_u8; 16];
    buf[..8].copy_from_slice(&item.to_le_bytes());
    buf[8..].copy_from_slice(&node.to_le_bytes());
    xxh3_64(&buf)
}

/// Returns the `count` owners of `item` among `nodes`, highest weight first.
pub fn owners<T: Copy>(item: u64, nodes: impl Iterator<Item = (u64, T)>, count: usize) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = nodes.map(|(node, value)| (rendezvous(item, node), value)).collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, value)| value).collect()
}
