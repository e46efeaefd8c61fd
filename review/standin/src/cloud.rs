//! A stand-in for the platform's API, which takes usage reports and scale orders.

use crate::http::{Reader, response};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;

/// Starts the API; all calls are recorded and accepted.
pub fn start(ip: &str, record: Record) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut reader = Reader::new(stream);
                while let Ok(Some(request)) = reader.request() {
                    let text = String::from_utf8_lossy(&request.body).into_owned();
                    let holder = request.header("x-lease-holder").unwrap_or_default();
                    let token = request.header("x-fencing-token").unwrap_or_default();
                    record.line(&format!(
                        "platform {} holder {holder} token {token} {text}",
                        request.target
                    ));
                    if reader.stream.write_all(&response(200, &[], b"{}")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
