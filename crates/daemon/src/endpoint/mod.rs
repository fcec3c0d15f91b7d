//! Endpoints: one attempt at an endpoint ([`attempt`]), their load ([`observe`]), and which of them get new work
//! ([`duties`]).

pub mod attempt;
pub mod duties;
pub mod observe;
