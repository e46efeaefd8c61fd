//! The links of one machine to the runners, which can be cut while the other machines' aren't.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Time after which a new connection over a link that is cut is reset.
const RESET_DELAY: std::time::Duration = std::time::Duration::from_millis(3);

/// A link to one runner. While it is cut, its connections are reset, and new ones as soon as
/// they have opened.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.3.1:0").expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            target,
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let served = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The runner may be away, or the link cut meanwhile.
                served.forward(stream).unwrap_or_default();
            }
        });
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            let open = std::mem::take(&mut *self.open.lock().expect("a lock"));
            open.iter().for_each(reset);
        }
    }

    fn forward(&self, stream: TcpStream) -> io::Result<()> {
        if self.is_cut.load(Ordering::SeqCst) {
            thread::spawn(move || {
                thread::sleep(RESET_DELAY);
                reset(&stream);
            });
            return Ok(());
        }
        let runner = TcpStream::connect(self.target)?;
        stream.set_nodelay(true)?;
        runner.set_nodelay(true)?;
        let mut open = self.open.lock().expect("a lock");
        open.push(stream.try_clone()?);
        open.push(runner.try_clone()?);
        drop(open);
        for (from, to) in [(&stream, &runner), (&runner, &stream)] {
            let (from, to) = (from.try_clone()?, to.try_clone()?);
            thread::spawn(move || copy(from, to));
        }
        Ok(())
    }
}

/// Lets the connection end with a reset.
fn reset(stream: &TcpStream) {
    let linger = rustix::net::sockopt::set_socket_linger(stream, Some(std::time::Duration::ZERO));
    linger.expect("an option");
    stream.shutdown(Shutdown::Both).unwrap_or_default();
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16_384];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    to.shutdown(Shutdown::Write).unwrap_or_default();
}
