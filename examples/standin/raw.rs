//! A target that answers with given bytes, on connections that it keeps.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use socket2::SockRef;

/// A request that has arrived.
pub struct Exchange {
    pub path: String,
    /// The id of the request; empty if it has none.
    pub id: String,
    /// The number of requests that came before it on its connection.
    pub earlier: usize,
}

/// What becomes of the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
    Reset,
}

/// A running target.
#[derive(Clone)]
pub struct RawTarget {
    pub address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl RawTarget {
    /// Writes bytes on each connection on which a request has been answered.
    pub fn write_to_all(&self, text: &str) {
        let mut streams = self.streams.lock().expect("no holder of the lock panics");
        for stream in streams.iter_mut() {
            // Fails where the connection is closed.
            let _ = stream.write_all(text.as_bytes());
        }
    }
}

/// Starts a target on a free loopback port, which answers each request with the bytes that `answer`
/// returns.
pub fn serve(
    answer: impl Fn(&Exchange) -> (String, Next) + Clone + Send + Sync + 'static,
) -> RawTarget {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let streams = Arc::<Mutex<Vec<TcpStream>>>::default();
    let target = RawTarget { address, streams };
    let served = target.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (served, answer) = (served.clone(), answer.clone());
            // Fails where the connection ends.
            thread::spawn(move || serve_connection(&served, stream, answer).ok());
        }
    });
    target
}

fn serve_connection(
    target: &RawTarget,
    mut stream: TcpStream,
    answer: impl Fn(&Exchange) -> (String, Next),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    for earlier in 0.. {
        let head = read_request(&mut stream)?;
        let line = head.lines().next().unwrap_or_default();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("request-id: "));
        let exchange = Exchange {
            path: line.split(' ').nth(1).unwrap_or_default().to_owned(),
            id: id.unwrap_or_default().to_owned(),
            earlier,
        };
        let (text, next) = answer(&exchange);
        if earlier == 0 && next == Next::Keep {
            let kept = stream.try_clone()?;
            let mut streams = target.streams.lock().expect("no holder of the lock panics");
            streams.push(kept);
        }
        stream.write_all(text.as_bytes())?;
        if next != Next::Keep {
            let peer = stream.peer_addr()?;
            let mut streams = target.streams.lock().expect("no holder of the lock panics");
            // The connection ends only once it has no other handle.
            streams.retain(|kept| kept.peer_addr().is_ok_and(|kept| kept != peer));
        }
        match next {
            Next::Keep => {}
            Next::Close => return stream.shutdown(std::net::Shutdown::Both),
            Next::Reset => return SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
        }
    }
    Ok(())
}

/// Reads a request, and returns its head in lower case.
fn read_request(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |length| length.parse().expect("a number"));
    stream.read_exact(&mut vec![0; length])?;
    Ok(head)
}
