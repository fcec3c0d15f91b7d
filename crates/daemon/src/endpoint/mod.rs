//! Endpoints: one try at one ([`attempt`]), their load ([`observe`]), and which of them get work
//! ([`duties`]).

pub mod attempt;
pub mod duties;
pub mod observe;
