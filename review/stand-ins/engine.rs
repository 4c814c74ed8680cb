//! A stand-in engine that follows the page "Query routers to engines": HTTP/1.1, one call at a time
//! on a connection. A query runs until it ends, until it is deleted, or until nobody has asked for
//! it for 2 s. Its time is given in its statement, as in `/* run 5000 ms */`.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{read_some, take_request, Request};
use crate::record::Record;

/// A query that nobody has asked for in this time ends.
const UNASKED: Duration = Duration::from_secs(2);
/// Longest time for which a call for news is held.
const HELD: Duration = Duration::from_millis(250);
/// Time after which the second copy of an answer follows it.
const COPY_LATE: Duration = Duration::from_millis(5);
/// Time for the answer to a call that finds its query ended.
const REPEATED_ANSWER: Duration = Duration::from_millis(30);
/// Interval at which a connection looks for input and for what the case has set.
const STEP: Duration = Duration::from_millis(5);
/// A connection that has not come up by then finds the listener's queue full.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);
/// Most connections that fill the listener's queue.
const MAX_FILLING: usize = 600;
/// Time for which engines of one group drop a repeat of an idempotency key.
const DEDUPLICATED: Duration = Duration::from_secs(12);

/// The idempotency keys that a group of engines has seen, with the time of the first.
pub type SeenKeys = Arc<Mutex<HashMap<String, Instant>>>;

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It ran to its end.
    Done,
    /// It was deleted.
    Deleted,
    /// Nobody asked for it in 2 s.
    Unasked,
}

/// One run of a query.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub id: String,
    pub key: Option<String>,
    pub from: Instant,
    /// Time and cause of its end; `None` while it runs.
    pub end: Option<(Instant, End)>,
    time: Duration,
    asked: Instant,
}

impl Run {
    /// Ends the run if its time or the time without a call is over.
    fn settle(&mut self, now: Instant) {
        let (done, unasked) = (self.from + self.time, self.asked + UNASKED);
        if self.end.is_some() || now < done.min(unasked) {
            return;
        }
        self.end = Some(if done <= unasked { (done, End::Done) } else { (unasked, End::Unasked) });
    }
}

/// What a case can set on an engine.
#[derive(Default)]
pub struct Faults {
    /// The next call that arrives is not read, and its connection is reset.
    pub reset_next_call: bool,
    /// Nothing passes: connections stay open and silent, and new ones do not come up.
    cut: bool,
    /// One in so many answers 202 is followed by a second copy; 0 for none.
    pub copied_one_in: u32,
    /// Answers 202 so far.
    unfinished_answers: u32,
}

struct Shared {
    name: String,
    record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    faults: Mutex<Faults>,
    listener: Mutex<Option<TcpListener>>,
    /// Connections that fill the listener's queue while the engine is cut off.
    filling: Mutex<Vec<TcpStream>>,
    seen: SeenKeys,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Reads `/* run N ms */` from a statement.
fn run_time(statement: &str) -> Duration {
    let ms = statement.split("/* run ").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    Duration::from_millis(ms.unwrap_or(20))
}

impl Engine {
    /// Starts an engine without a group on a free port.
    pub fn start(name: &str, record: &Arc<Record>) -> std::io::Result<Engine> {
        Engine::start_in_group(name, SeenKeys::default(), record)
    }

    /// Starts an engine on a free port. `seen` is shared by the engines of its group.
    pub fn start_in_group(name: &str, seen: SeenKeys, record: &Arc<Record>) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            record: record.clone(),
            runs: Mutex::default(),
            faults: Mutex::default(),
            listener: Mutex::new(Some(listener)),
            filling: Mutex::default(),
            seen,
        });
        let engine = Engine { shared, address };
        let accepting = engine.clone();
        std::thread::spawn(move || accepting.accept());
        Ok(engine)
    }

    /// Name on the engine list.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Cuts the engine off: nothing passes in either direction. Its queries run on.
    pub fn cut(&self) {
        self.set(|faults| faults.cut = true);
        // A full queue lets no further connection come up.
        let connect = || TcpStream::connect_timeout(&self.address, FILL_TIMEOUT).ok();
        *lock(&self.shared.filling) = std::iter::from_fn(connect).take(MAX_FILLING).collect();
    }

    /// Ends the cut.
    pub fn mend(&self) {
        lock(&self.shared.filling).clear();
        self.set(|faults| faults.cut = false);
    }

    /// Closes the listener: new connections are refused, open ones stay.
    pub fn refuse_connections(&self) {
        *lock(&self.shared.listener) = None;
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        let now = Instant::now();
        let mut runs = lock(&self.shared.runs);
        runs.iter_mut().for_each(|run| run.settle(now));
        runs.clone()
    }

    fn line(&self, text: &str) {
        self.shared.record.line(&format!("engine {}: {text}", self.shared.name));
    }

    fn is_cut(&self) -> bool {
        lock(&self.shared.faults).cut
    }

    fn accept(&self) {
        loop {
            let accepted = match lock(&self.shared.listener).as_ref() {
                None => return,
                Some(_) if self.is_cut() => None,
                Some(listener) => listener.accept().ok(),
            };
            match accepted {
                None => std::thread::sleep(STEP),
                Some((stream, _)) => {
                    let engine = self.clone();
                    std::thread::spawn(move || engine.serve(stream));
                }
            }
        }
    }

    /// Serves one connection.
    fn serve(&self, mut stream: TcpStream) {
        let configured = stream.set_nonblocking(false).is_ok()
            && stream.set_nodelay(true).is_ok()
            && stream.set_read_timeout(Some(STEP)).is_ok();
        let mut input = Vec::new();
        while configured {
            if self.is_cut() {
                std::thread::sleep(STEP);
                continue;
            }
            if self.resets(&stream) {
                // The call was not read, so closing resets the connection.
                return;
            }
            if !read_some(&mut stream, &mut input) {
                return;
            }
            let Some(request) = take_request(&mut input) else { continue };
            let Some(response) = self.handle(&request) else { return };
            while self.is_cut() {
                std::thread::sleep(STEP);
            }
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
            if self.copies(&response) {
                std::thread::sleep(COPY_LATE);
                self.line("sends a second copy of an answer 202");
                if stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
        }
    }

    /// Whether the connection is to be reset: a call has arrived, and the case has asked for that.
    fn resets(&self, stream: &TcpStream) -> bool {
        let mut faults = lock(&self.shared.faults);
        let reset = faults.reset_next_call && stream.peek(&mut [0; 1]).is_ok_and(|n| n > 0);
        if reset {
            faults.reset_next_call = false;
            self.line("resets the connection of a call that it has not read");
        }
        reset
    }

    /// Whether an answer is to be followed by a second copy.
    fn copies(&self, response: &str) -> bool {
        let mut faults = lock(&self.shared.faults);
        if faults.copied_one_in == 0 || !response.starts_with("HTTP/1.1 202") {
            return false;
        }
        faults.unfinished_answers += 1;
        faults.unfinished_answers % faults.copied_one_in == 0
    }

    fn handle(&self, request: &Request) -> Option<String> {
        let mut path = request.path.trim_start_matches("/o").split('/').skip(1);
        let (id, page) = (path.next().unwrap_or("").to_owned(), path.next());
        match (request.method.as_str(), page) {
            ("POST", _) => {
                let id = request.header("Request-Id")?.to_owned();
                self.begin(&id, request);
                Some(self.news(&id))
            }
            ("GET", Some("0")) => Some(self.news(&id)),
            ("PUT", _) => Some("HTTP/1.1 204 No Content\r\n\r\n".into()),
            ("DELETE", _) => {
                self.line(&format!("DELETE {id}"));
                let now = Instant::now();
                for run in lock(&self.shared.runs).iter_mut().filter(|run| run.id == id) {
                    run.settle(now);
                    run.end.get_or_insert((now, End::Deleted));
                }
                Some("HTTP/1.1 204 No Content\r\n\r\n".into())
            }
            _ => Some(self.response("500 Error", "", "")),
        }
    }

    /// Starts the query of a POST, unless its group has seen its key.
    fn begin(&self, id: &str, request: &Request) {
        let now = Instant::now();
        let key = request.header("Once-Key").map(str::to_owned);
        let class = request.header("Kind").unwrap_or("").to_owned();
        let first = key.as_ref().and_then(|key| {
            let mut seen = lock(&self.shared.seen);
            seen.retain(|_, at| now < *at + DEDUPLICATED);
            seen.insert(key.clone(), now)
        });
        let time = if first.is_some() { Duration::ZERO } else { run_time(&request.body) };
        let repeat = if first.is_some() { ", dropped as a repeat" } else { "" };
        let keyed = key.as_ref().map_or(String::new(), |key| format!(" with key {key}"));
        self.line(&format!("POST {class} {id}{keyed}{repeat}"));
        if first.is_none() {
            let (engine, id) = (self.shared.name.clone(), id.to_owned());
            lock(&self.shared.runs).push(Run { engine, id, key, from: now, end: None, time, asked: now });
        }
    }

    /// Answers a call for the news of a query: its end, or 202 after 250 ms.
    fn news(&self, id: &str) -> String {
        let until = Instant::now() + HELD;
        let mut has_ended = false;
        if let Some(run) = lock(&self.shared.runs).iter_mut().rev().find(|run| run.id == id) {
            run.settle(Instant::now());
            run.asked = Instant::now();
            has_ended = run.end.is_some();
        }
        if has_ended {
            std::thread::sleep(REPEATED_ANSWER);
        }
        loop {
            let run = self.runs().into_iter().rev().find(|run| run.id == id);
            match run.map(|run| run.end) {
                Some(Some((_, End::Done))) => {
                    self.line(&format!("{id} ran to its end, answers 200"));
                    return self.response("200 OK", "Chunks: 1\r\n", &format!("{id}\tdone\t1\n"));
                }
                None if lock(&self.shared.seen).is_empty() => return self.response("500 Error", "", ""),
                // A repeat of a key: its first run has ended, or ends elsewhere in the group.
                None => return self.response("200 OK", "Chunks: 1\r\n", &format!("{id}\trepeat\t1\n")),
                Some(Some(_)) => return self.response("500 Error", "", ""),
                Some(None) if Instant::now() >= until => return self.response("202 Accepted", "", ""),
                Some(None) => std::thread::sleep(STEP),
            }
        }
    }

    fn response(&self, status: &str, headers: &str, body: &str) -> String {
        let running = self.runs().iter().filter(|run| run.end.is_none()).count();
        let report = format!("Load-Report: inflight:{running};util:{:.2}\r\n", 0.05 * running as f64);
        format!("HTTP/1.1 {status}\r\n{report}{headers}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}
