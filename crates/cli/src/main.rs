//! The operator's command.

fn main() {}
