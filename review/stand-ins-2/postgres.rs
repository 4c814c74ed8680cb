//! A stand-in engine that speaks the PostgreSQL protocol 3.0 with extended queries. It runs a statement when it has
//! read its `Sync`, for as long as the statement says (`run=MS`).

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::record::Record;

/// A statement that ran.
#[derive(Clone)]
pub struct Ran {
    pub statement: String,
    /// When it began, since the start of the case.
    pub at: Duration,
    /// Everything else that the engine was told on this connection and with the statement: startup parameters,
    /// bound parameters.
    pub told: String,
}

#[derive(Default)]
struct State {
    ran: Vec<Ran>,
    cuts: u32,
}

/// A running engine. Clones are the same engine.
#[derive(Clone)]
pub struct PostgresEngine {
    pub uid: String,
    pub address: String,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl PostgresEngine {
    /// Starts an engine on a free port.
    pub fn start(uid: &str, record: &Record) -> PostgresEngine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        let engine =
            PostgresEngine { uid: uid.into(), address, state: Arc::default(), record: record.clone() };
        let of_thread = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = of_thread.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// All statements that ran so far.
    pub fn ran(&self) -> Vec<Ran> {
        self.state.lock().unwrap().ran.clone()
    }

    /// Ends the connections of the next `count` statements once they have run, in place of their answers.
    pub fn cut_next(&self, count: u32) {
        self.state.lock().unwrap().cuts = count;
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let startup = read_startup(&mut stream)?;
        if startup.starts_with(&80_877_102_u32.to_be_bytes()) {
            // A cancel request: the stand-in lets the statement end by itself.
            return None;
        }
        let mut hello = message(b'R', &0_u32.to_be_bytes());
        hello.extend(message(b'S', b"server_version\x0015.0\x00"));
        hello.extend(message(b'K', &[0, 0, 0, 7, 0, 0, 0, 9]));
        hello.extend(message(b'Z', b"I"));
        stream.write_all(&hello).ok()?;
        let session = printable(&startup[4..]);
        let (mut statement, mut bound) = (String::new(), String::new());
        loop {
            let (tag, body) = read_message(&mut stream)?;
            match tag {
                b'P' => {
                    let mut parts = body.split(|b| *b == 0);
                    let _name = parts.next();
                    statement = String::from_utf8_lossy(parts.next().unwrap_or_default()).into_owned();
                }
                b'B' => bound = printable(&body),
                b'S' => self.run(&mut stream, &statement, format!("{session} {bound}"))?,
                b'X' => return None,
                _ => {}
            }
        }
    }

    fn run(&self, stream: &mut TcpStream, statement: &str, told: String) -> Option<()> {
        self.record.line(format!("{}: runs: {statement}", self.uid));
        let cut = {
            let mut state = self.state.lock().unwrap();
            state.ran.push(Ran { statement: statement.to_owned(), at: self.record.now(), told });
            let cut = state.cuts > 0;
            state.cuts -= u32::from(cut);
            cut
        };
        let run =
            statement.split("run=").nth(1).and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
        let run = Duration::from_millis(run.and_then(|ms| ms.parse().ok()).unwrap_or(30));
        std::thread::sleep(run);
        self.record.line(format!("{}: has run to its end: {statement}", self.uid));
        if cut {
            self.record.line(format!("{}: the connection ends before the answer", self.uid));
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
        let mut out = message(b'1', b"");
        out.extend(message(b'2', b""));
        out.extend(message(
            b'T',
            b"\x00\x01c1\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00",
        ));
        out.extend(message(b'D', b"\x00\x01\x00\x00\x00\x02ok"));
        out.extend(message(b'C', b"SELECT 1\x00"));
        out.extend(message(b'Z', b"I"));
        stream.write_all(&out).ok()
    }
}

fn printable(bytes: &[u8]) -> String {
    bytes.iter().map(|b| if b.is_ascii_graphic() { *b as char } else { ' ' }).collect()
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

fn read_startup(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut tag = [0];
    stream.read_exact(&mut tag).ok()?;
    Some((tag[0], read_startup(stream)?))
}
