//! Clients.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{
    http::{Conn, Message},
    name,
};

/// Opens a connection whose reads end after `timeout`.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Conn> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(Conn::new(stream))
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let deadline = name("DEADLINE");
    format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n{deadline}: {deadline_ms}\r\n{length}\r\n{body}")
        .into_bytes()
}

/// Sends a request on a new connection.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &str,
) -> io::Result<Message> {
    let mut conn = connect(address, Duration::from_millis(deadline_ms))?;
    conn.write(&request(method, path, id, deadline_ms, body))?;
    conn.read_message()
}

/// The status at an address of the daemon, or 0.
pub fn status(address: SocketAddr, path: &str) -> u16 {
    let get = || {
        let mut conn = connect(address, Duration::from_secs(1))?;
        conn.write(format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())?;
        conn.read_message()
    };
    get().map_or(0, |message: Message| message.status())
}
