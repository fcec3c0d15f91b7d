//! One request under the product's own interface, from its claim to its outcome.
//!
//! [`exchange`] takes a request from start to end. It asks [`desk`], the dispatcher with its
//! waiters, where to try; [`claims`] sees to it that what may not be repeated runs once at most;
//! [`records`] keeps what `explain` tells, and [`failure`] is why there is no whole answer.

pub mod claims;
pub mod desk;
pub mod exchange;
pub mod failure;
pub mod progress;
pub mod records;
