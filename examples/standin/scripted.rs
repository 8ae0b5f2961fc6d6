//! A target whose answers follow a script, which the path of each request names, and which can crash
//! at the end of an answer.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::Arc,
    thread,
    time::Duration, //
};

use socket2::SockRef;

/// The events of a whole stream.
pub const EVENTS: [&str; 3] = [
    "id: 1\ndata: a\n\n",
    "id: 2\ndata: b\n\n",
    "id: 3\ndata: c\n\n",
];

/// The time after which bytes that were written have been read.
const FLUSH_TIME: Duration = Duration::from_millis(15);

/// The time that a target takes to stop after it has announced that it leaves.
const LEAVE_TIME: Duration = Duration::from_millis(200);

/// The time for which a target that crashed is down, if it comes back.
pub const DOWN_TIME: Duration = Duration::from_millis(150);

/// How an answer marks its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
    None,
}

/// How the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    InOrder,
    Reset,
}

/// Where the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    BeforeHead,
    BeforeBody,
    InsideEvent,
    BetweenEvents,
    /// After all events and the mark of the end.
    AtEnd,
}

/// What becomes of the target at that moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Alive,
    /// It stops listening before the connection ends.
    Crashed,
    /// The same, after it has announced that it leaves.
    Leaving,
}

/// How a target answers each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Script {
    pub framing: Framing,
    pub close: Close,
    pub place: Place,
    pub fate: Fate,
}

impl Script {
    /// Returns all scripts that end with a fate.
    pub fn all(fates: &[Fate]) -> Vec<Self> {
        let mut scripts = Vec::new();
        for framing in [Framing::Length, Framing::Chunks, Framing::None] {
            for close in [Close::InOrder, Close::Reset] {
                for place in [
                    Place::BeforeHead,
                    Place::BeforeBody,
                    Place::InsideEvent,
                    Place::BetweenEvents,
                    Place::AtEnd,
                ] {
                    scripts.extend(fates.iter().map(|&fate| Self {
                        framing,
                        close,
                        place,
                        fate,
                    }));
                }
            }
        }
        scripts
    }

    /// Returns the path that names this script.
    pub fn path(&self) -> String {
        let path = format!(
            "{:?}-{:?}-{:?}-{:?}",
            self.framing, self.close, self.place, self.fate
        );
        path.to_ascii_lowercase()
    }

    fn find(head: &str) -> Option<Self> {
        let path = head.split(' ').nth(1)?;
        let all = Self::all(&[Fate::Alive, Fate::Crashed, Fate::Leaving]);
        all.into_iter()
            .find(|script| path.ends_with(&script.path()))
    }

    /// Writes the answer as far as the script says; `stream` says that it is an event stream.
    fn write(&self, stream: &mut TcpStream, id: &str, is_stream: bool) -> io::Result<()> {
        if self.place == Place::BeforeHead {
            return Ok(());
        }
        let mut head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\nrequest-id: {id}\r\n");
        if is_stream {
            head.push_str("content-type: text/event-stream\r\n");
        }
        if self.fate == Fate::Leaving {
            head.push_str("server-leaving: 1\r\n");
        }
        match self.framing {
            Framing::Length => {
                let length: usize = EVENTS.iter().map(|event| event.len()).sum();
                head.push_str(&format!("content-length: {length}\r\n"));
            }
            Framing::Chunks => head.push_str("transfer-encoding: chunked\r\n"),
            Framing::None => {}
        }
        stream.write_all(format!("{head}\r\n").as_bytes())?;
        let chunks = self.framing == Framing::Chunks;
        let sent = match self.place {
            Place::BeforeHead | Place::BeforeBody => 0,
            Place::InsideEvent | Place::BetweenEvents => 2,
            Place::AtEnd => EVENTS.len(),
        };
        for (i, event) in EVENTS.iter().enumerate().take(sent) {
            let partial = self.place == Place::InsideEvent && i + 1 == sent;
            let data = match partial {
                true => &event[..event.len() / 2],
                false => event,
            };
            let text = match (chunks, partial) {
                (true, true) => format!("{:x}\r\n{data}", event.len()),
                (true, false) => format!("{:x}\r\n{data}\r\n", event.len()),
                _ => data.to_owned(),
            };
            stream.write_all(text.as_bytes())?;
            thread::sleep(FLUSH_TIME);
        }
        if chunks && self.place == Place::AtEnd {
            stream.write_all(b"0\r\n\r\n")?;
        }
        thread::sleep(FLUSH_TIME);
        Ok(())
    }
}

/// Starts a target on a free loopback port. `returns` says that it listens again [`DOWN_TIME`] after
/// a crash.
pub fn serve(returns: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        accept(listener);
        if !returns {
            return;
        }
        loop {
            thread::sleep(DOWN_TIME);
            accept(TcpListener::bind(address).expect("the port is still free"));
        }
    });
    address
}

/// Serves connections until the target crashes.
fn accept(listener: TcpListener) {
    let listener = Arc::new(listener);
    while let Ok((stream, _)) = listener.accept() {
        let listener = listener.clone();
        thread::spawn(move || answer(&listener, stream));
    }
}

/// Answers one request and closes its connection.
fn answer(listener: &TcpListener, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let head = read_head(&mut stream)?;
    let Some(script) = Script::find(&head) else {
        return Ok(());
    };
    let is_stream = !head.contains("/plain/");
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("request-id: "));
    script.write(&mut stream, id.unwrap_or("r"), is_stream)?;
    if script.fate == Fate::Leaving {
        thread::sleep(LEAVE_TIME);
    }
    if script.fate != Fate::Alive {
        // A listener that is shut down refuses connections from then on.
        SockRef::from(listener).shutdown(Shutdown::Both)?;
    }
    if script.close == Close::Reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

/// Reads the head of a request without a body.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).to_ascii_lowercase())
}
