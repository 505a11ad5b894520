//! Crowds of callers that stay outside the limits.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Barrier;
use std::time::Duration;

/// Returns the head of the request of a caller with a number, up to the header that frames its
/// body.
pub type HeadOfNumber = fn(usize) -> String;

/// Largest legal body, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// Bytes of a body that is sent in chunks of one byte.
const TINY_CHUNKED_BYTES: usize = 16 * 1024;

/// Bytes of one large chunk, or of one piece of a body that is sent piece by piece.
const PIECE_BYTES: usize = 16 * 1024;

/// Bytes of the value of a header that doesn't end.
const UNFINISHED_HEAD_BYTES: usize = 12 * 1024;

/// Number of callers in a crowd.
pub const CROWD: usize = 240;

/// One caller of so many sends its whole body; all others stop short of its end.
const WHOLE_BODY_INTERVAL: usize = 8;

/// Length that bodies far over the limit announce.
const HUGE_BODY_BYTES: usize = 64 * MAX_BODY_BYTES;

/// Bytes that a caller far over the limit sends beyond it.
const BYTES_BEYOND: usize = 4 * MAX_BODY_BYTES;

/// Time after which a caller that the entry doesn't read from stops sending.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for an answer: longer than the entry waits for a body.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// One caller of a crowd.
#[derive(Debug)]
pub struct CrowdCaller {
    number: usize,
    tcp: TcpStream,
    head: HeadOfNumber,
}

impl CrowdCaller {
    /// Connects to an entry.
    ///
    /// # Panics
    ///
    /// Panics when the entry isn't listening.
    #[must_use]
    pub fn connect(address: SocketAddr, number: usize, head: HeadOfNumber) -> Self {
        let tcp = TcpStream::connect(address).expect("a connection");
        tcp.set_write_timeout(Some(WRITE_TIMEOUT))
            .expect("a time limit");
        tcp.set_read_timeout(Some(ANSWER_TIMEOUT))
            .expect("a time limit");
        Self { number, tcp, head }
    }

    /// Sends bytes; returns whether the entry has taken them all.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.tcp.write_all(bytes).is_ok()
    }

    /// Sends a head with the header that frames its body.
    fn send_head(&mut self, framing: &str) -> bool {
        let head = (self.head)(self.number);
        self.send(format!("{head}{framing}\r\n\r\n").as_bytes())
    }

    /// Sends a head that announces the length of its body.
    pub fn send_length(&mut self, length: usize) -> bool {
        self.send_head(&format!("Content-Length: {length}"))
    }

    fn sends_whole_body(&self) -> bool {
        self.number.is_multiple_of(WHOLE_BODY_INTERVAL)
    }

    /// Sends `count` bytes of a body, in pieces.
    pub fn send_pieces(&mut self, count: usize, piece: usize) -> bool {
        let bytes = vec![b'x'; piece];
        (0..count.div_ceil(piece)).all(|index| {
            let rest = count - index * piece;
            self.send(&bytes[..rest.min(piece)])
        })
    }

    /// Sends `count` bytes of a body in chunks.
    fn send_chunks(&mut self, count: usize, chunk: usize) -> bool {
        let bytes = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
        // A few large writes, as a caller that is short of nothing makes them.
        let per_write = PIECE_BYTES.div_ceil(bytes.len());
        let chunks = count / chunk;
        (0..chunks.div_ceil(per_write)).all(|index| {
            let rest = chunks - index * per_write;
            self.send(bytes.repeat(rest.min(per_write)).as_bytes())
        })
    }

    /// Reads the head of an answer; returns `None` if the connection ends first.
    pub fn read_head(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.tcp.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        Some(String::from_utf8_lossy(&head).to_ascii_lowercase())
    }

    /// Reads an answer's status line; returns `None` if the connection ends first.
    pub fn read_status(&mut self) -> Option<String> {
        let mut buf = [0; 12];
        self.tcp.read_exact(&mut buf).ok()?;
        Some(String::from_utf8_lossy(&buf).into_owned())
    }
}

/// Lets a crowd send, and send more when all have sent; returns the open connections.
///
/// # Panics
///
/// Panics when the entry isn't listening.
#[must_use]
pub fn run_crowd(
    address: SocketAddr,
    head: HeadOfNumber,
    send: fn(&mut CrowdCaller),
    send_more: fn(&mut CrowdCaller),
) -> Vec<CrowdCaller> {
    let all_have_sent = Barrier::new(CROWD);
    std::thread::scope(|scope| {
        let callers = (0..CROWD).map(|number| {
            let barrier = &all_have_sent;
            scope.spawn(move || {
                let mut caller = CrowdCaller::connect(address, number, head);
                send(&mut caller);
                barrier.wait();
                send_more(&mut caller);
                caller
            })
        });
        let callers: Vec<_> = callers.collect();
        let ended = callers.into_iter().map(|c| c.join().expect("no panic"));
        ended.collect()
    })
}

/// Sends a legal body, whole or piece by piece; most callers stop just short of its end.
pub fn send_legal_body(caller: &mut CrowdCaller) {
    let is_whole = caller.sends_whole_body();
    let piece = if (caller.number / WHOLE_BODY_INTERVAL).is_multiple_of(2) {
        MAX_BODY_BYTES
    } else {
        PIECE_BYTES
    };
    let count = MAX_BODY_BYTES - usize::from(!is_whole);
    caller.send_length(MAX_BODY_BYTES);
    caller.send_pieces(count, piece);
}

/// Sends a body in large or very small chunks; most callers stop just short of its end.
pub fn send_chunked_body(caller: &mut CrowdCaller) {
    let is_whole = caller.sends_whole_body();
    caller.send_head("Transfer-Encoding: chunked");
    if (caller.number / WHOLE_BODY_INTERVAL).is_multiple_of(2) {
        caller.send_chunks(MAX_BODY_BYTES, PIECE_BYTES);
    } else {
        caller.send_chunks(TINY_CHUNKED_BYTES, 1);
    }
    if is_whole {
        caller.send(b"0\r\n\r\n");
    }
}

/// Sends the legal part of a body far over the limit, announced or just sent.
pub fn send_body_over_limit(caller: &mut CrowdCaller) {
    if caller.number.is_multiple_of(2) {
        caller.send_length(HUGE_BODY_BYTES);
        caller.send_pieces(MAX_BODY_BYTES - 1, PIECE_BYTES);
    } else {
        caller.send_head("Transfer-Encoding: chunked");
        caller.send_chunks(MAX_BODY_BYTES, PIECE_BYTES);
    }
}

/// Sends more of a body far over the limit.
pub fn send_more_over_limit(caller: &mut CrowdCaller) {
    if caller.number.is_multiple_of(2) {
        caller.send_pieces(BYTES_BEYOND, PIECE_BYTES);
    } else {
        caller.send_chunks(BYTES_BEYOND, PIECE_BYTES);
    }
}

/// Stops within the head of a request.
pub fn send_unfinished_head(caller: &mut CrowdCaller) {
    let head = "POST /bookings/7 HTTP/1.1\r\nHost: desk.example\r\nX-Filler: ";
    caller.send(head.as_bytes());
    caller.send(&[b'x'; UNFINISHED_HEAD_BYTES]);
}
