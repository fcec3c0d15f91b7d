//! Errors of the interfaces to external services.

use quick_error::quick_error;

quick_error! {
    /// Why a call failed. The variants differ in whether the call may have taken effect.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallError {
        /// No connection was established or the call could not be encoded, so nothing of it was sent.
        NotSent(why: String) {
            display("not sent: {}", why)
        }
        /// No valid answer arrived; the call may have taken effect.
        Lost(why: String) {
            display("no answer, may have taken effect: {}", why)
        }
        /// The service answered with an error, and the call had no effect.
        Refused(status: u16, body: String) {
            display("refused with status {}: {}", status, body)
        }
    }
}

impl CallError {
    /// Whether the call certainly had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Lost(_))
    }
}

quick_error! {
    /// Why data in the platform's format could not be decoded or encoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FormatError {
        /// A required part is missing.
        Missing(what: &'static str) {
            display("{} is missing", what)
        }
        /// A part is not as expected.
        Invalid(what: &'static str, why: String) {
            display("{}: {}", what, why)
        }
    }
}
