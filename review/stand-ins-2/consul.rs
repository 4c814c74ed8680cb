//! A stand-in that answers blocking queries for a service like Consul's catalog and health API: a query with the
//! current index is held until something changes, or for as long as it asks.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::engine::Engine;
use super::http::{read_request, response};
use super::record::Record;

const STEP: Duration = Duration::from_millis(2);
/// How much later the health query is answered than the catalog query, which is told first.
const HEALTH_DELAY: Duration = Duration::from_millis(20);

struct State {
    index: u64,
    changed: Instant,
    /// Id and address of each registered engine.
    engines: Vec<(String, String)>,
    /// When both queries were answered without an engine.
    told: Vec<(String, Duration)>,
}

/// A running stand-in. Clones are the same one.
#[derive(Clone)]
pub struct Consul {
    pub address: String,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Consul {
    /// Starts with these engines registered and healthy.
    pub fn start(engines: &[Engine], record: &Record) -> Consul {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        let engines = engines.iter().map(|engine| (engine.uid.clone(), engine.address.clone())).collect();
        let state = State { index: 10, changed: Instant::now(), engines, told: Vec::new() };
        let consul = Consul { address, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let of_thread = consul.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let consul = of_thread.clone();
                std::thread::spawn(move || consul.serve(stream));
            }
        });
        consul
    }

    /// Removes an engine from the catalog, with its checks.
    pub fn deregister(&self, uid: &str) {
        self.record.line(format!("consul: {uid} is deregistered"));
        let mut state = self.state.lock().unwrap();
        state.engines.retain(|(id, _)| id != uid);
        (state.index, state.changed) = (state.index + 1, Instant::now());
        state.told.push((uid.to_owned(), Duration::MAX));
    }

    /// When the health query, the later one, was answered without an engine.
    pub fn told(&self, uid: &str) -> Option<Duration> {
        let state = self.state.lock().unwrap();
        state.told.iter().find(|(id, at)| id == uid && *at != Duration::MAX).map(|(_, at)| *at)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut input) {
            let value = |name: &str| {
                let rest = request.path.split_once(name).map_or("", |(_, rest)| rest);
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
            };
            let health = request.path.starts_with("/v1/health/");
            let answer = self.answer(health, value("index="), Duration::from_secs(value("wait=")));
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, health: bool, index: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                let delay = if health { HEALTH_DELAY } else { Duration::ZERO };
                let is_new = state.index != index && state.changed.elapsed() >= delay;
                if is_new || Instant::now() >= until {
                    let names: Vec<&str> = state.engines.iter().map(|(id, _)| id.as_str()).collect();
                    let query = if health { "health" } else { "catalog" };
                    self.record.line(format!("consul: answers the {query} query: {}", names.join(" ")));
                    let entries: Vec<String> = state.engines.iter().map(|engine| entry(health, engine)).collect();
                    let number = state.index;
                    if health {
                        let now = self.record.now();
                        state.told.iter_mut().for_each(|(_, at)| *at = (*at).min(now));
                    }
                    let headers = [("X-Consul-Index", number.to_string()), ("Content-Type", "application/json".into())];
                    return response("200 OK", &headers, format!("[{}]", entries.join(",")).as_bytes());
                }
            }
            std::thread::sleep(STEP);
        }
    }
}

fn entry(health: bool, (id, address): &(String, String)) -> String {
    let (ip, port) = address.split_once(':').expect("an address with a port");
    match health {
        true => format!(
            r#"{{"Node":{{"Node":"m-{id}","Address":"{ip}"}},"Service":{{"ID":"{id}","Service":"engine","Address":"{ip}","Port":{port}}},"Checks":[{{"CheckID":"serfHealth","Status":"passing"}},{{"CheckID":"service:{id}","Status":"passing"}}]}}"#
        ),
        false => format!(
            r#"{{"Node":"m-{id}","Address":"{ip}","ServiceID":"{id}","ServiceName":"engine","ServiceAddress":"{ip}","ServicePort":{port},"ServiceMeta":{{"az":"bldg-a","model":"std-12","pod_group":"1"}}}}"#
        ),
    }
}
