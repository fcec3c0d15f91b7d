//! The operator's command.
