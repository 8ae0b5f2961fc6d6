//! A proxy in front of a runner, which can hold everything back as a cut does.

use std::{
    io::{Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    to: Arc<Mutex<SocketAddr>>,
    held: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(ip: IpAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            to: Arc::new(Mutex::new(to)),
            held: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.join(stream));
            }
        });
        proxy
    }

    /// Holds back what is sent and the ends of connections, or lets them pass again.
    pub fn hold(&self, held: bool) {
        self.held.store(held, Ordering::SeqCst);
    }

    /// Sends new connections elsewhere.
    pub fn redirect(&self, to: SocketAddr) {
        *self.to.lock().unwrap() = to;
    }

    fn wait(&self) {
        while self.held.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn join(&self, near: TcpStream) {
        self.wait();
        let to = *self.to.lock().unwrap();
        let Ok(far) = TcpStream::connect(to) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        thread::spawn(move || proxy.pump(near_copy, far_copy));
        self.pump(far, near);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut part = [0; 16 << 10];
        loop {
            let read = from.read(&mut part);
            self.wait();
            match read {
                Ok(n) if n > 0 && to.write_all(&part[..n]).is_ok() => {}
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}
