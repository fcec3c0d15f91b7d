//! What the decisions cost at the sizes of today and of the target.

fn main() {}
