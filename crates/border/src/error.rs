//! Errors at the platform's borders.

use quick_error::quick_error;

quick_error! {
    /// Why a call gave no answer. The difference matters: only some of them are surely not run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// No connection was made, so no byte of the call was written.
        NotSent(why: String) {
            display("not sent: {}", why)
        }
        /// The call may have taken effect.
        Lost(why: String) {
            display("no answer, may have taken effect: {}", why)
        }
        /// The other side answered with an error, and nothing took effect.
        Refused(status: u16, body: String) {
            display("refused with status {}: {}", status, body)
        }
    }
}

impl CallError {
    /// Whether it is certain that the call had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Lost(_))
    }
}

quick_error! {
    /// Why something of the outside could not be read or written.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// Something that must be there is missing.
        Missing(what: &'static str) {
            display("{} is missing", what)
        }
        /// Something is not as expected.
        Invalid(what: &'static str, why: String) {
            display("{}: {}", what, why)
        }
    }
}
