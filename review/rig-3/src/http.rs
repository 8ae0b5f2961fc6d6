//! Plain HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message whose head has been read.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.fields.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }
}

/// A connection with what has been read and not been used.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

fn eof() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 8192];
        match self.stream.read(&mut part)? {
            0 => Err(eof()),
            n => {
                self.buf.extend_from_slice(&part[..n]);
                Ok(())
            }
        }
    }

    /// Reads a head; `None` if the peer closes before the first byte of one.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            let empty = self.buf.is_empty();
            match self.fill() {
                Err(err) if empty && err.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
                other => other?,
            }
        };
        let text: Vec<u8> = self.buf.drain(..end).collect();
        let text = String::from_utf8_lossy(&text).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Head {
            first,
            fields: fields.collect(),
        }))
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a body as its head frames it. The second value tells whether it is complete.
    pub fn body(&mut self, head: &Head, request: bool) -> (Vec<u8>, bool) {
        let chunked = head
            .get("transfer-encoding")
            .is_some_and(|coding| coding.contains("chunked"));
        let mut all = Vec::new();
        if chunked {
            loop {
                let size = self.line().ok();
                let size = size.and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
                let Some(size) = size else {
                    return (all, false);
                };
                let Ok(part) = self.exact(size) else {
                    return (all, false);
                };
                all.extend_from_slice(&part);
                if self.line().is_err() {
                    return (all, false);
                }
                if size == 0 {
                    return (all, true);
                }
            }
        }
        if let Some(length) = head.get("content-length").and_then(|l| l.parse().ok()) {
            return match self.exact(length) {
                Ok(body) => (body, true),
                Err(_) => (std::mem::take(&mut self.buf), false),
            };
        }
        if request {
            return (all, true);
        }
        loop {
            match self.fill() {
                Ok(()) => {}
                Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => {
                    return (std::mem::take(&mut self.buf), true);
                }
                Err(_) => return (std::mem::take(&mut self.buf), false),
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends a request on a new connection, and returns the status and the body of the answer.
pub fn ask(to: SocketAddr, request: &str) -> io::Result<(u16, Vec<u8>, Head, bool)> {
    let mut conn = Conn::connect(to)?;
    conn.send(request.as_bytes())?;
    let head = conn.head()?.ok_or_else(eof)?;
    let (body, whole) = conn.body(&head, false);
    Ok((head.status(), body, head, whole))
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    holds()
}
