//! Stand-ins and cases of the second review. `review-2 case NAME FOLDER` plays one case.

mod cases;
mod deployment;
mod http;
mod replica;
mod store;
mod wire;

use std::{path::Path, process::exit};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["replica", store, id, service, hall, stage, unframed, pieces, pause_ms] => replica::run(replica::Setup {
            store: store.parse().expect("the address of the store"),
            id: (*id).to_owned(),
            service: (*service).to_owned(),
            hall: (*hall).to_owned(),
            stage: (*stage).to_owned(),
            unframed: *unframed == "unframed",
            pieces: pieces.parse().expect("a number"),
            pause_ms: pause_ms.parse().expect("a number"),
        }),
        ["case", name, folder] => exit(cases::run(name, Path::new(folder))),
        _ => exit(2),
    }
}
