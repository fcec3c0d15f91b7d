//! Links the daemon at a fixed address.
//!
//! In a position-independent program the loader first adjusts every address that the program's data contains: tens of
//! thousands, and some hundred thousand in a debug build. A signal that arrives meanwhile ends the process, since no code
//! of the program has run.

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    if std::env::var("CARGO_CFG_TARGET_ENV").is_ok_and(|env| env == "gnu") {
        println!("cargo::rustc-link-arg-bins=-no-pie");
    }
}
