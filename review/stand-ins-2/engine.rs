//! A stand-in engine that speaks the calls of the protocol page. A query runs for as long as its statement says
//! (`run=MS`), ends 2 s after the last call for it, and has one row that names the query and the engine.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::http::{read_request, response, Request};
use super::record::Record;

/// Longest time for which a call for news is held.
const HOLD: Duration = Duration::from_millis(250);
/// A query that nobody asks for ends after this time.
const UNPOLLED: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(2);

/// A query that was started.
#[derive(Clone)]
pub struct Started {
    pub id: String,
    pub class: String,
    /// When its call had arrived whole, since the start of the case.
    pub at: Duration,
}

#[derive(Clone)]
struct Query {
    began: Instant,
    ends: Instant,
    asked: Instant,
    given_up: bool,
}

#[derive(Default)]
struct State {
    queries: HashMap<String, Query>,
    started: Vec<Started>,
    /// The process is down: its connections are closed.
    down: bool,
    connections: Vec<TcpStream>,
    /// Load report of the next good answer, in place of a true one.
    spoilt_report: Option<String>,
}

/// A running engine. Clones are the same engine.
#[derive(Clone)]
pub struct Engine {
    pub uid: String,
    pub address: String,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    /// Starts an engine on a free port.
    pub fn start(uid: &str, record: &Record) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        let engine = Engine { uid: uid.into(), address, state: Arc::default(), record: record.clone() };
        let of_thread = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = of_thread.clone();
                if engine.admit(&stream) {
                    std::thread::spawn(move || engine.serve(stream));
                }
            }
        });
        engine
    }

    /// All queries started so far.
    pub fn started(&self) -> Vec<Started> {
        self.state.lock().unwrap().started.clone()
    }

    /// Spoils the load report of the next good answer.
    pub fn spoil_next_report(&self, report: &str) {
        self.state.lock().unwrap().spoilt_report = Some(report.to_owned());
    }

    /// Stops the process: its queries and connections end. Returns the queries that were running.
    pub fn stop(&self) -> Vec<String> {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        let now = Instant::now();
        let running =
            |(id, query): (&String, &Query)| (query.ends > now && !query.given_up).then(|| id.clone());
        let running: Vec<String> = state.queries.iter().filter_map(running).collect();
        state.queries.clear();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.line(format!("{}: the process is stopped; it ran {} queries", self.uid, running.len()));
        running
    }

    /// Starts the process again.
    pub fn start_again(&self) {
        self.record.line(format!("{}: the process is started again", self.uid));
        self.state.lock().unwrap().down = false;
    }

    /// Keeps a new connection, unless the process is down.
    fn admit(&self, stream: &TcpStream) -> bool {
        let mut state = self.state.lock().unwrap();
        if !state.down {
            state.connections.extend(stream.try_clone());
        }
        !state.down
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut input) {
            let answer = self.answer(&request);
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let mut parts = request.path.split('/').skip(2);
        let (id, page) = (parts.next().unwrap_or("").to_owned(), parts.next());
        match (request.method.as_str(), page) {
            ("POST", _) => {
                let id = request.header("Request-Id").to_owned();
                self.begin(&id, request);
                self.news(&id)
            }
            ("GET", Some("0")) => self.news(&id),
            ("DELETE", _) => {
                self.give_up(&id);
                response("204 No Content", &[], b"")
            }
            ("PUT", _) => response("204 No Content", &[], b""),
            _ => response("500 Internal Server Error", &[], b""),
        }
    }

    fn begin(&self, id: &str, request: &Request) {
        let class = request.header("Kind").to_owned();
        let statement = String::from_utf8_lossy(&request.body).into_owned();
        let run =
            statement.split("run=").nth(1).and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next());
        let run = Duration::from_millis(run.and_then(|ms| ms.parse().ok()).unwrap_or(30));
        self.record.line(format!("{}: runs {class} {id}", self.uid));
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state
            .queries
            .insert(id.to_owned(), Query { began: now, ends: now + run, asked: now, given_up: false });
        state.started.push(Started { id: id.to_owned(), class, at: self.record.now() });
    }

    fn give_up(&self, id: &str) {
        if let Some(query) = self.state.lock().unwrap().queries.get_mut(id) {
            if query.ends > Instant::now() {
                query.given_up = true;
                self.record.line(format!("{}: gives up {id}", self.uid));
            }
        }
    }

    /// Waits for the end of a query, at most as long as a call is held.
    fn news(&self, id: &str) -> Vec<u8> {
        let until = Instant::now() + HOLD;
        loop {
            let now = Instant::now();
            {
                let mut state = self.state.lock().unwrap();
                let running = state.queries.values().filter(|q| q.ends > now && !q.given_up).count();
                let load = [("Load-Report", format!("inflight:{running};util:{:.2}", running as f64 / 24.0))];
                let Some(query) = state.queries.get_mut(id) else {
                    return response("500 Internal Server Error", &load, b"");
                };
                if query.given_up || now > query.asked + UNPOLLED && query.ends > query.asked + UNPOLLED {
                    return response("500 Internal Server Error", &load, b"");
                }
                query.asked = now;
                if now >= query.ends {
                    let [load] = load;
                    let load = match state.spoilt_report.take() {
                        Some(report) => {
                            self.record
                                .line(format!("{}: answers {id} with `Load-Report: {report}`", self.uid));
                            ("Load-Report", report)
                        }
                        None => load,
                    };
                    let row = format!("{id}\t{}\tok\n", self.uid);
                    return response("200 OK", &[load, ("Chunks", "1".into())], row.as_bytes());
                }
                if now >= until {
                    let share = (now - query.began).as_secs_f64() / (query.ends - query.began).as_secs_f64();
                    let [load] = load;
                    let note = [load, ("Outcome", "frac".into()), ("Reading", format!("{share:.2}"))];
                    return response("202 Accepted", &note, b"");
                }
            }
            std::thread::sleep(STEP);
        }
    }
}
