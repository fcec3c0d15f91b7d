//! HTTP/1.1, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
};

/// A message: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The identifier of the request.
    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }

    /// The method.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// The path with its query.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        let read = self.stream.read(&mut chunk)?;
        if read == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the connection was closed"));
        }
        self.buf.extend_from_slice(&chunk[..read]);
        Ok(())
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
        Ok(Message { first_line, headers, body: Vec::new() })
    }

    /// Reads this many bytes.
    pub fn read_bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// Reads a body in chunks.
    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buf.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            self.buf.drain(..end + 2);
            let length = usize::from_str_radix(line.trim(), 16).map_err(|e| io::Error::other(e.to_string()))?;
            body.extend(self.read_bytes(length)?);
            self.read_bytes(2)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads a message with a length or in chunks.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = match length {
            Some(length) => self.read_bytes(length)?,
            None if message.header("transfer-encoding").is_some() => self.read_chunks()?,
            None => Vec::new(),
        };
        Ok(message)
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// A response with a length.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections, each in a thread.
pub fn serve(handler: impl Fn(Conn) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || handler(Conn::new(stream)));
        }
    });
    address
}
