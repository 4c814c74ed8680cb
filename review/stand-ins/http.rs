//! Reading HTTP/1.1 requests.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// A complete request.
pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// Takes a complete request from the start of `input`, if there is one.
pub fn take_request(input: &mut Vec<u8>) -> Option<Request> {
    let head_end = input.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&input[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    if input.len() < head_end + length {
        return None;
    }
    let body = String::from_utf8_lossy(&input[head_end..head_end + length]).into_owned();
    input.drain(..head_end + length);
    Some(Request { method, path, headers, body })
}

/// Reads what has arrived on a stream with a read timeout. Returns false once it has ended.
pub fn read_some(stream: &mut TcpStream, input: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer) {
        Ok(0) => false,
        Ok(n) => {
            input.extend_from_slice(&buffer[..n]);
            true
        }
        Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted),
    }
}
