//! The admin API for operators: HTTP/1.1 with one request per connection.
//!
//! | request | effect |
//! | --- | --- |
//! | `GET /ready` | returns whether this process is ready |
//! | `POST /engines/disable`, body `ID` | excludes engine `ID` |
//! | `POST /engines/enable`, body `ID` | restores engine `ID` |
//! | `POST /fleet/engines/disable`, body `ID` | excludes engine `ID` in the whole fleet |
//! | `POST /fleet/engines/enable`, body `ID` | restores engine `ID` in the whole fleet |
//! | `GET /fleet` | returns the state of the fleet's routers |
//! | `GET /fleet/verdicts` | returns the engines' health as the fleet sees it |
//! | `POST /drain` | drains the router |
//! | `POST /undrain` | ends the drain |

use std::collections::BTreeMap;

use log::{debug, info};

use marljunction_net::Net;

/// Maximum size of a request's head.
pub const MAX_HEAD_BYTES: usize = 2 << 10;
/// Maximum size of a request's body, which holds an engine's id.
pub const MAX_BODY_BYTES: usize = 256;
/// Time within which a request must be complete; later the response is 408.
pub const REQUEST_TIMEOUT_NS: u64 = 2_000_000_000;
/// File descriptors of the process per connection that the admin API accepts.
pub const DESCRIPTORS_PER_CONNECTION: usize = 32;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// `GET /ready`.
    Ready,
    /// `POST /engines/disable` with the engine's id.
    Disable(String),
    /// `POST /engines/enable` with the engine's id.
    Enable(String),
    /// `POST /fleet/engines/disable` with the engine's id.
    DisableForAll(String),
    /// `POST /fleet/engines/enable` with the engine's id.
    EnableForAll(String),
    /// `GET /fleet`.
    Fleet,
    /// `GET /fleet/verdicts`.
    EngineHealth,
    /// `POST /drain`.
    Drain,
    /// `POST /undrain`.
    Undrain,
}

impl AdminRequest {
    /// Returns the name used in counters and log lines.
    pub fn name(&self) -> &'static str {
        match self {
            AdminRequest::Ready => "ready",
            AdminRequest::Disable(_) => "disable",
            AdminRequest::Enable(_) => "enable",
            AdminRequest::DisableForAll(_) => "disable_for_all",
            AdminRequest::EnableForAll(_) => "enable_for_all",
            AdminRequest::Fleet => "fleet",
            AdminRequest::EngineHealth => "verdicts",
            AdminRequest::Drain => "drain",
            AdminRequest::Undrain => "undrain",
        }
    }
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    /// The status code.
    pub status: u16,
    /// The body, one line without its end.
    pub text: String,
}

impl AdminResponse {
    /// Creates a response.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        AdminResponse { status, text: text.into() }
    }

    /// Encodes the response with `Connection: close`.
    pub fn to_bytes(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "",
        };
        let allow = match self.status {
            405 => "Allow: GET, POST\r\n",
            _ => "",
        };
        let body = format!("{}\n", self.text);
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{allow}Connection: close\r\n\r\n{body}",
            self.status,
            body.len()
        )
        .into_bytes()
    }
}

/// Parses the request at the start of `input`. Returns `None` if it is incomplete.
///
/// # Errors
/// Returns the response to send if the request is invalid.
pub fn parse_request(input: &[u8]) -> Result<Option<AdminRequest>, AdminResponse> {
    let mut headers = [httparse::EMPTY_HEADER; 24];
    let mut parsed_head = httparse::Request::new(&mut headers);
    let size = match parsed_head.parse(input) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD_BYTES => size,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) => return Err(AdminResponse::new(431, "the head is too long")),
        Err(httparse::Error::TooManyHeaders) => return Err(AdminResponse::new(431, "too many headers")),
        Err(e) => return Err(AdminResponse::new(400, format!("not a call of HTTP/1.1: {e}"))),
    };
    let mut length = None;
    for header in parsed_head.headers.iter() {
        let value = std::str::from_utf8(header.value).map(str::trim).unwrap_or("\u{0}");
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let parsed = value.parse::<usize>().ok().filter(|_| digits);
            let Some(parsed) = parsed else { return Err(AdminResponse::new(400, "a bad Content-Length")) };
            if length.replace(parsed).is_some_and(|previous| previous != parsed) {
                return Err(AdminResponse::new(400, "two lengths"));
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(AdminResponse::new(411, "a body needs a Content-Length"));
        }
    }
    let length = length.unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return Err(AdminResponse::new(413, "the body is too long"));
    }
    if input.len() < size + length {
        return Ok(None);
    }
    let body = std::str::from_utf8(&input[size..size + length]).map(str::trim);
    let Ok(body) = body else { return Err(AdminResponse::new(400, "the body is not text")) };
    let path = parsed_head.path.unwrap_or("");
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    let method = parsed_head.method.unwrap_or("");
    // The engine exclusions check the id.
    let engine = || match body {
        "" => Err(AdminResponse::new(400, "the body names no engine")),
        id => Ok(id.to_owned()),
    };
    let request = match (method, path) {
        ("GET" | "HEAD", "/ready") => AdminRequest::Ready,
        ("POST", "/engines/disable") => AdminRequest::Disable(engine()?),
        ("POST", "/engines/enable") => AdminRequest::Enable(engine()?),
        ("POST", "/fleet/engines/disable") => AdminRequest::DisableForAll(engine()?),
        ("POST", "/fleet/engines/enable") => AdminRequest::EnableForAll(engine()?),
        ("GET", "/fleet") => AdminRequest::Fleet,
        ("GET", "/fleet/verdicts") => AdminRequest::EngineHealth,
        ("POST", "/drain") => AdminRequest::Drain,
        ("POST", "/undrain") => AdminRequest::Undrain,
        (
            _,
            "/ready"
            | "/fleet"
            | "/fleet/verdicts"
            | "/fleet/engines/disable"
            | "/fleet/engines/enable"
            | "/engines/disable"
            | "/engines/enable"
            | "/drain"
            | "/undrain",
        ) => {
            return Err(AdminResponse::new(405, format!("{method} is not for {path}")));
        }
        _ => return Err(AdminResponse::new(404, format!("no call {path}"))),
    };
    Ok(Some(request))
}

/// Counters of the admin API since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdminCounters {
    /// Requests answered and those answered with a 2xx status, by name.
    pub requests: BTreeMap<&'static str, (u64, u64)>,
    /// Invalid requests.
    pub malformed: u64,
    /// Connections that timed out or ended before their request was complete.
    pub incomplete: u64,
    /// Connections closed at once because the limit was reached.
    pub rejected: u64,
}

impl AdminCounters {
    /// Returns the counters as `name=value` fields of a log line.
    pub fn line(&self) -> String {
        let mut fields: Vec<String> = self
            .requests
            .iter()
            .map(|(name, (all, succeeded))| format!("operator_{name}={all} operator_{name}_yes={succeeded}"))
            .collect();
        fields.push(format!("operator_bad={} operator_silent={}", self.malformed, self.incomplete));
        fields.push(format!("operator_turned_away={}", self.rejected));
        fields.join(" ")
    }
}

struct Connection {
    /// When it was accepted (ns).
    since_ns: u64,
    /// Its request is complete and not yet answered.
    awaits_response: bool,
}

/// The server of the admin API.
pub struct AdminServer {
    connections: BTreeMap<u64, Connection>,
    max_connections: usize,
    /// The server's counters.
    pub counters: AdminCounters,
}

impl AdminServer {
    /// Creates a server for a process with so many file descriptors. It accepts at least two
    /// connections.
    pub fn new(sockets: usize) -> Self {
        let max_connections = (sockets / DESCRIPTORS_PER_CONNECTION).max(2);
        AdminServer { connections: BTreeMap::new(), max_connections, counters: AdminCounters::default() }
    }

    /// Returns whether the server accepts one more connection.
    pub fn has_capacity(&self) -> bool {
        self.connections.len() < self.max_connections
    }

    /// Adds an accepted connection, or closes it if the limit is reached.
    pub fn accept(&mut self, now: u64, net: &mut Net, conn: u64) {
        if !self.has_capacity() {
            self.counters.rejected += 1;
            debug!("admin API: connection closed, since the limit on connections is reached");
            return net.close(conn);
        }
        self.connections.insert(conn, Connection { since_ns: now, awaits_response: false });
    }

    /// Reads a connection. Returns its request once it is complete; an invalid one is answered
    /// here.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) -> Option<AdminRequest> {
        let connection_status = net.service(conn);
        let connection = self.connections.get_mut(&conn)?;
        if connection.awaits_response {
            net.consume(conn, usize::MAX);
            return None;
        }
        match parse_request(net.input(conn)) {
            Ok(Some(request)) => {
                // Further input must not cause a pending request to be executed again.
                connection.awaits_response = true;
                Some(request)
            }
            Ok(None) if connection_status.ended.is_some() => {
                self.counters.incomplete += 1;
                self.end(now, net, conn, None);
                None
            }
            Ok(None) => None,
            Err(response) => {
                self.counters.malformed += 1;
                debug!("admin API: invalid request: {} {}", response.status, response.text);
                self.end(now, net, conn, Some(response));
                None
            }
        }
    }

    /// Answers a request that [`AdminServer::ready`] returned.
    pub fn answer(
        &mut self,
        now: u64,
        net: &mut Net,
        conn: u64,
        request: &AdminRequest,
        response: AdminResponse,
    ) {
        let counts = self.counters.requests.entry(request.name()).or_default();
        counts.0 += 1;
        counts.1 += u64::from((200..300).contains(&response.status));
        if !matches!(request, AdminRequest::Ready | AdminRequest::Fleet | AdminRequest::EngineHealth) {
            info!("admin API: {} {:?}: {} {}", request.name(), request, response.status, response.text);
        }
        self.end(now, net, conn, Some(response));
    }

    fn end(&mut self, now: u64, net: &mut Net, conn: u64, response: Option<AdminResponse>) {
        self.connections.remove(&conn);
        match response {
            Some(response) if net.send(conn, &response.to_bytes()) => net.close_after_flush(now, conn),
            _ => net.close(conn),
        }
    }

    /// Closes connections whose request is incomplete after [`REQUEST_TIMEOUT_NS`]. A complete one
    /// is kept until [`AdminServer::answer`].
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        let timed_out: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| !c.awaits_response && now >= c.since_ns + REQUEST_TIMEOUT_NS)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in timed_out {
            self.counters.incomplete += 1;
            self.end(now, net, conn, Some(AdminResponse::new(408, "no whole call in time")));
        }
    }
}
