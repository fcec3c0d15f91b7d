//! One request under the product's own interface, from its claim to its outcome.
//!
//! [`exchange`] carries a request from start to end. It asks [`desk`], the shared dispatcher, where to try; [`claims`]
//! ensures that requests that must not be repeated run at most once; [`records`] keeps the records for `dahliaseam
//! explain`, and [`failure`] describes why there is no complete answer.

pub mod claims;
pub mod desk;
pub mod exchange;
pub mod failure;
pub mod progress;
pub mod records;
