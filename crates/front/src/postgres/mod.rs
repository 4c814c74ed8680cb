//! The front for PostgreSQL clients, with simple and extended queries. Each `Execute` of a routed
//! statement is one request of the core; later messages stay in the connection's input until it is
//! answered.

pub mod codec;
pub mod session;

use std::collections::HashMap;

use log::debug;

use self::codec::{fault, read_message, read_startup, Bind, ClientMessage, ResponseBuffer, SqlFault, TEXT};
use self::session::{is_text, SessionObjects, Settings, StatementKind};
use super::{ids_where, Directory, ANSWER_MARGIN_NS, MAX_BYTES_PER_TURN, MAX_MESSAGES_PER_TURN};
use marljunction_control::interface::{ClassId, RequestId};
use marljunction_core::end_reason::EndReason;
use marljunction_core::statement::Statement;
use marljunction_core::{Answer, Client, ClientRequest, Column, Router, Row};
use marljunction_fair_queue::settings::ClientKey;
use marljunction_net::phase::ClosePolicy;
use marljunction_net::Net;
use std::net::IpAddr;

/// The server version reported to clients.
pub const SERVER_VERSION: &str = "15.0";
/// Timeout for the start of a session, and for the rest of a partial message.
const STARTUP_TIMEOUT_NS: u64 = 2_000_000_000;
/// Maximum memory of a session: its statements, suspended portals and buffers.
const MAX_SESSION_MB: f64 = 1.6;
/// Share of the memory limit for all sessions.
const SESSIONS_MEMORY_SHARE: f64 = 0.5;
/// Maximum number of suspended portals per session.
const MAX_SUSPENDED_PORTALS: usize = 4;

/// Settings of the front.
#[derive(Clone, Debug)]
pub struct PostgresSetup {
    /// Class of requests if the session sets none.
    pub class: ClassId,
    /// Column names of results, for engines that do not describe them.
    pub columns: Vec<String>,
    /// Parameters are inlined into the statement's text, because engines accept no others.
    pub inline_params: bool,
    /// Maximum number of open sessions.
    pub max_sessions: usize,
}

/// The request that a session waits for.
struct RunningRequest {
    request: RequestId,
    call: u64,
    /// The portal and its row limit; `None` for a simple query.
    portal: Option<(String, u32)>,
    kind: StatementKind,
    /// The row description must be sent before the rows.
    sends_columns: bool,
}

#[derive(Default)]
struct Session {
    /// The id of the client's address.
    peer: u64,
    user: Option<String>,
    started: bool,
    /// When the client connected (ns).
    since_ns: u64,
    /// When the client last sent a message or was answered (ns).
    active_ns: u64,
    /// A statement was accepted as a request.
    has_requested: bool,
    /// One was accepted while sessions are closed once answered; further ones are refused.
    had_last_request: bool,
    /// Messages of an extended query have come, and not yet its `Sync`.
    in_extended_query: bool,
    key: i32,
    settings: Settings,
    startup_settings: Settings,
    objects: SessionObjects,
    running: Option<RunningRequest>,
    /// When a partial message was first seen (ns).
    partial_ns: Option<u64>,
    /// Messages remain in the input that no event will announce.
    unread: bool,
    /// After an error, messages are discarded up to `Sync`.
    skips_to_sync: bool,
    suspended_portals: usize,
    /// A portal whose `Describe` is answered with the engine's columns if its `Execute` comes next.
    pending_describe: Option<String>,
    calls: u64,
}

/// The front for PostgreSQL clients.
pub struct PostgresFront {
    directory: Directory,
    setup: PostgresSetup,
    sessions: HashMap<u64, Session>,
    seed: u64,
    close_policy: ClosePolicy,
}

impl Session {
    /// Returns whether the close policy selects this session. A new one has time for its first
    /// statement.
    fn is_selected(&self, policy: ClosePolicy, now: u64) -> bool {
        if !self.started || self.running.is_some() {
            return false;
        }
        if policy.is_forced() && self.has_requested {
            return true;
        }
        let between_messages = self.partial_ns.is_none() && !self.unread && !self.skips_to_sync;
        let is_answered = policy.closes_answered() && self.has_requested && !self.in_extended_query;
        between_messages
            && self.suspended_portals == 0
            && (is_answered || policy.closes_idle(now, self.active_ns))
    }
}

/// Maps an unsuccessful answer to an SQLSTATE. The hint of a refusal states when to retry.
fn sql_fault(answer: &Answer) -> SqlFault {
    let (end_reason, backoff) = match answer {
        Answer::Refused { after, backoff_ms, .. } => (*after, Some(*backoff_ms)),
        Answer::Failed(after, _) => (*after, None),
        Answer::Served(_) => (Some(EndReason::Served), None),
    };
    let engine_fault = match answer {
        Answer::Refused { fault, .. } | Answer::Failed(_, fault) => fault.clone(),
        Answer::Served(_) => None,
    };
    let (state, message) = match (end_reason, engine_fault) {
        (Some(EndReason::EngineError), Some(fault)) => (fault.state, fault.message),
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
    /// Reduces the maximum number of sessions to what the memory limit allows.
    pub fn limit_to_memory(self, memory_mb: f64) -> Self {
        let most = ((memory_mb * SESSIONS_MEMORY_SHARE / MAX_SESSION_MB) as usize).max(1);
        if self.max_sessions > most {
            log::warn!("the memory limit allows at most {most} PostgreSQL sessions");
        }
        PostgresSetup { max_sessions: self.max_sessions.min(most), ..self }
    }
}

impl PostgresFront {
    /// Creates a front without sessions. Request ids and cancel keys are derived from `seed`.
    pub fn new(directory: Directory, setup: PostgresSetup, seed: u64) -> Self {
        let sessions = HashMap::new();
        PostgresFront { directory, setup, sessions, seed, close_policy: ClosePolicy::default() }
    }

    /// Sets which sessions are closed by [`close_idle`](Self::close_idle), or once answered.
    pub fn set_close_policy(&mut self, close_policy: ClosePolicy) {
        if !close_policy.closes_answered() && self.close_policy.closes_answered() {
            self.sessions.values_mut().for_each(|s| s.had_last_request = false);
        }
        self.close_policy = close_policy;
    }

    /// Adds an accepted client connection.
    pub fn accept(&mut self, now: u64, conn: u64, peer: IpAddr) {
        let peer = self.directory.peer(peer);
        self.sessions.insert(conn, Session { peer, since_ns: now, active_ns: now, ..Session::default() });
    }

    /// Returns the session without a running statement whose incomplete message has the most bytes
    /// buffered, and their number.
    pub fn largest_incomplete(&self, net: &Net) -> Option<(usize, u64)> {
        let incomplete = self.sessions.iter().filter(|(_, s)| s.partial_ns.is_some() && s.running.is_none());
        incomplete.map(|(conn, _)| (net.input(*conn).len(), *conn)).max()
    }

    /// Returns whether messages remain in a session's input that no event will announce.
    pub fn has_more(&self, conn: u64) -> bool {
        self.sessions.get(&conn).is_some_and(|s| s.unread && s.running.is_none())
    }

    /// Returns the connections of which [`has_more`](Self::has_more) is true.
    pub fn unread(&self) -> impl Iterator<Item = u64> + '_ {
        self.sessions.keys().copied().filter(|conn| self.has_more(*conn))
    }

    /// Returns the number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    fn random(&mut self) -> u64 {
        // SplitMix64: request ids must be unique, and cancel keys as hard to guess as the seed.
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Closes a session and cancels its running request.
    pub fn close(&mut self, net: &mut Net, router: &mut Router, conn: u64, end_reason: EndReason) {
        self.remove_session(router, conn, end_reason);
        net.close(conn);
    }

    fn remove_session(&mut self, router: &mut Router, conn: u64, end_reason: EndReason) {
        if let Some(session) = self.sessions.remove(&conn) {
            if let Some(running) = session.running {
                router.client_left(running.request, EndReason::ClientGone);
            }
            router.counters.ended(end_reason);
        }
    }

    /// Closes connections that did not start a session or complete a message in time.
    pub fn tick(&mut self, now: u64, net: &mut Net, router: &mut Router) {
        let is_expired = |since: u64| now > since + STARTUP_TIMEOUT_NS;
        let timed_out = |s: &Session| {
            !s.started && is_expired(s.since_ns)
                || s.running.is_none() && s.partial_ns.is_some_and(is_expired)
        };
        for conn in ids_where(&self.sessions, timed_out) {
            if self.still_matches(now, net, router, conn, timed_out) {
                router.counters.rejected += 1;
                self.close(net, router, conn, EndReason::Silent);
            }
        }
    }

    /// Reads a session that is about to be closed, and returns whether `condition` still holds. A
    /// statement may have arrived since the last read.
    fn still_matches(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        conn: u64,
        condition: impl Fn(&Session) -> bool,
    ) -> bool {
        self.ready(now, net, router, conn);
        self.sessions.get(&conn).is_some_and(condition)
    }

    /// Closes the sessions that the close policy selects. The client receives `57P01`, as at a
    /// shutdown of a PostgreSQL server.
    pub fn close_idle(&mut self, now: u64, net: &mut Net, router: &mut Router) {
        let policy = self.close_policy;
        for conn in ids_where(&self.sessions, |s| s.is_selected(policy, now)) {
            if self.still_matches(now, net, router, conn, |s| s.is_selected(policy, now)) {
                self.close_selected(now, net, router, conn);
            }
        }
    }

    /// Closes a session that the close policy selects, once all output is written.
    fn close_selected(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        if !net.may_close(conn, self.close_policy) {
            return;
        }
        let mut response = ResponseBuffer::default();
        response.error(&fault("57P01", "terminating connection: the router is drained or stops"), true);
        self.write(now, net, router, conn, response, Some(EndReason::Idle));
    }

    /// Handles the messages that a client has sent.
    pub fn ready(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        // Statements of a disconnected client must not run.
        if let Some(end_reason) = net.service(conn).ended {
            return self.close(net, router, conn, end_reason.for_client_connection());
        }
        self.advance(now, net, router, conn);
        self.close_answered(now, net, router, conn);
    }

    /// Closes a session whose input has been read, if its statements are answered and the close policy
    /// does not wait for more. Returns whether it was selected.
    fn close_answered(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) -> bool {
        let policy = self.close_policy;
        let is_selected =
            policy.closes_answered() && self.sessions.get(&conn).is_some_and(|s| s.is_selected(policy, now));
        if is_selected {
            self.close_selected(now, net, router, conn);
        }
        is_selected
    }

    /// Handles messages until one has to wait for its answer.
    fn advance(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        let mut response = ResponseBuffer::default();
        let mut end_reason = None;
        let (mut handled, mut handled_bytes) = (0, 0);
        while let Some(session) = self.sessions.get_mut(&conn).filter(|s| s.running.is_none()) {
            // Other connections are served between the turns of one client.
            session.unread = handled >= MAX_MESSAGES_PER_TURN || handled_bytes >= MAX_BYTES_PER_TURN;
            if session.unread {
                break;
            }
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
                    (handled, handled_bytes) = (handled + 1, handled_bytes + size);
                    self.sessions.entry(conn).and_modify(|s| (s.partial_ns, s.active_ns) = (None, now));
                    end_reason = self.message(now, router, conn, message, &mut response);
                }
                Err(why) => {
                    debug!("invalid message from a client: {why}");
                    router.counters.rejected += 1;
                    response.error(&fault("08P01", why), true);
                    end_reason = Some(EndReason::Garbled);
                }
            }
            if end_reason.is_some() {
                break;
            }
        }
        self.write(now, net, router, conn, response, end_reason);
    }

    fn write(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        conn: u64,
        response: ResponseBuffer,
        end_reason: Option<EndReason>,
    ) {
        let sent = response.bytes.is_empty() || net.send(conn, &response.bytes);
        if let Some(end_reason) = end_reason.filter(|_| sent && !response.bytes.is_empty()) {
            self.remove_session(router, conn, end_reason);
            return net.close_after_flush(now, conn);
        }
        if let Some(end_reason) = end_reason.or((!sent).then_some(EndReason::Garbled)) {
            self.close(net, router, conn, end_reason);
        }
    }

    fn message(
        &mut self,
        now: u64,
        router: &mut Router,
        conn: u64,
        message: ClientMessage,
        response: &mut ResponseBuffer,
    ) -> Option<EndReason> {
        self.resolve_describe(conn, &message, response);
        match message {
            ClientMessage::Encrypt => response.no_encryption(),
            ClientMessage::Cancel(number, key) => {
                let found =
                    self.sessions.iter().find(|(c, s)| s.started && **c as i32 == number && s.key == key);
                if let Some(running) = found.and_then(|(_, s)| s.running.as_ref()) {
                    router.cancel(running.request);
                }
                return Some(EndReason::Idle);
            }
            ClientMessage::Startup(minor, params) => {
                return self.startup(router, conn, minor, params, response)
            }
            ClientMessage::Terminate => return Some(EndReason::ClientGone),
            ClientMessage::Sync => {
                if let Some(session) = self.sessions.get_mut(&conn) {
                    (session.skips_to_sync, session.suspended_portals) = (false, 0);
                    session.in_extended_query = false;
                    session.objects.clear_portals();
                }
                response.ready();
            }
            ClientMessage::Query(text) => {
                if self.sessions.get(&conn).is_some_and(|s| s.skips_to_sync) {
                    return None;
                }
                if let Err(fault) = self.query(now, router, conn, text, response) {
                    response.error(&fault, false);
                    response.ready();
                }
            }
            message => {
                let session = self.sessions.get_mut(&conn)?;
                session.in_extended_query = true;
                if session.skips_to_sync {
                    return None;
                }
                if let Err(fault) = self.extended(now, router, conn, message, response) {
                    response.error(&fault, false);
                    if let Some(session) = self.sessions.get_mut(&conn) {
                        session.skips_to_sync = true;
                    }
                }
            }
        }
        None
    }

    /// Answers a pending `Describe` with the configured columns if `next` is not the portal's
    /// `Execute`. An engine reports the columns of a result only with the result itself.
    fn resolve_describe(&mut self, conn: u64, next: &ClientMessage, response: &mut ResponseBuffer) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        if matches!(next, ClientMessage::Execute(name, _) if session.pending_describe.as_ref() == Some(name))
        {
            return;
        }
        if let Some(portal) =
            session.pending_describe.take().and_then(|name| session.objects.portal(&name).ok())
        {
            describe(&portal.kind, &self.setup.columns, &portal.results, response);
            portal.described = true;
        }
    }

    fn startup(
        &mut self,
        router: &mut Router,
        conn: u64,
        minor: u16,
        params: Vec<(String, String)>,
        response: &mut ResponseBuffer,
    ) -> Option<EndReason> {
        let key = self.random() as i32;
        let full = self.sessions.len() > self.setup.max_sessions;
        let session = self.sessions.get_mut(&conn)?;
        session.settings.class = Some(self.setup.class);
        let mut result = if full { Err(fault("53300", "too many sessions are open")) } else { Ok(()) };
        for (name, value) in params {
            // `options` holds settings in the form `-c name=value`.
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
            response.error(&fault, true);
            return Some(EndReason::Garbled);
        }
        (session.started, session.key, session.startup_settings) = (true, key, session.settings.clone());
        if minor > 0 {
            response.negotiate_version();
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
        response.session_start(&statuses, conn as i32, key);
        None
    }

    fn query(
        &mut self,
        now: u64,
        router: &mut Router,
        conn: u64,
        text: Vec<u8>,
        response: &mut ResponseBuffer,
    ) -> Result<(), SqlFault> {
        let kind = session::classify(&text)?;
        if self.execute_local(conn, &kind, response, true)? {
            response.ready();
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
        response: &mut ResponseBuffer,
    ) -> Result<(), SqlFault> {
        let (inline_params, columns) = (self.setup.inline_params, self.setup.columns.clone());
        let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
        match message {
            ClientMessage::Parse(name, text, types) => {
                session.objects.parse(name, text, types)?;
                response.empty_message(b'1');
            }
            ClientMessage::Bind(bind @ Bind { .. }) => {
                session.objects.bind(bind, inline_params)?;
                response.empty_message(b'2');
            }
            ClientMessage::Describe(true, name) => {
                let statement = session.objects.statement(&name)?;
                let type_or_text = |t: &u32| if *t == 0 { TEXT } else { *t };
                response.parameters(&statement.types.iter().map(type_or_text).collect::<Vec<_>>());
                describe(&statement.kind, &columns, &[], response);
                statement.described = true;
            }
            ClientMessage::Describe(false, name) => {
                let portal = session.objects.portal(&name)?;
                if !inline_params && matches!(portal.kind, StatementKind::Routed(true, _)) {
                    if portal.rows.is_some() {
                        response.columns(&portal.columns);
                    } else {
                        session.pending_describe = Some(name);
                    }
                    return Ok(());
                }
                describe(&portal.kind, &columns, &portal.results, response);
            }
            ClientMessage::Close(statement, name) => {
                session.objects.remove(statement, &name);
                response.empty_message(b'3');
            }
            ClientMessage::Execute(name, limit) => {
                let portal = session.objects.portal(&name)?;
                if portal.rows.is_some() {
                    send_rows(session, &name, limit, response);
                    return Ok(());
                }
                let (statement, kind) = (portal.statement.clone(), portal.kind.clone());
                if self.execute_local(conn, &kind, response, false)? {
                    return Ok(());
                }
                // Bounds the results that are held for the client.
                if self
                    .sessions
                    .get(&conn)
                    .is_some_and(|s| limit > 0 && s.suspended_portals >= MAX_SUSPENDED_PORTALS)
                {
                    return Err(fault("54000", "too many portals are suspended"));
                }
                self.run(now, router, conn, statement, kind, Some((name, limit)))?;
            }
            ClientMessage::FunctionCall => return Err(fault("0A000", "function calls are not supported")),
            _ => {}
        }
        Ok(())
    }

    /// Executes a statement that needs no engine. Returns false if it needs one. With
    /// `sends_columns`, the response includes the row description.
    fn execute_local(
        &mut self,
        conn: u64,
        kind: &StatementKind,
        response: &mut ResponseBuffer,
        sends_columns: bool,
    ) -> Result<bool, SqlFault> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Ok(true) };
        match kind {
            StatementKind::Routed(..) => return Ok(false),
            StatementKind::Empty => response.empty_message(b'I'),
            StatementKind::Set(name, None) if name == "all" => {
                session.settings = session.startup_settings.clone();
                response.complete("RESET");
            }
            StatementKind::Set(name, None) => {
                let initial = session.startup_settings.show(&self.directory, name).unwrap_or_default();
                if !initial.is_empty() || !name.starts_with("marljunction.") {
                    session.settings.set(&self.directory, name, &initial)?;
                } else {
                    session.settings.tenant = None;
                }
                response.complete("RESET");
            }
            StatementKind::Set(name, Some(value)) => {
                session.settings.set(&self.directory, name, value)?;
                if name == "application_name" {
                    response.status(name, value);
                }
                response.complete("SET");
            }
            StatementKind::Show(name) => {
                let value = session.settings.show(&self.directory, name)?;
                if sends_columns {
                    response.text_columns(std::slice::from_ref(name), &[]);
                }
                response.row(&[Some(value.into_bytes())]);
                response.complete("SHOW");
            }
        }
        Ok(true)
    }

    /// Submits a statement to the core as a request.
    fn run(
        &mut self,
        now: u64,
        router: &mut Router,
        conn: u64,
        statement: Statement,
        kind: StatementKind,
        portal: Option<(String, u32)>,
    ) -> Result<(), SqlFault> {
        let is_closing = self.close_policy.closes_answered();
        let is_refused = is_closing && self.sessions.get(&conn).is_some_and(|s| s.had_last_request);
        if !router.has_capacity() || is_refused {
            router.counters.rejected += 1;
            let why = match is_refused {
                true => "the router is drained or stops",
                false => "too many requests are open",
            };
            return Err(SqlFault { hint: "retry after 200 ms".into(), ..fault("53000", why) });
        }
        let name = format!("{:016x}", self.random());
        let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
        session.calls += 1;
        (session.has_requested, session.had_last_request) = (true, is_closing);
        let (call, settings) = (session.calls, &session.settings);
        let class = settings.class.unwrap_or(self.setup.class);
        let deadline_ns = self.directory.deadline_ns(class);
        let timeout_ns = match settings.timeout_ms {
            0 => deadline_ns,
            ms => ms.saturating_mul(1_000_000).min(deadline_ns),
        };
        let client = self.directory.client(session.peer, |who| match who {
            ClientKey::User => session.user.as_deref(),
            ClientKey::ApplicationName => settings.other_params.get("application_name").map(String::as_str),
            _ => None,
        });
        let client_request = ClientRequest {
            // PostgreSQL clients provide no token, so each statement gets its own.
            token: self.directory.deduplicates(class).then(|| name.clone()),
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
        let sends_columns = portal.is_none() || session.pending_describe.take().is_some();
        session.running = Some(RunningRequest { request, call, portal, kind, sends_columns });
        Ok(())
    }

    /// Sends the final answer to a request, and continues with the session's next messages.
    pub fn answer(&mut self, now: u64, net: &mut Net, router: &mut Router, client: Client, answer: Answer) {
        let Some(session) = self.sessions.get_mut(&client.conn) else { return };
        let Some(running) = session.running.take_if(|r| r.call == client.call) else { return };
        session.active_ns = now;
        let mut response = ResponseBuffer::default();
        match (answer, running.portal) {
            (Answer::Served(rows), portal) => {
                let (columns, rows) = rows.into_cells();
                let returns_rows = matches!(running.kind, StatementKind::Routed(true, _));
                if returns_rows && running.sends_columns && !self.setup.inline_params {
                    response.columns(&columns);
                } else if returns_rows && running.sends_columns {
                    response.text_columns(&self.setup.columns, &[]);
                }
                let name = portal.as_ref().map_or("", |p| &p.0);
                let described =
                    self.setup.inline_params || session.objects.portal(name).is_ok_and(|p| p.described);
                let has_other_width = |row: &Row| row.len() != self.setup.columns.len();
                let is_binary = |c: &Column| c.binary && !is_text(c.type_id);
                if returns_rows
                    && described
                    && (rows.iter().any(has_other_width) || columns.iter().any(is_binary))
                {
                    // The client would misread rows that differ from their description.
                    let mismatch = fault("42804", "the result has other columns than the client was told");
                    response.error(&mismatch, false);
                    session.skips_to_sync = portal.is_some();
                } else if let Some((name, limit)) = &portal {
                    if let Ok(portal) = session.objects.portal(name) {
                        (portal.rows, portal.columns) = (Some((rows.into(), 0)), columns);
                    }
                    send_rows(session, name, *limit, &mut response);
                } else {
                    rows.iter().filter(|_| returns_rows).for_each(|row| response.row(row));
                    response.complete(&tag(&running.kind, rows.len()));
                }
                if portal.is_none() {
                    response.ready();
                }
            }
            (answer, portal) => {
                response.error(&sql_fault(&answer), false);
                session.skips_to_sync = portal.is_some();
                if portal.is_none() {
                    response.ready();
                }
            }
        }
        if self.close_policy.closes_answered() {
            // Before the answer: a client that gets it may send the next statement at once.
            net.service(client.conn);
        }
        self.write(now, net, router, client.conn, response, None);
        if net.input(client.conn).is_empty() && self.close_answered(now, net, router, client.conn) {
            return;
        }
        // Messages may be buffered, and reading may have stopped at the input limit.
        if self.sessions.contains_key(&client.conn) {
            self.ready(now, net, router, client.conn);
        }
    }
}

fn tag(kind: &StatementKind, rows: usize) -> String {
    match kind {
        StatementKind::Routed(_, word) => format!("{word} {rows}"),
        _ => "SELECT 0".into(),
    }
}

fn describe(kind: &StatementKind, columns: &[String], binary: &[bool], response: &mut ResponseBuffer) {
    match kind {
        StatementKind::Routed(true, _) => response.text_columns(columns, binary),
        StatementKind::Show(name) => response.text_columns(std::slice::from_ref(name), binary),
        _ => response.empty_message(b'n'),
    }
}

/// Sends up to `limit` rows of an executed portal (0 for all), and whether the portal is suspended
/// or complete.
fn send_rows(session: &mut Session, name: &str, limit: u32, response: &mut ResponseBuffer) {
    let Ok(portal) = session.objects.portal(name) else { return };
    let Some((rows, sent_rows)) = &mut portal.rows else { return };
    let returns_rows = matches!(portal.kind, StatementKind::Routed(true, _));
    let count = if limit == 0 || !returns_rows { rows.len() } else { rows.len().min(limit as usize) };
    for row in rows.drain(..count) {
        if returns_rows {
            response.row(&row);
        }
    }
    let first = *sent_rows == 0;
    *sent_rows += count;
    if rows.is_empty() {
        response.complete(&tag(&portal.kind, count));
        session.suspended_portals = session.suspended_portals.saturating_sub(usize::from(!first));
    } else {
        response.empty_message(b's');
        session.suspended_portals += usize::from(first);
    }
}
