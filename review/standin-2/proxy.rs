//! A proxy whose open channels can go silent, while new ones work.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone, Default)]
pub struct Proxy {
    /// Number of silences so far. A channel opened before the last one is silent.
    silences: Arc<AtomicU64>,
}

impl Proxy {
    /// Forwards channels from `address` to `target`.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Proxy {
        let proxy = Proxy::default();
        let listener = TcpListener::bind(address).expect("the address is free");
        let own = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                for stream in [&client, &server] {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
                }
                let opened = own.silences.load(Ordering::SeqCst);
                let pairs = [(client.try_clone(), server.try_clone()), (Ok(server), Ok(client))];
                for (from, to) in pairs {
                    let (Ok(from), Ok(to), own) = (from, to, own.clone()) else { continue };
                    thread::spawn(move || own.forward(from, to, opened));
                }
            }
        });
        proxy
    }

    /// Makes the channels that are open now silent for good, without a reset.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, opened: u64) {
        let mut buffer = [0; 16384];
        loop {
            let read = from.read(&mut buffer);
            while self.silences.load(Ordering::SeqCst) != opened {
                // The channel stays open, and nothing passes.
                thread::sleep(Duration::from_secs(1));
            }
            match read {
                Ok(0) => break,
                Ok(bytes) => {
                    if to.write_all(&buffer[..bytes]).is_err() {
                        break;
                    }
                }
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(std::net::Shutdown::Both);
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}
