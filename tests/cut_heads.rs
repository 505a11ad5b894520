//! An upstream whose answers stop in the middle of the head, through `egret-companion` and
//! `egret-entry`: no caller gets a success.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, booking, drafting, wait_for_route};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The head of a plain answer.
const PLAIN_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n";

/// The head of a stream.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Odd heads, after which the connection ends.
const ODD_HEADS: [&str; 4] = [
    "HTTP/1.1 103 Early Hints\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nContent-Length: 2",
];

/// Returns the text after a mark in a request, up to the next character that is no digit.
fn number_after(req: &str, mark: &str) -> Option<usize> {
    let (_, rest) = req.split_once(mark)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Reads a request with its body; returns `None` at the end of the connection.
fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut text = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
        text.push_str(&line);
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    text.push_str(&String::from_utf8(body).ok()?);
    Some(text)
}

/// Answers requests: those with `cut-N` with the first N bytes of a head, those with `odd-N`
/// with an odd head, and the others whole.
fn serve(tcp: &TcpStream) {
    let mut reader = BufReader::new(tcp);
    let mut writer = tcp;
    while let Some(req) = read_request(&mut reader) {
        let head = if req.contains("\"stream\":true") {
            STREAM_HEAD
        } else {
            PLAIN_HEAD
        };
        let end = number_after(&req, "cut-").map(|count| &head[..count]);
        let end = end.or_else(|| number_after(&req, "odd-").map(|index| ODD_HEADS[index]));
        let is_whole = end.is_none();
        let answer = end.map_or_else(|| format!("{PLAIN_HEAD}{{}}"), ToOwned::to_owned);
        if writer.write_all(answer.as_bytes()).is_err() || !is_whole {
            return;
        }
    }
}

fn start_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for tcp in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(&tcp));
        }
    });
    address
}

/// The marks of all cuts of a head, and those of the odd heads.
fn marks(head: &str) -> impl Iterator<Item = String> {
    let cuts = (0..head.len()).map(|count| format!("cut-{count}"));
    let odd = (0..ODD_HEADS.len()).map(|index| format!("odd-{index}"));
    cuts.chain(odd)
}

fn assert_no_success(answer: &CallerResponse, mark: &str) {
    assert!(answer.status >= 500, "{mark}: {answer:?}");
    assert!(!answer.is_completed(), "{mark}: {answer:?}");
}

#[test]
fn a_plain_answer_whose_head_is_cut_is_no_success() {
    let fleet = scenario::start_fleet(programs!());
    let _companion = fleet.companion(&booking("ledger-1", "west", start_upstream()));
    let entry = fleet.entry("entry-1", "west");
    let ping = CallerRequest::plain("GET", "/services/booking/ping", "");
    wait_for_route(&entry, &ping);
    for mark in marks(PLAIN_HEAD) {
        // The connection to the upstream is a kept one for each second request.
        let answer = ping.clone().send(entry.address);
        assert_eq!(answer.status, 200, "{answer:?}");
        for method in ["GET", "POST"] {
            let path = format!("/services/booking/{mark}");
            let answer = CallerRequest::plain(method, &path, "").send(entry.address);
            assert_no_success(&answer, &mark);
        }
    }
}

#[test]
fn a_stream_whose_head_is_cut_is_no_success() {
    let fleet = scenario::start_fleet(programs!());
    let _companion = fleet.companion(&drafting("draft-1", "west", start_upstream()));
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(&entry, &CallerRequest::chat("draft-1", "probe", 1, false));
    for mark in marks(STREAM_HEAD) {
        let answer = CallerRequest::chat("draft-1", &mark, 20, true).send(entry.address);
        assert_no_success(&answer, &mark);
    }
}
