//! Names in the paths of the command's calls.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    process::Command,
    thread,
};

/// The path that the command calls with these arguments.
fn called_path(args: &[&str]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the command connects");
        let mut lines = BufReader::new(stream.try_clone().expect("the socket is open")).lines();
        let first = lines.next().expect("a request line").expect("the request line is text");
        while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
        write!(stream, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").expect("the command reads the response");
        first
    });
    let out = Command::new(env!("CARGO_BIN_EXE_dahliaseam"))
        .args(["--address", &address, "--token", "t"])
        .args(args)
        .output()
        .expect("the command runs");
    assert_ne!(out.status.code(), Some(0), "{out:?}");
    let line = server.join().expect("the server has responded");
    line.split(' ').nth(1).expect("a path").to_owned()
}

/// Guards against a call for another resource, or another call, than the name says.
#[test]
fn a_name_is_one_segment_of_the_path_whatever_its_characters() {
    for name in ["a?b", "a#b", "a/b", "a%41", "a b", "a&resource_version=1", "../status", "é"] {
        let path = called_path(&["delete", "pool", name]);
        let segment = path.strip_prefix("/v1/pools/").unwrap_or_else(|| panic!("{name:?}: {path}"));
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '%';
        assert!(segment.chars().all(is_plain), "{name:?}: {path}");
    }
    let path = called_path(&["explain", "r/1?x"]);
    assert_eq!(path, "/v1/requests/r%2F1%3Fx");
}
