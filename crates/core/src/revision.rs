//! Revisions of a key-value service that may come back from an older copy of itself.
//!
//! The service counts its changes, and gives the numbers out again after it has come back. It states an era that rises
//! then. A revision contains both, the era in its upper bits, so that revisions are ordered by era and then by number
//! wherever they are compared, and so are the fencing numbers that are derived from them. Without eras, a revision is
//! the number itself.

/// Bits of the number: enough for a thousand changes a second in thirty years.
const NUMBER_BITS: u32 = 40;
const MAX_ERA: i64 = (1 << (i64::BITS - 1 - NUMBER_BITS)) - 1;

/// The revision with this number in an era.
#[must_use]
pub fn qualify(era: i64, number: i64) -> i64 {
    let number = number.clamp(0, (1 << NUMBER_BITS) - 1);
    (era.clamp(0, MAX_ERA) << NUMBER_BITS) | number
}

/// The era of a revision.
#[must_use]
pub const fn era(revision: i64) -> i64 {
    revision >> NUMBER_BITS
}

/// The number of a revision within its era, as the service states it.
#[must_use]
pub const fn number(revision: i64) -> i64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
