//! Stand-ins for the two sources of the engine list: the coordinator's stream of numbered events,
//! and the two queries of Consul's catalog and health API.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{read_some, take_request};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[derive(Default)]
struct Stream {
    /// Event numbers and their text.
    events: Vec<(u64, String)>,
    subscribers: Vec<TcpStream>,
}

/// The coordinator.
#[derive(Clone)]
pub struct Coordinator {
    stream: Arc<Mutex<Stream>>,
    pub address: SocketAddr,
}

impl Coordinator {
    /// Starts a coordinator on a free port.
    pub fn start() -> std::io::Result<Coordinator> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let coordinator = Coordinator { stream: Arc::default(), address: listener.local_addr()? };
        let accepting = coordinator.clone();
        std::thread::spawn(move || listener.incoming().flatten().for_each(|call| accepting.subscribe(call)));
        let commenting = coordinator.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_secs(1));
            commenting.send(":\n\n");
        });
        Ok(coordinator)
    }

    fn subscribe(&self, mut call: TcpStream) {
        let mut input = Vec::new();
        let request = loop {
            if let Some(request) = take_request(&mut input) {
                break request;
            }
            if !read_some(&mut call, &mut input) {
                return;
            }
        };
        let last: u64 = request.header("Last-Event-ID").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut stream = lock(&self.stream);
        let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n".to_owned();
        stream.events.iter().filter(|(n, _)| *n > last).for_each(|(_, event)| text += event);
        if call.write_all(text.as_bytes()).is_ok() {
            stream.subscribers.push(call);
        }
    }

    fn send(&self, text: &str) {
        lock(&self.stream).subscribers.retain_mut(|call| call.write_all(text.as_bytes()).is_ok());
    }

    /// Publishes an event. `targets` are entries of engines as JSON.
    pub fn publish(&self, number: u64, all: bool, targets: &[String]) {
        let data = event(number, all, targets);
        let text = format!("id: {number}\ndata: {data}\n\n");
        lock(&self.stream).events.push((number, text.clone()));
        self.send(&text);
    }
}

/// An event of the coordinator as JSON.
pub fn event(number: u64, all: bool, targets: &[String]) -> String {
    let targets = targets.join(",");
    format!(r#"{{"index":{number},"endpoints":{{"rev":{number},"all":{all},"targets":[{targets}]}}}}"#)
}

/// An engine's entry in an event as JSON.
pub fn entry(name: &str, address: SocketAddr, group: u32, state: &str) -> String {
    format!(
        r#"{{"uid":"{name}","endpoint":"{address}","az":"bldg-a","model":"std-12","pod_group":{group},"state":"{state}","capacity_hint":1,"boot_ms":0}}"#
    )
}

/// Consul, with a fixed list: names, addresses and groups of the engines, all of them healthy.
pub fn start_consul(engines: Vec<(String, SocketAddr, u32)>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let engines = Arc::new(engines);
    std::thread::spawn(move || {
        for call in listener.incoming().flatten() {
            let engines = engines.clone();
            std::thread::spawn(move || serve_consul(call, &engines));
        }
    });
    Ok(address)
}

/// Answers the queries of one connection. A blocking query is held until its wait is over.
fn serve_consul(mut call: TcpStream, engines: &[(String, SocketAddr, u32)]) {
    let mut input = Vec::new();
    loop {
        let Some(request) = take_request(&mut input) else {
            if !read_some(&mut call, &mut input) {
                return;
            }
            continue;
        };
        if !request.path.contains("index=0") {
            hold(Duration::from_secs(10));
        }
        let entries: Vec<String> = engines
            .iter()
            .map(|(name, at, group)| match request.path.starts_with("/v1/health") {
                true => format!(
                    r#"{{"Node":{{"Node":"{name}"}},"Service":{{"ID":"{name}"}},"Checks":[{{"CheckID":"service:{name}","Status":"passing"}}]}}"#
                ),
                false => format!(
                    r#"{{"Node":"{name}","Address":"{ip}","ServiceID":"{name}","ServiceName":"engine","ServiceAddress":"{ip}","ServicePort":{port},"ServiceMeta":{{"az":"bldg-a","model":"std-12","pod_group":"{group}","boot_ms":"0"}}}}"#,
                    ip = at.ip(),
                    port = at.port()
                ),
            })
            .collect();
        let body = format!("[{}]", entries.join(","));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: 7\r\n";
        let response = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        if call.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn hold(time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }
}
