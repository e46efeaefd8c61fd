//! A small part of HTTP/1.1, for the stand-ins: heads, bodies with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head of a message, and the bytes that were read behind it.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
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

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 8_192];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads up to a delimiter, which is removed.
    fn read_until(&mut self, end: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.buffer.windows(end.len()).position(|one| one == end);
            if let Some(position) = found {
                let rest = self.buffer.split_off(position + end.len());
                let mut part = std::mem::replace(&mut self.buffer, rest);
                part.truncate(position);
                return Ok(part);
            }
            self.fill()?;
        }
    }

    fn read_exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let bytes = self.read_until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_ascii_lowercase(), value.trim().into()));
        Ok(Head {
            first_line,
            headers: headers.collect(),
        })
    }

    /// Reads the whole body of a request.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let mut parts = Body::of(head, false);
        while let Some(part) = parts.next(self)? {
            body.extend(part);
        }
        Ok(body)
    }
}

/// How the rest of a body is framed.
pub enum Body {
    Length(usize),
    Chunks,
    UntilClose,
    Ended,
}

impl Body {
    pub fn of(head: &Head, is_response: bool) -> Self {
        let is_chunked = head.header("transfer-encoding").is_some();
        let length = head
            .header("content-length")
            .and_then(|one| one.parse().ok());
        match (is_chunked, length) {
            (true, _) => Self::Chunks,
            (false, Some(length)) => Self::Length(length),
            (false, None) if is_response => Self::UntilClose,
            (false, None) => Self::Ended,
        }
    }

    /// Reads the next part; `None` at the end of the body.
    pub fn next(&mut self, reader: &mut Reader) -> io::Result<Option<Vec<u8>>> {
        match self {
            Self::Ended | Self::Length(0) => Ok(None),
            Self::Length(length) => {
                let count = *length;
                *self = Self::Ended;
                reader.read_exactly(count).map(Some)
            }
            Self::Chunks => {
                let line = reader.read_until(b"\r\n")?;
                let text = String::from_utf8_lossy(&line).into_owned();
                let count = usize::from_str_radix(text.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let part = reader.read_exactly(count)?;
                reader.read_exactly(2)?;
                if count == 0 {
                    *self = Self::Ended;
                    return Ok(None);
                }
                Ok(Some(part))
            }
            Self::UntilClose => {
                if !reader.buffer.is_empty() {
                    return Ok(Some(std::mem::take(&mut reader.buffer)));
                }
                match reader.fill() {
                    Ok(()) => Ok(Some(std::mem::take(&mut reader.buffer))),
                    Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                        *self = Self::Ended;
                        Ok(None)
                    }
                    Err(error) => Err(error),
                }
            }
        }
    }
}

/// Writes a whole response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
