//! A stand-in engine that completes each query with one row at once, with a thread for each
//! connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The response to each call.
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\nLoad-Report: busy:0;rif:0\r\n\r\na\tb\tc\n";

/// A running engine. It accepts no more connections once this value is dropped.
pub struct InstantEngine {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl InstantEngine {
    /// Listens on a free port.
    ///
    /// # Errors
    /// If the socket cannot be opened.
    pub fn start() -> std::io::Result<InstantEngine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::spawn(move || serve(stream));
            }
        });
        Ok(InstantEngine { address, stopped })
    }

    /// Where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for InstantEngine {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
    }
}

/// Answers calls until the connection ends.
fn serve(stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(length) = read_head(&mut reader) {
        let body = std::io::copy(&mut (&mut reader).take(length), &mut std::io::sink());
        if body.is_err() || writer.write_all(RESPONSE).is_err() {
            return;
        }
    }
}

/// Reads the head of a request. Returns the length of its body, or `None` at the end.
fn read_head(reader: &mut impl BufRead) -> Option<u64> {
    let (mut length, mut line) = (0, String::new());
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim_end().is_empty() {
            return Some(length);
        }
        let header = line.split_once(':').filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        length = header.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(length);
    }
}
