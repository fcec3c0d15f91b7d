//! Tests of `dahliaseam watch` against a stream that is cut short.

use std::{
    io::{BufRead, BufReader, Write},
    net::{Shutdown, TcpListener},
    process::{Command, Output},
    thread,
};

const LINE: &str = r#"{"event":"delete","kind":"pool","name":"a","generation":7}"#;

/// Runs the command against a daemon whose response ends with its connection.
fn watch(body: String) -> Output {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the command connects");
        let mut lines = BufReader::new(stream.try_clone().expect("the socket is open")).lines();
        while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
        write!(stream, "HTTP/1.1 200 OK\r\n\r\n{body}").expect("the command reads the response");
        stream.shutdown(Shutdown::Write).expect("the socket is open");
    });
    let out = Command::new(env!("CARGO_BIN_EXE_dahliaseam"))
        .args(["--address", &address, "--token", "t", "watch", "pools"])
        .output()
        .expect("the command runs");
    server.join().expect("the server has responded");
    out
}

/// Guards against a watch that ended within a line being reported as one that ended.
#[test]
fn a_watch_that_ends_within_a_line_fails() {
    let whole = watch(format!("{LINE}\n"));
    assert_eq!(whole.status.code(), Some(0), "{whole:?}");
    assert_eq!(String::from_utf8_lossy(&whole.stdout), "a 7 deleted\n");
    let cut = watch(format!("{LINE}\n{}", &LINE[..20]));
    assert_eq!(cut.status.code(), Some(3), "{cut:?}");
    assert_eq!(String::from_utf8_lossy(&cut.stdout), "a 7 deleted\n");
}
