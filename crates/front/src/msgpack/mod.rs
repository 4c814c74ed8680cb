//! The front for MessagePack-RPC clients. The method of a call is the request's class.

pub mod codec;
mod held;
mod request;

use std::collections::HashMap;

use log::debug;
use rmpv::Value;

use self::codec::{decode_message, error, reply, Call, FrameLength, FrameScanner, Message};
use self::held::HeldRequests;
use super::{ids_where, Directory, MAX_BYTES_PER_TURN, MAX_MESSAGES_PER_TURN};
use marljunction_control::interface::RequestId;
use marljunction_core::end_reason::EndReason;
use marljunction_core::repeat_guard::NameConflict;
use marljunction_core::{Answer, Client, Router};
use marljunction_net::phase::ClosePolicy;
use marljunction_net::{Net, MIN_INPUT_BYTES};
use std::net::IpAddr;

/// Maximum number of open requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;

/// Timeout for a client's first call, and for the rest of a partial message on a connection without
/// open requests.
const RECEIVE_TIMEOUT_NS: u64 = 2_000_000_000;
/// Time for which a new connection is not evicted, so that its first call can arrive.
const EVICTION_GRACE_NS: u64 = 250_000_000;
/// Bytes of all clients' messages handled in one iteration of the event loop, after which only
/// connections with little input are.
const MAX_BYTES_PER_ITERATION: usize = 256 << 10;
/// Statements of all clients' held requests above which none is held (bytes).
const MAX_HELD_BYTES: usize = 1 << 20;
/// Why a call is rejected whose request id is in use.
const OPEN_ID: &str = "the rid is an open request's";
/// Reason for rejecting a request whose id an earlier one has that must not run again.
const USED_ID: &str = "the rid is that of a request that may have run";
/// Number of consecutive rejected messages after which a connection is closed.
const MAX_REJECTED_IN_ROW: u32 = 100;
/// Retry delay of a call that is not accepted as a request (ms).
const UNACCEPTED_BACKOFF_MS: u64 = 200;

/// The answer to a call that is no valid request.
fn malformed(id: u32, why: String) -> Vec<u8> {
    error(id.into(), "Malformed", &[("why", why)])
}

/// The answer to a call that is not accepted as a request now.
fn backoff(id: u32) -> Vec<u8> {
    error(id.into(), "Backoff", &[("backoff", UNACCEPTED_BACKOFF_MS.to_string())])
}

/// What became of a call that is meant as a request.
enum CallOutcome {
    /// It is an open request, which is answered later.
    Accepted,
    /// It is no valid request.
    Malformed(String),
    /// It is not accepted now.
    Refused,
}

#[derive(Default)]
struct Connection {
    /// The id of the client's address.
    peer: u64,
    open_requests: HashMap<u32, RequestId>,
    held: HeldRequests,
    /// When the client last connected, sent a call or was answered (ns).
    active_ns: u64,
    /// A request was accepted while connections are closed once answered; further ones are refused.
    had_last_request: bool,
    /// The client has sent a valid call.
    has_called: bool,
    /// The scan of a partial message, and when it was first seen (ns).
    partial: Option<(u64, FrameScanner)>,
    /// Consecutive rejected messages.
    rejected: u32,
    /// Messages remain in the input that no event will announce.
    unread: bool,
}

impl Connection {
    /// Number of requests that the client waits for.
    fn open_count(&self) -> usize {
        self.open_requests.len() + self.held.len()
    }

    /// Since when the client owes input, for its first call or the rest of a message (ns). `None`
    /// while a request is open, or a message may be complete and is not yet read: closing the
    /// connection would lose it.
    fn awaits_input_since_ns(&self) -> Option<u64> {
        if self.open_count() > 0 || self.unread {
            return None;
        }
        match self.partial {
            Some((since_ns, _)) if self.has_called => Some(since_ns.max(self.active_ns)),
            None if self.has_called => None,
            _ => Some(self.active_ns),
        }
    }

    /// Returns whether the close policy selects this connection. A new one has time for its first
    /// call.
    fn is_selected(&self, policy: ClosePolicy, now: u64) -> bool {
        if self.open_count() > 0 {
            return false;
        }
        if policy.is_forced() && self.has_called {
            return true;
        }
        let is_answered = policy.closes_answered() && self.has_called;
        let between_messages = self.partial.is_none() && !self.unread;
        between_messages && (is_answered || policy.closes_idle(now, self.active_ns))
    }
}

/// The front for MessagePack clients.
pub struct MsgpackFront {
    directory: Directory,
    connections: HashMap<u64, Connection>,
    /// The answer to `isWell`: whether to send new connections here.
    well: bool,
    close_policy: ClosePolicy,
    /// Bytes of messages handled in this iteration of the event loop.
    handled_bytes: usize,
    /// The first connection that was left out of this iteration.
    left_out: Option<u64>,
    /// Statements of all held requests (bytes).
    held_bytes: usize,
}

impl MsgpackFront {
    /// Creates a front without clients.
    pub fn new(directory: Directory) -> Self {
        MsgpackFront {
            directory,
            connections: HashMap::new(),
            well: true,
            close_policy: ClosePolicy::default(),
            handled_bytes: 0,
            left_out: None,
            held_bytes: 0,
        }
    }

    /// Sets the answer to `isWell`, by which balancers decide whether to send new connections here.
    pub fn set_well(&mut self, well: bool) {
        self.well = well;
    }

    /// Sets which connections are closed by [`close_idle`](Self::close_idle), or once answered.
    pub fn set_close_policy(&mut self, close_policy: ClosePolicy) {
        if !close_policy.closes_answered() && self.close_policy.closes_answered() {
            self.connections.values_mut().for_each(|c| c.had_last_request = false);
        }
        self.close_policy = close_policy;
    }

    /// Adds an accepted client connection.
    pub fn accept(&mut self, now: u64, conn: u64, peer: IpAddr) {
        let peer = self.directory.peer(peer);
        self.connections.insert(conn, Connection { peer, active_ns: now, ..Connection::default() });
    }

    /// Returns the connection to evict for a new one, if any. Connections with open requests,
    /// unread messages or queued output are not evicted, nor are new ones within
    /// [`EVICTION_GRACE_NS`]. Clients without a call, or whose last message was rejected, come
    /// first, then the least recently active.
    pub fn eviction_candidate(&self, now: u64, net: &Net) -> Option<u64> {
        let grace_over = |c: &Connection| c.has_called || now > c.active_ns + EVICTION_GRACE_NS;
        let is_evictable = |conn: &u64, c: &Connection| {
            c.open_count() == 0 && !c.unread && grace_over(c) && net.drained(*conn)
        };
        let candidates = self.connections.iter().filter(|(conn, c)| is_evictable(conn, c));
        candidates
            .min_by_key(|(conn, c)| (c.has_called && c.rejected == 0, c.active_ns, **conn))
            .map(|(conn, _)| *conn)
    }

    /// Returns the connection without open requests whose incomplete message has the most bytes
    /// buffered, and their number.
    pub fn largest_incomplete(&self, net: &Net) -> Option<(usize, u64)> {
        let incomplete = self.connections.iter().filter(|(_, c)| c.partial.is_some() && c.open_count() == 0);
        incomplete.map(|(conn, _)| (net.input(*conn).len(), *conn)).max()
    }

    /// Returns whether messages remain in a connection's input that no event will announce.
    pub fn has_more(&self, conn: u64) -> bool {
        self.connections.get(&conn).is_some_and(|c| c.unread)
    }

    /// Returns the connections of which [`has_more`](Self::has_more) is true.
    pub fn unread(&self) -> impl Iterator<Item = u64> + '_ {
        self.connections.iter().filter(|(_, c)| c.unread).map(|(conn, _)| *conn)
    }

    /// Closes connections that sent no call or only a partial message within
    /// [`RECEIVE_TIMEOUT_NS`]. A connection with open requests is kept until they are answered.
    pub fn tick(&mut self, now: u64, net: &mut Net, router: &mut Router) {
        let timed_out = |c: &Connection| {
            c.awaits_input_since_ns().is_some_and(|since_ns| now > since_ns + RECEIVE_TIMEOUT_NS)
        };
        for conn in ids_where(&self.connections, timed_out) {
            if self.still_matches(now, net, router, conn, timed_out) {
                router.counters.rejected += 1;
                self.close(net, router, conn, EndReason::Silent);
            }
        }
        // Those that nothing is read from, as all clients have too much input buffered.
        for conn in ids_where(&self.connections, |c| c.held.len() > 0) {
            self.submit_held(now, net, router, conn);
        }
    }

    /// Reads a connection that is about to be closed, and returns whether `condition` still holds.
    /// A request may have arrived since the last read.
    fn still_matches(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        conn: u64,
        condition: impl Fn(&Connection) -> bool,
    ) -> bool {
        self.ready(now, net, router, conn);
        self.connections.get(&conn).is_some_and(condition)
    }

    /// Closes the connections that the close policy selects.
    pub fn close_idle(&mut self, now: u64, net: &mut Net, router: &mut Router) {
        let policy = self.close_policy;
        for conn in ids_where(&self.connections, |c| c.is_selected(policy, now)) {
            // A request may have arrived since the last read.
            self.ready(now, net, router, conn);
            self.close_if_selected(now, net, router, conn);
        }
    }

    /// Closes a connection whose input has been read, if the close policy selects it and all output
    /// is written.
    fn close_if_selected(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        let policy = self.close_policy;
        let is_selected = self.connections.get(&conn).is_some_and(|c| c.is_selected(policy, now));
        if is_selected && net.may_close(conn, policy) {
            self.remove_connection(router, conn, EndReason::Idle);
            net.close_after_flush(now, conn);
        }
    }

    /// Answers an invalid message with the reason, and closes the connection.
    fn reject_and_close(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64, why: &str) {
        debug!("invalid message from a client: {why}");
        router.counters.rejected += 1;
        // The message ids of calls start at 1, so 0 refers to none.
        if net.send(conn, &error(0, "Malformed", &[("why", why.to_owned())])) {
            self.remove_connection(router, conn, EndReason::Garbled);
            net.close_after_flush(now, conn);
        } else {
            self.close(net, router, conn, EndReason::Garbled);
        }
    }

    /// Closes a connection and cancels its open requests.
    pub fn close(&mut self, net: &mut Net, router: &mut Router, conn: u64, end_reason: EndReason) {
        self.remove_connection(router, conn, end_reason);
        net.close(conn);
    }

    fn remove_connection(&mut self, router: &mut Router, conn: u64, end_reason: EndReason) {
        if let Some(connection) = self.connections.remove(&conn) {
            self.held_bytes -= connection.held.statement_bytes();
            let mut open_requests: Vec<RequestId> = connection.open_requests.into_values().collect();
            open_requests.sort_unstable();
            open_requests.into_iter().for_each(|id| router.client_left(id, EndReason::ClientGone));
            router.counters.ended(end_reason);
        }
    }

    /// Starts an iteration of the event loop, in which [`MAX_BYTES_PER_ITERATION`] are handled and
    /// then only connections with little input. Returns the first connection that was left out of
    /// the last iteration.
    pub fn begin_iteration(&mut self) -> Option<u64> {
        self.handled_bytes = 0;
        self.left_out.take()
    }

    /// Handles the messages that a client has sent.
    pub fn ready(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        if self.is_left_out(net, conn) {
            return;
        }
        // Requests of a disconnected client must not run.
        if let Some(end_reason) = net.service(conn).ended {
            return self.close(net, router, conn, end_reason.for_client_connection());
        }
        if self.is_left_out(net, conn) {
            return;
        }
        let mut answers = Vec::new();
        let fault = self.read_messages(now, net, router, conn, &mut answers);
        // One write for all answers of the turn.
        if !answers.is_empty() && !net.send(conn, &answers) {
            return self.close(net, router, conn, EndReason::Garbled);
        }
        if let Err(reason) = fault {
            return self.reject_and_close(now, net, router, conn, &reason);
        }
        self.submit_held(now, net, router, conn);
    }

    /// Submits the held requests of a connection once they are due: the socket has been read to its
    /// end, or they may be held no longer.
    fn submit_held(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let is_behind = connection.unread || net.is_behind(conn);
        if is_behind && !connection.held.is_overdue(now) && self.held_bytes < MAX_HELD_BYTES {
            return;
        }
        self.held_bytes -= connection.held.statement_bytes();
        let mut answers = Vec::new();
        for held in connection.held.take(now) {
            // Others may have been submitted meanwhile: one with this id, or too many.
            let conflict = router.name_conflict(now, &held.request.name).map(conflict_text);
            if conflict.is_some() || !router.has_capacity() {
                router.counters.rejected += 1;
                answers.extend(
                    conflict.map_or_else(|| backoff(held.id), |why| malformed(held.id, why.to_owned())),
                );
                continue;
            }
            let client = Client { conn, call: held.id.into() };
            let request = router.accept_request(now, client, held.request);
            connection.open_requests.insert(held.id, request);
        }
        if !answers.is_empty() && !net.send(conn, &answers) {
            self.close(net, router, conn, EndReason::Garbled);
        }
    }

    /// Leaves a connection with much input to the next iteration, if enough was handled in this one.
    /// Guards against many clients with large messages that delay those with small ones.
    fn is_left_out(&mut self, net: &Net, conn: u64) -> bool {
        let is_large = net.input(conn).len() > MIN_INPUT_BYTES;
        let is_left_out = is_large && self.handled_bytes >= MAX_BYTES_PER_ITERATION;
        if is_left_out {
            self.connections.entry(conn).and_modify(|c| c.unread = true);
            self.left_out.get_or_insert(conn);
        }
        is_left_out
    }

    /// Handles the messages of one turn, so that other connections are served between the turns of
    /// one client. Adds the answers that are due at once to `answers`.
    ///
    /// # Errors
    /// Returns the reason why a message ends the connection.
    fn read_messages(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        conn: u64,
        answers: &mut Vec<u8>,
    ) -> Result<(), String> {
        let mut handled_bytes = 0;
        for _ in 0..MAX_MESSAGES_PER_TURN {
            let Some(connection) = self.connections.get_mut(&conn) else { return Ok(()) };
            connection.unread = false;
            let input = net.input(conn);
            let (since_ns, mut scanner) = connection.partial.take().unwrap_or((now, FrameScanner::default()));
            let FrameLength::Complete(size) = scanner.scan(input)? else {
                connection.partial = (!input.is_empty()).then_some((since_ns, scanner));
                self.handled_bytes += input.len();
                return Ok(());
            };
            let message = decode_message(&input[..size], |name| self.directory.is_request_field(name))?;
            net.consume(conn, size);
            self.message(now, router, conn, message, answers)?;
            handled_bytes += size;
            self.handled_bytes += size;
            if handled_bytes >= MAX_BYTES_PER_TURN {
                break;
            }
        }
        let rest = !net.input(conn).is_empty();
        self.connections.entry(conn).and_modify(|c| c.unread = rest);
        Ok(())
    }

    /// Handles one message.
    ///
    /// # Errors
    /// Returns the reason why the message ends the connection.
    fn message(
        &mut self,
        now: u64,
        router: &mut Router,
        conn: u64,
        message: Message,
        answers: &mut Vec<u8>,
    ) -> Result<(), String> {
        let Some(connection) = self.connections.get_mut(&conn) else { return Ok(()) };
        match message {
            Message::Unknown => connection.rejected += 1,
            Message::Forget(id) => {
                // A withdrawn request counts as taken, held or not.
                let held = connection.held.remove(id).map(|held| {
                    self.held_bytes -= held.statement.text.len();
                    router.accept_request(now, Client { conn, call: id.into() }, held)
                });
                if let Some(request) = connection.open_requests.remove(&id).or(held) {
                    router.client_left(request, EndReason::Forgotten);
                }
            }
            Message::Call(call) => {
                (connection.has_called, connection.active_ns) = (true, now);
                if call.method == "isWell" {
                    let well = Value::Array(vec![self.well.into(), Value::Map(Vec::new())]);
                    answers.extend(reply(call.id.into(), Value::Nil, well));
                    return Ok(());
                }
                let id = call.id;
                match self.call(now, router, conn, call)? {
                    CallOutcome::Accepted => {}
                    CallOutcome::Malformed(why) => answers.extend(malformed(id, why)),
                    CallOutcome::Refused => answers.extend(backoff(id)),
                }
            }
        }
        Ok(())
    }

    /// Handles a call that is meant as a request.
    ///
    /// # Errors
    /// Returns the reason why the call ends the connection.
    fn call(&mut self, now: u64, router: &mut Router, conn: u64, call: Call) -> Result<CallOutcome, String> {
        let Some(connection) = self.connections.get_mut(&conn) else { return Ok(CallOutcome::Refused) };
        let id = call.id;
        // The answers of two open calls with one message id could not be told apart.
        if connection.open_requests.contains_key(&id) || connection.held.has_call(id) {
            return Err("the number of an open call".into());
        }
        // Closes clients that retry rejected calls without pause.
        if connection.rejected >= MAX_REJECTED_IN_ROW {
            return Err("turned away too often".into());
        }
        let client_request = self.directory.parse_request(connection.peer, call).and_then(|request| {
            // Engines identify a query by this id alone.
            let is_held = connection.held.has_request(&request.name);
            let open = is_held.then_some(NameConflict::Open);
            match open.or_else(|| router.name_conflict(now, &request.name)) {
                Some(conflict) => Err(conflict_text(conflict).to_owned()),
                None => Ok(request),
            }
        });
        let client_request = match client_request {
            Ok(client_request) => client_request,
            Err(why) => {
                connection.rejected += 1;
                router.counters.rejected += 1;
                return Ok(CallOutcome::Malformed(why));
            }
        };
        let open = connection.open_count();
        if open >= MAX_OPEN_REQUESTS {
            connection.rejected += 1;
            router.counters.rejected += 1;
            return Ok(CallOutcome::Refused);
        }
        let is_closing = self.close_policy.closes_answered();
        if !router.has_capacity() || is_closing && (open > 0 || connection.had_last_request) {
            router.counters.rejected += 1;
            return Ok(CallOutcome::Refused);
        }
        connection.rejected = 0;
        connection.had_last_request = is_closing;
        self.held_bytes += client_request.statement.text.len();
        connection.held.push(now, id, client_request);
        Ok(CallOutcome::Accepted)
    }

    /// Sends the final answer to a request.
    pub fn answer(&mut self, now: u64, net: &mut Net, router: &mut Router, client: Client, answer: Answer) {
        let Some(connection) = self.connections.get_mut(&client.conn) else { return };
        connection.active_ns = now;
        if connection.open_requests.remove(&(client.call as u32)).is_none() {
            return;
        }
        if self.close_policy.closes_answered() {
            // Before the answer: a client that gets it may send the next request at once, which is
            // then still unsent when the connection is closed.
            self.ready(now, net, router, client.conn);
        }
        let bytes = match answer {
            Answer::Served(rows) => {
                let result = vec![Value::Binary(rows.into_text()), Value::Map(Vec::new())];
                reply(client.call, Value::Nil, Value::Array(result))
            }
            Answer::Refused { backoff_ms, .. } => {
                error(client.call, "Backoff", &[("backoff", backoff_ms.to_string())])
            }
            Answer::Failed(last_end_reason, _) => {
                let why = last_end_reason.map_or_else(String::new, |e| format!("{e:?}"));
                error(client.call, "Lost", &[("why", why)])
            }
        };
        if !net.send(client.conn, &bytes) {
            return self.close(net, router, client.conn, EndReason::Garbled);
        }
        if self.close_policy.closes_answered() {
            self.close_if_selected(now, net, router, client.conn);
        }
    }
}

/// Why a request with a name that cannot be used is rejected.
fn conflict_text(conflict: NameConflict) -> &'static str {
    match conflict {
        NameConflict::Open => OPEN_ID,
        NameConflict::MayHaveRun => USED_ID,
    }
}
