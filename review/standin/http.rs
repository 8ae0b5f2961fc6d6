//! The little of HTTP/1.1 that the stand-ins need.

use std::{
    collections::BTreeMap,
    fs::OpenOptions,
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How long a client waits for the next byte of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(16);

/// A request or response without its body.
#[derive(Debug, Default)]
pub struct Head {
    pub first: String,
    /// The fields by their names in lower case.
    pub fields: BTreeMap<String, String>,
}

impl Head {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// An answer as a client sees it.
#[derive(Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

/// Returns the milliseconds since the Unix epoch.
pub fn now_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}

/// Appends a line to a record; lines of several processes do not mix.
pub fn record(path: &str, line: &str) {
    let file = OpenOptions::new().append(true).create(true).open(path);
    let mut file = file.expect("the record can be opened");
    let line = format!("{} {line}\n", now_ms());
    file.write_all(line.as_bytes())
        .expect("the record can be written");
}

/// Reads a head; an end of the connection before it is an error.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        match (line.is_empty(), head.first.is_empty()) {
            (true, true) => {}
            (true, false) => return Ok(head),
            (false, true) => head.first = line.to_owned(),
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                let name = name.to_ascii_lowercase();
                head.fields.insert(name, value.trim().to_owned());
            }
        }
    }
}

/// Reads the body that a head announces; `Ok(None)` if it ends early.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    if head.field("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok((body, false));
            }
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok((body, false));
            }
            if length == 0 {
                return Ok((body, true));
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = head.field("content-length").parse().unwrap_or(0);
    reader.take(length).read_to_end(&mut body)?;
    let complete = body.len() as u64 == length;
    Ok((body, complete))
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its answer; an error means that the connection ended without one.
    pub fn call(&mut self, request: &str) -> io::Result<Answer> {
        self.reader.get_mut().write_all(request.as_bytes())?;
        let head = read_head(&mut self.reader)?;
        let (body, complete) = match read_body(&mut self.reader, &head) {
            Ok(read) => read,
            Err(_) => (Vec::new(), false),
        };
        Ok(Answer {
            head,
            body,
            complete,
        })
    }
}

/// Sends a request whose body takes `time` to send, and reads its answer. Stops sending once an
/// answer arrives.
pub fn upload(address: &str, head: &str, length: usize, time: Duration) -> io::Result<Answer> {
    const STEP: usize = 32 << 10;
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(READ_TIMEOUT))?;
    let start = Instant::now();
    let piece = vec![b'p'; STEP];
    stream.write_all(head.as_bytes())?;
    let mut sent = 0;
    while sent < length {
        let due = time.mul_f64(sent as f64 / length as f64);
        sleep(due.saturating_sub(start.elapsed()));
        stream.set_nonblocking(true)?;
        let has_answer = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false)?;
        if has_answer {
            break;
        }
        let step = STEP.min(length - sent);
        stream.write_all(&piece[..step])?;
        sent += step;
    }
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let (body, complete) = read_body(&mut reader, &head)?;
    Ok(Answer {
        head,
        body,
        complete,
    })
}

/// Returns the status of a GET; zero if there is no answer.
pub fn status(address: &str, path: &str) -> u16 {
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let answer = Client::connect(address).and_then(|mut client| client.call(&request));
    answer.map_or(0, |answer| answer.head.status())
}

/// Writes an item to the store. Returns whether the store has acknowledged it.
pub fn put_item(store: &str, key: &str, value: &str) -> bool {
    let request = format!(
        "PUT /item?key={key} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{value}",
        value.len()
    );
    let answer = Client::connect(store).and_then(|mut client| client.call(&request));
    answer.is_ok_and(|answer| answer.head.status() == 200)
}

/// Makes a step of a drill at the store.
pub fn drill(store: &str, step: &str) -> bool {
    let request = format!(
        "PUT /drill?step={step} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let answer = Client::connect(store).and_then(|mut client| client.call(&request));
    answer.is_ok_and(|answer| answer.head.status() == 200)
}
