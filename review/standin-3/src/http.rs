//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as a server has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a field of the query.
    pub fn field(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

type Headers = Vec<(String, String)>;

fn read_head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let mut first = String::new();
    while first.trim().is_empty() {
        first.clear();
        if reader.read_line(&mut first).ok()? == 0 {
            return None;
        }
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a client got.
pub struct Answer {
    /// 0 if no answer came.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub is_whole: bool,
}

/// Sends one request on a connection of its own and reads the answer until `time` is over.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
    time: Duration,
) -> Answer {
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_whole: false,
    };
    let end = Instant::now() + time;
    // An error leaves what has been read so far.
    let _ = exchange(address, method, path, headers, body, end, &mut answer);
    answer
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
    end: Instant,
    answer: &mut Answer,
) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    answer.status = first.split(' ').nth(1)?.parse().ok()?;
    answer.headers = headers;
    let is_chunked = find(&answer.headers, "transfer-encoding").is_some();
    let length = find(&answer.headers, "content-length").and_then(|text| text.parse().ok());
    if is_chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part).ok()?;
            if size == 0 {
                answer.is_whole = true;
                return Some(());
            }
            answer.body.extend_from_slice(&part[..size]);
            if Instant::now() > end {
                return None;
            }
        }
    }
    match length {
        Some(length) => {
            let mut part = vec![0; length];
            reader.read_exact(&mut part).ok()?;
            answer.body = part;
        }
        None => {
            reader.read_to_end(&mut answer.body).ok()?;
        }
    }
    answer.is_whole = true;
    Some(())
}
