//! Forwards TCP connections to an address, and can cut them off without closing them, as a network
//! partition does.

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
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

/// The interval at which a connection that is cut off checks whether it still is.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A forwarder of connections.
#[derive(Clone, Debug)]
pub struct Forwarder {
    /// The address that it listens on.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Forwarder {
    /// Starts to forward connections to an address.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        let address = listener.local_addr().expect("the socket has an address");
        let cut = Arc::new(AtomicBool::new(false));
        let all = cut.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let cut = all.clone();
                // A connection ends with the side that closes it.
                let _ = TcpStream::connect(to).and_then(|to| forward(&from, &to, &cut));
            }
        });
        Self { address, cut }
    }

    /// Keeps all bytes back that arrive from now on, or passes on what was kept back.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Forwards what both sides send, on threads of their own.
fn forward(from: &TcpStream, to: &TcpStream, cut: &Arc<AtomicBool>) -> io::Result<()> {
    for (reader, writer) in [(from, to), (to, from)] {
        let (reader, writer, cut) = (reader.try_clone()?, writer.try_clone()?, cut.clone());
        thread::spawn(move || copy(reader, writer, &cut));
    }
    Ok(())
}

fn copy(mut reader: TcpStream, mut writer: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 4096];
    while let Ok(count @ 1..) = reader.read(&mut bytes) {
        while cut.load(Ordering::Relaxed) {
            thread::sleep(CHECK_INTERVAL);
        }
        if writer.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Write);
}
