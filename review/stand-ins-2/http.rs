//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A request that a server has read.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads one request. `input` keeps what was read beyond it. Returns `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some((request, size)) = parse_request(input) {
            input.drain(..size);
            return Some(request);
        }
        let mut buffer = [0; 16 << 10];
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => input.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

fn parse_request(input: &[u8]) -> Option<(Request, usize)> {
    let head_size = input.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&input[..head_size]).into_owned();
    let mut lines = head.lines();
    let mut words = lines.next()?.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut request = Request { method, path, headers, body: Vec::new() };
    let length: usize = request.header("Content-Length").parse().unwrap_or(0);
    let size = head_size + length;
    if input.len() < size {
        return None;
    }
    request.body = input[head_size..size].to_vec();
    Some((request, size))
}

/// Encodes a response.
pub fn response(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Makes one call on a connection of its own and returns the status and the body; 0 if there is no answer.
pub fn call(address: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(address) else { return (0, "no connection".into()) };
    let _ = stream.set_read_timeout(Some(std::time::Duration::from_secs(1)));
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(request.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    (status, text.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.trim().to_owned()))
}
