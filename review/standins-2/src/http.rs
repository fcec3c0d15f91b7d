//! A small HTTP/1.1 implementation for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A message whose head and body were read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A field of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.into_iter().find(|(n, _)| *n == name).map(|(_, value)| percent_decoded(value))
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n > 0)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
                return Ok(Some(Message { first, headers, ..Message::default() }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads the body of a message. `is_response` tells whether the end of the connection may end it.
    pub fn body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            return self.chunks(message);
        }
        if let Some(length) = message.header("content-length").and_then(|length| length.parse::<usize>().ok()) {
            while self.buf.len() < length {
                if !self.fill()? {
                    message.body = std::mem::take(&mut self.buf);
                    return Ok(());
                }
            }
            message.body = self.buf.drain(..length).collect();
            message.complete = true;
            return Ok(());
        }
        if is_response {
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buf);
        }
        message.complete = true;
        Ok(())
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let Some(line) = self.line()? else { return Ok(()) };
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            if length == 0 {
                message.complete = self.line()?.is_some();
                return Ok(());
            }
            while self.buf.len() < length + 2 {
                if !self.fill()? {
                    message.body.append(&mut self.buf);
                    return Ok(());
                }
            }
            message.body.extend(self.buf.drain(..length));
            self.buf.drain(..2);
        }
    }

    /// Reads a complete request; `None` if the connection ends first.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message, false)?;
        Ok(message.complete.then_some(message))
    }
}

/// Sends a request on a new connection and reads the answer; a connection that breaks leaves it incomplete.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = Reader::new(stream);
    let Some(mut message) = reader.head()? else {
        return Err(io::Error::other("closed without an answer"));
    };
    if let Err(e) = reader.body(&mut message, true) {
        message.complete = false;
        message.body.append(&mut reader.buf);
        if message.body.is_empty() {
            return Err(e);
        }
    }
    Ok(message)
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
