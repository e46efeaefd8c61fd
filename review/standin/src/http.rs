//! A small HTTP/1.1 reader and writer for the stand-ins and the clients.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a stand-in reads it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as a client reads it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find(headers: &[(String, String)], name: &str) -> Option<String> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.clone())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<String> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let mut found = fields.filter(|(key, _)| *key == name);
        found.next().and_then(|(_, value)| value.parse().ok())
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<String> {
        find(&self.headers, name)
    }
}

/// Reads from one connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; returns `false` at the end of the connection.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0_u8; 16 * 1024];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }

    pub fn take(&mut self, length: usize) -> Vec<u8> {
        self.buffer.drain(..length).collect()
    }

    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Reads up to and including `end`.
    pub fn until(&mut self, end: &[u8]) -> io::Result<Option<Vec<u8>>> {
        loop {
            let position = self.buffer.windows(end.len()).position(|part| part == end);
            if let Some(position) = position {
                return Ok(Some(self.take(position + end.len())));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.take(length)))
    }

    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        let Some(head) = self.until(b"\r\n\r\n")? else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
        Ok(Some((first, headers.collect())))
    }

    /// Reads a body in chunks; returns what has arrived and whether it is whole.
    fn chunks(&mut self) -> io::Result<(Vec<u8>, bool)> {
        let mut body = Vec::new();
        loop {
            let Some(line) = self.until(b"\r\n")? else {
                return Ok((body, false));
            };
            let text = String::from_utf8_lossy(&line).trim().to_owned();
            let Ok(length) = usize::from_str_radix(&text, 16) else {
                return Ok((body, false));
            };
            let Some(mut part) = self.exact(length + 2)? else {
                return Ok((body, false));
            };
            part.truncate(length);
            body.extend(part);
            if length == 0 {
                return Ok((body, true));
            }
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else {
            return Ok(None);
        };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let is_chunked = find(&headers, "transfer-encoding").is_some();
        let length = find(&headers, "content-length").and_then(|value| value.parse().ok());
        let body = match is_chunked {
            true => match self.chunks()? {
                (body, true) => body,
                _ => return Ok(None),
            },
            false => match self.exact(length.unwrap_or(0))? {
                Some(body) => body,
                None => return Ok(None),
            },
        };
        Ok(Some(Request {
            method,
            target,
            headers,
            body,
        }))
    }

    /// Reads a response to a request that isn't `HEAD`.
    pub fn response(&mut self) -> io::Result<Option<Response>> {
        let (first, headers) = loop {
            match self.head()? {
                Some((first, _))
                    if first
                        .split(' ')
                        .nth(1)
                        .is_some_and(|code| code.starts_with('1')) => {}
                Some(head) => break head,
                None => return Ok(None),
            }
        };
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        let length: Option<usize> =
            find(&headers, "content-length").and_then(|value| value.parse().ok());
        let is_chunked = find(&headers, "transfer-encoding").is_some();
        let body = match (is_chunked, length) {
            (true, _) => self.chunks()?.0,
            (false, Some(length)) => match self.exact(length)? {
                Some(body) => body,
                None => return Ok(None),
            },
            (false, None) => {
                while self.fill()? {}
                let length = self.buffer.len();
                self.take(length)
            }
        };
        Ok(Some(Response {
            status,
            headers,
            body,
        }))
    }
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a request with a length.
pub fn request(method: &str, target: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Opens a connection whose reads end after `time`.
pub fn connect(address: SocketAddr, time: Duration) -> io::Result<Reader> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time))?;
    stream.set_nodelay(true)?;
    Ok(Reader::new(stream))
}

/// Sends one request on a new connection and reads the response.
pub fn send(address: SocketAddr, bytes: &[u8], time: Duration) -> io::Result<Option<Response>> {
    let mut reader = connect(address, time)?;
    reader.stream.write_all(bytes)?;
    reader.response()
}
