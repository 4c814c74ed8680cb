//! The front for clients that speak PostgreSQL, with extended queries. Each `Execute` of a routed statement is
//! one request of the core; the messages behind it wait in the connection's input until it is answered.

pub mod codec;
pub mod session;

use std::collections::HashMap;

use log::debug;

use self::codec::{fault, read_message, read_startup, Bind, ClientMessage, Reply, SqlFault, TEXT};
use self::session::{is_text, Held, Kind, Settings};
use super::{Directory, ANSWER_MARGIN_NS};
use marljunction_control::interface::{ClassId, RequestId};
use marljunction_core::end_reason::EndReason;
use marljunction_core::statement::Statement;
use marljunction_core::{Answer, Client, ClientRequest, Column, Router, Row};
use marljunction_fair_queue::settings::ClientKey;
use marljunction_net::Net;
use std::net::IpAddr;

/// The version that clients are told: what the protocol's present drivers expect.
pub const SERVER_VERSION: &str = "15.0";
/// Time in which a client must have started its session, and in which a message must have come whole (ns).
const START_NS: u64 = 2_000_000_000;
/// What a session may hold at most: its statements, its suspended portals and its buffers (megabytes).
const SESSION_MB: f64 = 1.6;
/// Part of the machine's memory that all sessions may hold (share).
const SESSIONS_PART: f64 = 0.5;
/// Portals of a session that may hold rows at one time (count).
const SUSPENDED_MOST: usize = 4;

/// How the front is set up.
#[derive(Clone, Debug)]
pub struct PostgresSetup {
    /// Class of requests whose session names none.
    pub class: ClassId,
    /// Names of a result's columns.
    pub columns: Vec<String>,
    /// Engines take no parameters but in the text.
    pub inlines: bool,
    /// Sessions that may be open.
    pub sessions_most: usize,
}

/// What a session waits for.
struct Running {
    request: RequestId,
    call: u64,
    /// The portal with its row limit; absent for a simple query.
    portal: Option<(String, u32)>,
    kind: Kind,
    /// The client is still to be told the columns.
    describes: bool,
}

#[derive(Default)]
struct Session {
    /// The number of its address, and its user.
    peer: u64,
    user: Option<String>,
    started: bool,
    /// When its client connected.
    since_ns: u64,
    /// When it last sent a message or was answered.
    busy_ns: u64,
    key: i32,
    settings: Settings,
    start: Settings,
    held: Held,
    running: Option<Running>,
    /// Since when a message has been coming.
    partial_ns: Option<u64>,
    /// After an error: everything up to `Sync` is discarded.
    skipping: bool,
    suspended: usize,
    /// A portal whose columns the engine is to tell, if its `Execute` comes next.
    describing: Option<String>,
    calls: u64,
}

/// The front.
pub struct PostgresFront {
    directory: Directory,
    setup: PostgresSetup,
    sessions: HashMap<u64, Session>,
    seed: u64,
}

/// The one place where an answer that is not served becomes an SQLSTATE. A refusal tells when to come back.
fn sql_fault(answer: &Answer) -> SqlFault {
    let (end_reason, backoff) = match answer {
        Answer::Refused { after, backoff_ms, .. } => (*after, Some(*backoff_ms)),
        Answer::Failed(after, _) => (*after, None),
        Answer::Served(_) => (Some(EndReason::Served), None),
    };
    let told = match answer {
        Answer::Refused { fault, .. } | Answer::Failed(_, fault) => fault.clone(),
        Answer::Served(_) => None,
    };
    let (state, message) = match (end_reason, told) {
        (Some(EndReason::EngineError), Some(told)) => (told.state, told.message),
        (Some(EndReason::TimedOut), _) => {
            ("57014".into(), "canceling statement due to statement timeout".into())
        }
        (Some(EndReason::Forgotten), _) => ("57014".into(), "canceling statement due to user request".into()),
        (Some(EndReason::Cut), _) => {
            ("08007".into(), "the engine was lost: the statement may have run".to_owned())
        }
        (Some(EndReason::GivenUp | EndReason::Abandoned | EndReason::Withdrawn), _) => {
            ("57014".into(), "the statement took too long and was given up".into())
        }
        (Some(EndReason::EngineError), None) => ("58000".into(), "the engine reported an error".into()),
        (Some(EndReason::Garbled), _) => ("08P01".into(), "the engine's answer cannot be read".into()),
        (Some(EndReason::Refused | EndReason::Unreachable | EndReason::Reset | EndReason::Unsent), _) => {
            ("57P03".into(), "no engine could be reached: the statement never ran".into())
        }
        (Some(EndReason::Full | EndReason::Over | EndReason::NoDescriptor | EndReason::Paced), _)
        | (None, _) => ("53000".into(), "no engine can run the statement in time".into()),
        (Some(other), _) => ("58000".into(), format!("the statement ended: {other:?}")),
    };
    let hint = backoff.map_or_else(String::new, |ms| format!("retry after {ms} ms"));
    SqlFault { hint, ..fault(&state, message) }
}

impl PostgresSetup {
    /// Fewer sessions where the machine's memory could not hold all that they may.
    pub fn within(self, memory_mb: f64) -> Self {
        let most = ((memory_mb * SESSIONS_PART / SESSION_MB) as usize).max(1);
        if self.sessions_most > most {
            log::warn!("{most} PostgreSQL sessions at most, for the limit on memory");
        }
        PostgresSetup { sessions_most: self.sessions_most.min(most), ..self }
    }
}

impl PostgresFront {
    /// No sessions yet.
    pub fn new(directory: Directory, setup: PostgresSetup, seed: u64) -> Self {
        PostgresFront { directory, setup, sessions: HashMap::new(), seed }
    }

    /// A client has connected.
    pub fn accept(&mut self, now: u64, conn: u64, peer: IpAddr) {
        let peer = self.directory.peer(peer);
        self.sessions.insert(conn, Session { peer, since_ns: now, busy_ns: now, ..Session::default() });
    }

    /// Sessions that are open.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    fn random(&mut self) -> u64 {
        // Weyl's sequence through a mixer: numbers to tell requests apart, and keys as hard to guess as the seed.
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// A session is over; what runs for it is given up.
    pub fn close(&mut self, net: &mut Net, router: &mut Router, conn: u64, end_reason: EndReason) {
        self.forget(router, conn, end_reason);
        net.close(conn);
    }

    fn forget(&mut self, router: &mut Router, conn: u64, end_reason: EndReason) {
        if let Some(session) = self.sessions.remove(&conn) {
            if let Some(running) = session.running {
                router.client_left(running.request, EndReason::ClientGone);
            }
            router.counters.ended(end_reason);
        }
    }

    /// Guards against connections that never start a session, or send half a message: each holds a descriptor.
    pub fn tick(&mut self, now: u64, net: &mut Net, router: &mut Router) {
        let past = |since: u64| now > since + START_NS;
        let late = |s: &Session| {
            !s.started && past(s.since_ns) || s.running.is_none() && s.partial_ns.is_some_and(past)
        };
        let mut over: Vec<u64> = self.sessions.iter().filter(|(_, s)| late(s)).map(|(c, _)| *c).collect();
        over.sort_unstable();
        for conn in over {
            if self.is_still(now, net, router, conn, late) {
                router.counters.rejected += 1;
                self.close(net, router, conn, EndReason::Silent);
            }
        }
    }

    /// Looks at a session once more that is about to be closed for what it does not do. Guards against closing it on a statement
    /// that has come since it was last looked at.
    fn is_still(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        conn: u64,
        so: impl Fn(&Session) -> bool,
    ) -> bool {
        self.ready(now, net, router, conn);
        self.sessions.get(&conn).is_some_and(so)
    }

    /// Ends the sessions that have nothing running, half-sent, unread, unwritten or half-fetched, where `closes` says so of
    /// the time when each was last busy: a drained or stopping router sends its clients elsewhere so. Each is told
    /// `57P01` first, as PostgreSQL tells its sessions when it shuts down.
    pub fn close_quiet(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        closes: impl Fn(u64) -> bool,
    ) {
        let quiet = |s: &Session| {
            let rests = s.running.is_none() && s.partial_ns.is_none() && !s.skipping && s.suspended == 0;
            s.started && rests && closes(s.busy_ns)
        };
        let mut over: Vec<u64> = self.sessions.iter().filter(|(_, s)| quiet(s)).map(|(c, _)| *c).collect();
        over.sort_unstable();
        for conn in over {
            let still = self.is_still(now, net, router, conn, quiet);
            if !still || !net.input(conn).is_empty() || !net.drained(conn) {
                continue;
            }
            let mut reply = Reply::default();
            reply.error(&fault("57P01", "terminating connection: the router is drained or stops"), true);
            self.write(now, net, router, conn, reply, Some(EndReason::Idle));
        }
    }

    /// Takes what a client has sent.
    pub fn ready(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        // Guards against running what a client sent that has gone since: nobody waits for it.
        if let Some(end_reason) = net.service(conn).ended {
            return self.close(net, router, conn, end_reason.for_client_connection());
        }
        self.advance(now, net, router, conn);
    }

    /// Takes messages until one has to wait for its answer.
    fn advance(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        let mut reply = Reply::default();
        let mut over = None;
        while let Some(session) = self.sessions.get(&conn).filter(|s| s.running.is_none()) {
            let read =
                if session.started { read_message(net.input(conn)) } else { read_startup(net.input(conn)) };
            match read {
                Ok(None) => {
                    let partial = !net.input(conn).is_empty();
                    self.sessions.entry(conn).and_modify(|s| {
                        s.partial_ns = partial.then(|| s.partial_ns.unwrap_or(now));
                    });
                    break;
                }
                Ok(Some((message, size))) => {
                    net.consume(conn, size);
                    self.sessions.entry(conn).and_modify(|s| (s.partial_ns, s.busy_ns) = (None, now));
                    over = self.message(now, router, conn, message, &mut reply);
                }
                Err(why) => {
                    debug!("a client's message: {why}");
                    router.counters.rejected += 1;
                    reply.error(&fault("08P01", why), true);
                    over = Some(EndReason::Garbled);
                }
            }
            if over.is_some() {
                break;
            }
        }
        self.write(now, net, router, conn, reply, over);
    }

    fn write(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        conn: u64,
        reply: Reply,
        over: Option<EndReason>,
    ) {
        let sent = reply.bytes.is_empty() || net.send(conn, &reply.bytes);
        if let Some(end_reason) = over.filter(|_| sent && !reply.bytes.is_empty()) {
            self.forget(router, conn, end_reason);
            return net.finish(now, conn);
        }
        if let Some(end_reason) = over.or((!sent).then_some(EndReason::Garbled)) {
            self.close(net, router, conn, end_reason);
        }
    }

    fn message(
        &mut self,
        now: u64,
        router: &mut Router,
        conn: u64,
        message: ClientMessage,
        reply: &mut Reply,
    ) -> Option<EndReason> {
        self.settle_describe(conn, &message, reply);
        match message {
            ClientMessage::Encrypt => reply.no_encryption(),
            ClientMessage::Cancel(number, key) => {
                let found =
                    self.sessions.iter().find(|(c, s)| s.started && **c as i32 == number && s.key == key);
                if let Some(running) = found.and_then(|(_, s)| s.running.as_ref()) {
                    router.cancel(running.request);
                }
                return Some(EndReason::Idle);
            }
            ClientMessage::Startup(minor, params) => return self.startup(router, conn, minor, params, reply),
            ClientMessage::Terminate => return Some(EndReason::ClientGone),
            ClientMessage::Sync => {
                if let Some(session) = self.sessions.get_mut(&conn) {
                    (session.skipping, session.suspended) = (false, 0);
                    session.held.drop_portals();
                }
                reply.ready();
            }
            ClientMessage::Query(text) => {
                if self.sessions.get(&conn).is_some_and(|s| s.skipping) {
                    return None;
                }
                if let Err(fault) = self.query(now, router, conn, text, reply) {
                    reply.error(&fault, false);
                    reply.ready();
                }
            }
            message => {
                if self.sessions.get(&conn).is_some_and(|s| s.skipping) {
                    return None;
                }
                if let Err(fault) = self.extended(now, router, conn, message, reply) {
                    reply.error(&fault, false);
                    if let Some(session) = self.sessions.get_mut(&conn) {
                        session.skipping = true;
                    }
                }
            }
        }
        None
    }

    /// Only an engine knows the columns, and only a run asks one: where no `Execute` follows a `Describe`, the
    /// service's usual columns are told.
    fn settle_describe(&mut self, conn: u64, next: &ClientMessage, reply: &mut Reply) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        if matches!(next, ClientMessage::Execute(name, _) if session.describing.as_ref() == Some(name)) {
            return;
        }
        if let Some(portal) = session.describing.take().and_then(|name| session.held.portal(&name).ok()) {
            describe(&portal.kind, &self.setup.columns, &portal.results, reply);
            portal.told = true;
        }
    }

    fn startup(
        &mut self,
        router: &mut Router,
        conn: u64,
        minor: u16,
        params: Vec<(String, String)>,
        reply: &mut Reply,
    ) -> Option<EndReason> {
        let key = self.random() as i32;
        let full = self.sessions.len() > self.setup.sessions_most;
        let session = self.sessions.get_mut(&conn)?;
        session.settings.class = Some(self.setup.class);
        let mut result = if full { Err(fault("53300", "too many sessions are open")) } else { Ok(()) };
        for (name, value) in params {
            // `options` holds settings as a server's command line would: `-c name=value`.
            let pairs: Vec<(String, String)> = match name.as_str() {
                "options" => value
                    .split_whitespace()
                    .filter_map(|word| word.trim_start_matches("-c").trim_start_matches("--").split_once('='))
                    .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
                    .collect(),
                "user" => {
                    session.user = Some(value);
                    Vec::new()
                }
                "database" | "replication" => Vec::new(),
                _ => vec![(name, value)],
            };
            for (name, value) in pairs {
                let set = session.settings.set(&self.directory, &name, &value);
                result = result.and(set);
            }
        }
        if let Err(fault) = result {
            router.counters.rejected += 1;
            reply.error(&fault, true);
            return Some(EndReason::Garbled);
        }
        (session.started, session.key, session.start) = (true, key, session.settings.clone());
        if minor > 0 {
            reply.negotiate();
        }
        let statuses = [
            ("server_version", SERVER_VERSION),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        reply.welcome(&statuses, conn as i32, key);
        None
    }

    fn query(
        &mut self,
        now: u64,
        router: &mut Router,
        conn: u64,
        text: Vec<u8>,
        reply: &mut Reply,
    ) -> Result<(), SqlFault> {
        let kind = session::classify(&text)?;
        if self.local(conn, &kind, reply, true)? {
            reply.ready();
            return Ok(());
        }
        self.run(now, router, conn, Statement::plain(text), kind, None)
    }

    fn extended(
        &mut self,
        now: u64,
        router: &mut Router,
        conn: u64,
        message: ClientMessage,
        reply: &mut Reply,
    ) -> Result<(), SqlFault> {
        let (inlines, columns) = (self.setup.inlines, self.setup.columns.clone());
        let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
        match message {
            ClientMessage::Parse(name, text, types) => {
                session.held.parse(name, text, types)?;
                reply.step(b'1');
            }
            ClientMessage::Bind(bind @ Bind { .. }) => {
                session.held.bind(bind, inlines)?;
                reply.step(b'2');
            }
            ClientMessage::Describe(true, name) => {
                let statement = session.held.statement(&name)?;
                let described = |t: &u32| if *t == 0 { TEXT } else { *t };
                reply.parameters(&statement.types.iter().map(described).collect::<Vec<_>>());
                describe(&statement.kind, &columns, &[], reply);
                statement.told = true;
            }
            ClientMessage::Describe(false, name) => {
                let portal = session.held.portal(&name)?;
                if !inlines && matches!(portal.kind, Kind::Routed(true, _)) {
                    if portal.rows.is_some() {
                        reply.columns(&portal.columns);
                    } else {
                        session.describing = Some(name);
                    }
                    return Ok(());
                }
                describe(&portal.kind, &columns, &portal.results, reply);
            }
            ClientMessage::Close(statement, name) => {
                session.held.drop_one(statement, &name);
                reply.step(b'3');
            }
            ClientMessage::Execute(name, limit) => {
                let portal = session.held.portal(&name)?;
                if portal.rows.is_some() {
                    give_rows(session, &name, limit, reply);
                    return Ok(());
                }
                let (statement, kind) = (portal.statement.clone(), portal.kind.clone());
                if self.local(conn, &kind, reply, false)? {
                    return Ok(());
                }
                // Guards against results that wait for their client without bound.
                if self.sessions.get(&conn).is_some_and(|s| limit > 0 && s.suspended >= SUSPENDED_MOST) {
                    return Err(fault("54000", "too many portals are suspended"));
                }
                self.run(now, router, conn, statement, kind, Some((name, limit)))?;
            }
            ClientMessage::Call => return Err(fault("0A000", "function calls are not supported")),
            _ => {}
        }
        Ok(())
    }

    /// Does what needs no engine; false for what does. `describes` says that columns are to be told too.
    fn local(
        &mut self,
        conn: u64,
        kind: &Kind,
        reply: &mut Reply,
        describes: bool,
    ) -> Result<bool, SqlFault> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Ok(true) };
        match kind {
            Kind::Routed(..) => return Ok(false),
            Kind::Empty => reply.step(b'I'),
            Kind::Set(name, None) if name == "all" => {
                session.settings = session.start.clone();
                reply.complete("RESET");
            }
            Kind::Set(name, None) => {
                let start = session.start.show(&self.directory, name).unwrap_or_default();
                if !start.is_empty() || !name.starts_with("marljunction.") {
                    session.settings.set(&self.directory, name, &start)?;
                } else {
                    session.settings.tenant = None;
                }
                reply.complete("RESET");
            }
            Kind::Set(name, Some(value)) => {
                session.settings.set(&self.directory, name, value)?;
                if name == "application_name" {
                    reply.status(name, value);
                }
                reply.complete("SET");
            }
            Kind::Show(name) => {
                let value = session.settings.show(&self.directory, name)?;
                if describes {
                    reply.text_columns(std::slice::from_ref(name), &[]);
                }
                reply.row(&[Some(value.into_bytes())]);
                reply.complete("SHOW");
            }
        }
        Ok(true)
    }

    /// Makes a request of a statement.
    fn run(
        &mut self,
        now: u64,
        router: &mut Router,
        conn: u64,
        statement: Statement,
        kind: Kind,
        portal: Option<(String, u32)>,
    ) -> Result<(), SqlFault> {
        if !router.has_capacity() {
            router.counters.rejected += 1;
            return Err(SqlFault {
                hint: "retry after 200 ms".into(),
                ..fault("53000", "too many requests are open")
            });
        }
        let name = format!("{:016x}", self.random());
        let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
        session.calls += 1;
        let (call, settings) = (session.calls, &session.settings);
        let class = settings.class.unwrap_or(self.setup.class);
        let deadline_ns = self.directory.deadline_ns(class);
        let timeout_ns = match settings.timeout_ms {
            0 => deadline_ns,
            ms => ms.saturating_mul(1_000_000).min(deadline_ns),
        };
        let client = self.directory.client(session.peer, |who| match who {
            ClientKey::User => session.user.as_deref(),
            ClientKey::ApplicationName => settings.others.get("application_name").map(String::as_str),
            _ => None,
        });
        let client_request = ClientRequest {
            // Its clients give none; each statement is one of its own.
            token: self.directory.drops_repeats(class).then(|| name.clone()),
            name,
            class,
            order_key: None,
            tenant: settings.tenant,
            client,
            time_left_ns: timeout_ns.saturating_sub(ANSWER_MARGIN_NS),
            work_estimate_ns: settings.cost_ms.map(|ms| (ms * 1e6) as u64),
            memory_estimate_mb: settings.memory_mb,
            statement,
        };
        let request = router.accept_request(now, Client { conn, call }, client_request);
        let describes = portal.is_none() || session.describing.take().is_some();
        session.running = Some(Running { request, call, portal, kind, describes });
        Ok(())
    }

    /// Gives a request its final answer, and goes on with the messages behind it.
    pub fn answer(&mut self, now: u64, net: &mut Net, router: &mut Router, client: Client, answer: Answer) {
        let Some(session) = self.sessions.get_mut(&client.conn) else { return };
        let Some(running) = session.running.take_if(|r| r.call == client.call) else { return };
        session.busy_ns = now;
        let mut reply = Reply::default();
        match (answer, running.portal) {
            (Answer::Served(rows), portal) => {
                let (columns, rows) = rows.into_cells();
                let gives = matches!(running.kind, Kind::Routed(true, _));
                if gives && running.describes && !self.setup.inlines {
                    reply.columns(&columns);
                } else if gives && running.describes {
                    reply.text_columns(&self.setup.columns, &[]);
                }
                let name = portal.as_ref().map_or("", |p| &p.0);
                let told = self.setup.inlines || session.held.portal(name).is_ok_and(|p| p.told);
                let odd = |row: &Row| row.len() != self.setup.columns.len();
                let coded = |c: &Column| c.binary && !is_text(c.type_id);
                if gives && told && (rows.iter().any(odd) || columns.iter().any(coded)) {
                    // Guards against rows that don't fit what the client was told of them.
                    let wrong = fault("42804", "the result has other columns than the client was told");
                    reply.error(&wrong, false);
                    session.skipping = portal.is_some();
                } else if let Some((name, limit)) = &portal {
                    if let Ok(portal) = session.held.portal(name) {
                        (portal.rows, portal.columns) = (Some((rows.into(), 0)), columns);
                    }
                    give_rows(session, name, *limit, &mut reply);
                } else {
                    rows.iter().filter(|_| gives).for_each(|row| reply.row(row));
                    reply.complete(&tag(&running.kind, rows.len()));
                }
                if portal.is_none() {
                    reply.ready();
                }
            }
            (answer, portal) => {
                reply.error(&sql_fault(&answer), false);
                session.skipping = portal.is_some();
                if portal.is_none() {
                    reply.ready();
                }
            }
        }
        self.write(now, net, router, client.conn, reply, None);
        // What came in meanwhile waits in the connection; reading goes on where it stopped for lack of room.
        if self.sessions.contains_key(&client.conn) {
            self.ready(now, net, router, client.conn);
        }
    }
}

fn tag(kind: &Kind, rows: usize) -> String {
    match kind {
        Kind::Routed(_, word) => format!("{word} {rows}"),
        _ => "SELECT 0".into(),
    }
}

fn describe(kind: &Kind, columns: &[String], binary: &[bool], reply: &mut Reply) {
    match kind {
        Kind::Routed(true, _) => reply.text_columns(columns, binary),
        Kind::Show(name) => reply.text_columns(std::slice::from_ref(name), binary),
        _ => reply.step(b'n'),
    }
}

/// Gives rows of a portal that has run, up to a limit, and says whether more are left.
fn give_rows(session: &mut Session, name: &str, limit: u32, reply: &mut Reply) {
    let Ok(portal) = session.held.portal(name) else { return };
    let Some((rows, given)) = &mut portal.rows else { return };
    let gives = matches!(portal.kind, Kind::Routed(true, _));
    let count = if limit == 0 || !gives { rows.len() } else { rows.len().min(limit as usize) };
    for row in rows.drain(..count) {
        if gives {
            reply.row(&row);
        }
    }
    let first = *given == 0;
    *given += count;
    if rows.is_empty() {
        reply.complete(&tag(&portal.kind, count));
        session.suspended = session.suspended.saturating_sub(usize::from(!first));
    } else {
        reply.step(b's');
        session.suspended += usize::from(first);
    }
}
