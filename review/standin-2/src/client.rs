//! Clients.

use crate::http::{Body, Head, Reader};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request of a client.
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline: Duration,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub retry_after: Option<Duration>,
    pub has_seal: bool,
    pub body: String,
    /// Whether the answer came to its end.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the numbers of the whole events.
    pub fn events(&self) -> Vec<u64> {
        let whole = self.body.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let lines = whole.lines().filter_map(|line| line.strip_prefix("id: "));
        lines.filter_map(|id| id.parse().ok()).collect()
    }

    /// Returns the texts behind the numbers, which name the run.
    pub fn data(&self) -> Vec<String> {
        let whole = self.body.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let lines = whole.lines().filter_map(|line| line.strip_prefix("data: "));
        lines.map(str::to_owned).collect()
    }
}

/// Sends a request on a new connection, and reads the answer until the deadline.
pub fn send(front: SocketAddr, request: &Request) -> Answer {
    let mut answer = Answer::default();
    let end = Instant::now() + request.deadline;
    // A broken connection shows in the answer, which isn't complete.
    exchange(front, request, end, &mut answer).unwrap_or_default();
    answer
}

fn exchange(
    front: SocketAddr,
    request: &Request,
    end: Instant,
    answer: &mut Answer,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer key-north\r\nContent-Length: {}\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.body.len()
    );
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(&request.body);
    (&stream).write_all(text.as_bytes())?;
    let mut reader = Reader::new(stream);
    limit(&reader, end)?;
    let head: Head = reader.head()?;
    answer.status = head.status();
    answer.has_seal = head.header("x-response-seal").is_some();
    let seconds = head
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    answer.retry_after = seconds.map(Duration::from_secs_f64);
    let mut body = Body::of(&head, true);
    loop {
        limit(&reader, end)?;
        match body.next(&mut reader)? {
            Some(part) => answer.body.push_str(&String::from_utf8_lossy(&part)),
            None => break,
        }
    }
    answer.is_complete = true;
    Ok(())
}

fn limit(reader: &Reader, end: Instant) -> io::Result<()> {
    let left = end.saturating_duration_since(Instant::now());
    let left = left.max(Duration::from_millis(1));
    reader.stream.set_read_timeout(Some(left))
}
