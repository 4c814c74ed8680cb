//! A stand-in for the coordinator: numbered events as server-sent events, and a comment each second. It can be away.

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::read_request;
use super::record::Record;

const STEP: Duration = Duration::from_millis(2);
const COMMENT: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    /// Number and text of each event.
    events: Vec<(u64, String)>,
    /// The listener; none while the coordinator is away, so that connections are refused.
    listener: Option<TcpListener>,
    connections: Vec<TcpStream>,
}

/// A running coordinator. Clones are the same one.
#[derive(Clone)]
pub struct Coordinator {
    pub address: String,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Coordinator {
    /// Starts on a free port.
    pub fn start(record: &Record) -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        listener.set_nonblocking(true).unwrap();
        let state = State { listener: Some(listener), ..State::default() };
        let coordinator = Coordinator { address, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let of_thread = coordinator.clone();
        std::thread::spawn(move || loop {
            of_thread.accept();
            std::thread::sleep(STEP);
        });
        coordinator
    }

    /// Closes the listener and all connections.
    pub fn go_away(&self) {
        self.record.line("coordinator: is down");
        let mut state = self.state.lock().unwrap();
        state.listener = None;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Listens again at the same address.
    pub fn come_back(&self) {
        let listener = TcpListener::bind(&self.address).expect("the coordinator's address is free");
        listener.set_nonblocking(true).unwrap();
        self.state.lock().unwrap().listener = Some(listener);
        self.record.line("coordinator: is back");
    }

    /// Adds the event of this number, whose targets are entries of engines.
    pub fn add(&self, number: u64, targets: &[String]) {
        let targets = targets.join(",");
        let text = format!(
            r#"{{"index":{number},"endpoints":{{"rev":{number},"all":false,"targets":[{targets}]}}}}"#
        );
        self.record.line(format!("coordinator: holds event {number}: {targets}"));
        self.state.lock().unwrap().events.push((number, text));
    }

    fn accept(&self) {
        let mut state = self.state.lock().unwrap();
        let accepted = state.listener.as_ref().and_then(|listener| listener.accept().ok());
        let Some((stream, _)) = accepted else { return };
        let _ = stream.set_nonblocking(false);
        state.connections.extend(stream.try_clone());
        let coordinator = self.clone();
        std::thread::spawn(move || coordinator.serve(stream));
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let request = read_request(&mut stream, &mut Vec::new())?;
        let mut last: u64 = request.header("Last-Event-ID").parse().unwrap_or(0);
        self.record.line(format!("coordinator: a router asks for the events after {last}"));
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").ok()?;
        let mut commented = Instant::now();
        loop {
            let new: Vec<(u64, String)> = self
                .state
                .lock()
                .unwrap()
                .events
                .iter()
                .filter(|(number, _)| *number > last)
                .cloned()
                .collect();
            for (number, text) in new {
                stream.write_all(format!("id: {number}\ndata: {text}\n\n").as_bytes()).ok()?;
                last = number;
            }
            if commented.elapsed() >= COMMENT {
                commented = Instant::now();
                stream.write_all(b": still here\n\n").ok()?;
            }
            std::thread::sleep(STEP);
        }
    }
}
