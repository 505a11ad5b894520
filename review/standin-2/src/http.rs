//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The first line and the headers of a message.
#[derive(Clone, Debug)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the length of the body, 0 if none is stated.
    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first_line = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head {
                first_line,
                headers,
            }));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body of a known length.
pub fn read_body(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A kept connection of a client.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let tcp = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Self(BufReader::new(tcp)))
    }

    /// Sends a request and reads the whole answer; `None` if the connection ends without one.
    pub fn ask(&mut self, head: &str, body: &[u8]) -> io::Result<Option<(Head, Vec<u8>)>> {
        let tcp = self.0.get_mut();
        tcp.write_all(head.as_bytes())?;
        tcp.write_all(body)?;
        let Some(answer) = read_head(&mut self.0)? else {
            return Ok(None);
        };
        let body = read_body(&mut self.0, answer.length())?;
        Ok(Some((answer, body)))
    }
}
