//! A small HTTP/1.1 server side, and clients.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A request that was read completely.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let size = reader.read_line(&mut line).ok()?;
    (size > 0).then(|| line.trim_end().to_owned())
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let first = read_line(reader)?;
    let mut words = first.split(' ');
    let mut req = Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        ..Request::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        req.headers
            .push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let length = req.header("content-length").and_then(|l| l.parse().ok());
    if let Some(length) = length {
        req.body = vec![0; length];
        reader.read_exact(&mut req.body).ok()?;
    } else if req.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            req.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    }
    Some(req)
}

/// An answer that was read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// How an exchange ended for a client.
#[derive(Clone, Debug)]
pub enum Exchange {
    Answered(Answer),
    /// The connection ended without a complete answer.
    Cut(String),
    /// No answer came before the client gave up.
    TimedOut,
}

/// Reads an answer with a length.
pub fn read_answer(tcp: &TcpStream, patience: Duration) -> Exchange {
    let cut = |e: &std::io::Error| match e.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Exchange::TimedOut,
        _ => Exchange::Cut(e.to_string()),
    };
    tcp.set_read_timeout(Some(patience)).expect("a timeout");
    let mut reader = BufReader::new(tcp);
    let mut head = String::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) => return Exchange::Cut("end of the connection".to_owned()),
            Ok(_) if line.trim_end().is_empty() => break,
            Ok(_) => head.push_str(&line),
            Err(e) => return cut(&e),
        }
    }
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let lower = head.to_ascii_lowercase();
    let mut lengths = lower
        .lines()
        .filter_map(|l| l.strip_prefix("content-length:"));
    let length = lengths.next().and_then(|l| l.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    if let Err(e) = reader.read_exact(&mut body) {
        return cut(&e);
    }
    let status = status.unwrap_or(0);
    Exchange::Answered(Answer { status, body })
}

/// Serves connections, each on its own thread.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(tcp));
        }
    });
}

/// Binds a listener at a free port of the loopback address.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Writes an answer with a length.
pub fn write_answer(
    tcp: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    tcp.write_all(&bytes)
}
