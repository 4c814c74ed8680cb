//! Engines that speak HTTP/1.1: one call at a time on a connection, queries that belong to no connection.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use log::debug;

use super::{Backend, Context, Start, Targets};
use marljunction_control::interface::{EngineId, LoadReport};
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Attempt, ClientRequest as Ask, Rows};
use marljunction_discovery::Change;
use marljunction_http1::head::{read_answer, whole_rows, Head};
use marljunction_pacing::opening::Openings;

/// An idle connection is used again only so soon after its last answer (ns): a silent machine never resets.
const REUSE_NS: u64 = 2_000_000_000;
/// A connection is used for another query only so long after its last answer (ns): what an engine sends behind
/// that answer, more than belongs to it, would be read as the next one's.
const QUIET_NS: u64 = 15_000_000;
/// Idle connections kept for an engine (count).
const IDLE_MOST: usize = 12;
/// Time without a whole answer after which a connection is given up (ns): engines answer within 250 ms.
const SILENT_NS: u64 = 500_000_000;
/// Wait before a query is asked after again where no connection came up (ns).
const ASK_AGAIN_NS: u64 = 200_000_000;
/// An engine ends a query that nobody asks for in 2 s. The call that asked last may have come later than it was written, and
/// counts as asking while the engine holds it for news, 250 ms; with the allowance for sockets, twice (ns).
const FORGOTTEN_NS: u64 = 2_350_000_000;
/// Largest result (bytes).
const RESULT_MOST: usize = 48_000;
/// Times that a query's start is written to a new connection because the one before came to nothing (count).
const STARTS_MOST: u32 = 3;
/// Times that a query's answer or one page of it is asked for again because it was spoilt (count).
const SPOILT_MOST: u32 = 5;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Idle,
    /// The call that starts a query.
    Post(Attempt),
    /// Asks for a query's news.
    Ask(Attempt),
    /// Fetches a page.
    Page(Attempt, u32),
    Rank(Attempt),
    GiveUp(Attempt),
    /// Waits for an answer that nobody needs.
    Discard,
}

struct Line {
    engine: EngineId,
    /// Where it leads, which may be another's address by now.
    to: SocketAddr,
    role: Role,
    up: bool,
    /// When its present call was made, or its last answer came.
    since_ns: u64,
}

/// How far giving up has come.
struct Leaving {
    conn: Option<u64>,
    again_ns: u64,
    /// The engine has said that it was told.
    told: bool,
}

/// A query on an engine.
struct Run {
    engine: EngineId,
    ask: Rc<Ask>,
    class: String,
    timeout_ns: u64,
    once: bool,
    begin_by_ns: Option<u64>,
    /// The call that starts it was wholly written.
    whole: bool,
    /// The engine has answered something about it.
    known: bool,
    /// The engine stood still as it got the call that starts it, and may read that behind a later one.
    stood_still: bool,
    conn: Option<u64>,
    /// When it was last asked for on a connection that was up.
    asked_ns: u64,
    /// When to ask for it again, while no connection does.
    again_ns: u64,
    breaks: u32,
    starts: u32,
    spoilt: u32,
    pages: u32,
    next_page: u32,
    rows: Vec<u8>,
    report: Option<LoadReport>,
    priority: u8,
    told_priority: u8,
    ranking: bool,
    leaving: Option<Leaving>,
}

/// Whether nothing of the call that starts a query has gone out.
fn unbegun(cx: &Context, run: &Run) -> bool {
    !run.whole && run.conn.is_none_or(|conn| cx.net.is_unbegun(conn))
}

/// The backend for such engines.
pub struct HttpEngines {
    targets: Targets<Vec<u64>>,
    lines: HashMap<u64, Line>,
    runs: BTreeMap<Attempt, Run>,
    idle_ns: u64,
    connect_ns: u64,
}

impl HttpEngines {
    /// No engines yet. They close connections that are idle for `idle_ns`; one that is not up after
    /// `connect_ns` never will be.
    pub fn new(idle_ns: u64, connect_ns: u64) -> Self {
        HttpEngines {
            targets: Targets::default(),
            lines: HashMap::new(),
            runs: BTreeMap::new(),
            idle_ns: idle_ns / 3,
            connect_ns,
        }
    }

    /// Takes an idle connection to an engine that was of use just now.
    fn idle(&mut self, now: u64, engine: EngineId) -> Option<u64> {
        let age = |conn: &u64| self.lines.get(conn).map(|l| now.saturating_sub(l.since_ns));
        let fit = |conn: &u64| age(conn).is_some_and(|age| (QUIET_NS..=REUSE_NS).contains(&age));
        let own = &mut self.targets.get(engine)?.own;
        own.iter().rposition(fit).map(|at| own.remove(at))
    }

    /// A connection for one call: an idle one that was of use just now, else a new one.
    fn line(
        &mut self,
        cx: &mut Context,
        engine: EngineId,
        role: Role,
        fresh: bool,
    ) -> Result<u64, EndReason> {
        let to = self.targets.get(engine).ok_or(EndReason::NoDescriptor)?.address;
        while let Some(conn) = if fresh { None } else { self.idle(cx.now, engine) } {
            // Guards against a call on a connection that its engine has closed since it was last looked at: nobody could tell
            // whether it came.
            if cx.net.service(conn).ended.is_some() || !cx.net.input(conn).is_empty() {
                self.close(cx, conn);
                continue;
            }
            if let Some(line) = self.lines.get_mut(&conn) {
                (line.role, line.since_ns) = (role, cx.now);
            }
            return Ok(conn);
        }
        let conn = match role {
            Role::Post(_) => self.targets.connect_for_work(cx, engine)?,
            _ => self.targets.connect(cx, engine)?,
        };
        self.lines.insert(conn, Line { engine, to, role, up: false, since_ns: cx.now });
        Ok(conn)
    }

    fn call(&mut self, cx: &mut Context, conn: u64, verb: &str, path: &str, fields: &str, body: &[u8]) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        line.since_ns = cx.now;
        let host = self.targets.get(line.engine).map(|k| k.address.to_string()).unwrap_or_default();
        let mut bytes = format!("{verb} {path} HTTP/1.1\r\nHost: {host}\r\n{fields}").into_bytes();
        if verb == "POST" || verb == "PUT" {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        if !cx.net.send(conn, &bytes) {
            // Guards against a call that passes for written, as nothing of it waits.
            self.lost(cx, conn, EndReason::Unsent);
        }
    }

    /// A connection is free again.
    fn rest(&mut self, cx: &mut Context, conn: Option<u64>) {
        let Some((conn, line)) = conn.and_then(|c| Some((c, self.lines.get_mut(&c)?))) else { return };
        (line.role, line.since_ns) = (Role::Idle, cx.now);
        match self.targets.keeps(line.engine, line.to).filter(|k| k.own.len() < IDLE_MOST) {
            Some(known) => known.own.push(conn),
            None => self.close(cx, conn),
        }
    }

    fn close(&mut self, cx: &mut Context, conn: u64) {
        if let Some(line) = self.lines.remove(&conn) {
            if let Some(known) = self.targets.get(line.engine) {
                known.own.retain(|c| *c != conn);
            }
        }
        cx.net.close(conn);
    }

    /// Reports the one ending of an attempt, and lets its connections go.
    fn end(&mut self, cx: &mut Context, at: Attempt, ending: EndReason) {
        let Some(run) = self.runs.remove(&at) else { return };
        let rows = (ending == EndReason::Served).then_some(Rows::Text(run.rows));
        cx.router.ended(at, ending, rows, run.report);
        let conns = run.conn.into_iter().chain(run.leaving.and_then(|l| l.conn));
        for conn in conns.collect::<Vec<_>>() {
            if let Some(line) = self.lines.get_mut(&conn).filter(|l| l.role != Role::Idle) {
                line.role = Role::Discard;
            }
        }
    }

    /// Ends an attempt whose call was not wholly written: without the rest it never runs, so closing its connection is enough.
    fn take_back(&mut self, cx: &mut Context, at: Attempt, ending: EndReason) {
        let conn = self.runs.get_mut(&at).and_then(|r| r.conn.take());
        self.end(cx, at, ending);
        conn.into_iter().for_each(|conn| self.close(cx, conn));
    }

    /// Ends the attempts of which nothing has gone out and that `which` says must not begin any more.
    fn take_back_unbegun(&mut self, cx: &mut Context, which: impl Fn(&Targets<Vec<u64>>, &Run) -> bool) {
        let which = |run: &Run| unbegun(cx, run) && which(&self.targets, run);
        let over: Vec<Attempt> = self.runs.iter().filter(|(_, run)| which(run)).map(|(at, _)| *at).collect();
        over.into_iter().for_each(|at| self.take_back(cx, at, EndReason::Unsent));
    }

    fn post(&mut self, cx: &mut Context, at: Attempt, fresh: bool) {
        let Some(run) = self.runs.get(&at) else { return };
        let engine = run.engine;
        // Guards against new work for an engine that began to drain while the connections before came to nothing.
        if !self.targets.serves(engine) {
            return self.end(cx, at, EndReason::Unsent);
        }
        // An idle connection may close as it is written to, and then nobody knows what came of it.
        let conn = match self.line(cx, engine, Role::Post(at), fresh || run.once) {
            Ok(conn) => conn,
            Err(ending) => return self.end(cx, at, ending),
        };
        let Some(run) = self.runs.get_mut(&at) else { return };
        (run.conn, run.asked_ns, run.starts) = (Some(conn), cx.now, run.starts + 1);
        let token = run.ask.token.as_ref().map_or_else(String::new, |token| format!("Once-Key: {token}\r\n"));
        let fields = format!(
            "Request-Id: {}\r\nKind: {}\r\nTimeout-Ms: {}\r\nPool-Rank: {}\r\n{token}",
            run.ask.name,
            run.class,
            (run.timeout_ns / 1_000_000).max(1),
            run.priority
        );
        run.told_priority = run.priority;
        let Some(body) = run.ask.statement.inlined() else { return self.end(cx, at, EndReason::Unsent) };
        self.call(cx, conn, "POST", "/o", &fields, &body);
        self.written(cx, conn);
    }

    /// Takes note of calls that have been wholly written.
    fn written(&mut self, cx: &mut Context, conn: u64) {
        if !cx.net.drained(conn) {
            return;
        }
        match self.lines.get(&conn).map(|l| l.role) {
            // The engine has it from now on, however long its connection took to come up.
            Some(Role::Post(at)) => {
                let unwritten = self.runs.get_mut(&at).filter(|r| !r.whole);
                unwritten.into_iter().for_each(|r| (r.whole, r.asked_ns) = (true, cx.now));
            }
            Some(Role::Ask(at) | Role::Page(at, _)) => {
                self.runs.entry(at).and_modify(|r| r.asked_ns = r.asked_ns.max(cx.now));
            }
            _ => {}
        }
    }

    /// Asks for a query's news, or for its next page.
    fn ask(&mut self, cx: &mut Context, at: Attempt, on: Option<u64>) {
        let Some(run) = self.runs.get(&at) else { return };
        if let Some(leaving) = &run.leaving {
            // Guards against a refusal that comes after this answer, when no connection of the query's stands any
            // more: this one carries the DELETE unless another already does.
            let pending = leaving.conn;
            let told = pending.and_then(|conn| self.lines.get(&conn)).is_some_and(|l| l.up);
            self.runs.entry(at).and_modify(|r| r.conn = None);
            let Some(conn) = on.filter(|_| !told) else { return self.rest(cx, on) };
            if let Some(line) = pending.and_then(|conn| self.lines.get_mut(&conn)) {
                line.role = Role::Discard;
            }
            return self.tell_leaving_on(cx, at, conn);
        }
        let role = if run.pages > 0 { Role::Page(at, run.next_page) } else { Role::Ask(at) };
        let (engine, path) = (run.engine, format!("/o/{}/{}", run.ask.name, run.next_page));
        let found = match on {
            Some(conn) => Ok(conn),
            None => self.line(cx, engine, role, true),
        };
        let Some(run) = self.runs.get_mut(&at) else { return };
        match found {
            Ok(conn) => {
                run.conn = Some(conn);
                if let Some(line) = self.lines.get_mut(&conn) {
                    line.role = role;
                }
                self.call(cx, conn, "GET", &path, "", b"");
                self.written(cx, conn);
            }
            Err(EndReason::Refused) => self.end(cx, at, EndReason::Cut),
            Err(_) => (run.conn, run.again_ns) = (None, cx.now + ASK_AGAIN_NS),
        }
    }

    fn tell_rank(&mut self, cx: &mut Context, at: Attempt) {
        let Some(run) = self.runs.get(&at) else { return };
        let due = run.known && !run.ranking && run.leaving.is_none() && run.priority != run.told_priority;
        if !due {
            return;
        }
        let (engine, priority, path) = (run.engine, run.priority, format!("/o/{}", run.ask.name));
        let Ok(conn) = self.line(cx, engine, Role::Rank(at), false) else { return };
        self.runs.entry(at).and_modify(|r| (r.ranking, r.told_priority) = (true, priority));
        self.call(cx, conn, "PUT", &path, "", priority.to_string().as_bytes());
    }

    fn tell_leaving(&mut self, cx: &mut Context, at: Attempt) {
        let Some(run) = self.runs.get(&at) else { return };
        let (engine, asked_ns) = (run.engine, run.asked_ns);
        let found = self.line(cx, engine, Role::GiveUp(at), false);
        match found {
            Ok(conn) => self.tell_leaving_on(cx, at, conn),
            Err(EndReason::Refused) if !self.heard_on(at) => self.end(cx, at, EndReason::Abandoned),
            // A query that nobody asks for ends by itself.
            Err(_) if cx.now >= asked_ns + FORGOTTEN_NS => self.end(cx, at, EndReason::Abandoned),
            Err(_) => {
                if let Some(leaving) = self.runs.get_mut(&at).and_then(|r| r.leaving.as_mut()) {
                    (leaving.conn, leaving.again_ns) = (None, cx.now + ASK_AGAIN_NS / 2);
                }
            }
        }
    }

    /// Gives a query up by a call on this connection.
    fn tell_leaving_on(&mut self, cx: &mut Context, at: Attempt, conn: u64) {
        let Some(run) = self.runs.get_mut(&at) else { return };
        let path = format!("/o/{}", run.ask.name);
        let Some(leaving) = &mut run.leaving else { return };
        leaving.conn = Some(conn);
        if let Some(line) = self.lines.get_mut(&conn) {
            line.role = Role::GiveUp(at);
        }
        self.call(cx, conn, "DELETE", &path, "", b"");
        self.written(cx, conn);
    }

    /// Whether a connection that is up still waits for a query's news. A process that has gone resets it, so
    /// while it stands a refused connection says only that the engine takes no new ones: it may be draining, or
    /// hold as many as it can.
    fn heard_on(&self, at: Attempt) -> bool {
        let conn = self.runs.get(&at).and_then(|r| r.conn);
        conn.and_then(|conn| self.lines.get(&conn)).is_some_and(|l| l.up)
    }

    /// Takes a whole answer; its connection is absent where it can carry nothing more.
    fn answer(&mut self, cx: &mut Context, conn: Option<u64>, role: Role, head: Head, body: Vec<u8>) {
        match role {
            Role::Idle => {}
            Role::Discard => self.rest(cx, conn),
            // Guards against an answer to an earlier call that is taken for this one's: the attempt would count
            // as given up while it runs.
            Role::GiveUp(_) | Role::Rank(_) if !matches!(head.status, 204 | 500) => {
                self.spoilt(cx, conn, role, "no answer to this call");
            }
            Role::GiveUp(at) => {
                self.rest(cx, conn);
                // Guards against a second copy: an engine that stood still may read this call before the one that starts the
                // query, and take that up afterwards. It is told once more, when it has had time to read that one.
                let waits = self.heard_on(at);
                let Some(run) = self.runs.get_mut(&at) else { return };
                match run.leaving.as_mut().filter(|leaving| !run.known && (waits || !leaving.told)) {
                    Some(leaving) => {
                        (leaving.conn, leaving.told) = (None, true);
                        leaving.again_ns = if waits { u64::MAX } else { cx.now + ASK_AGAIN_NS / 2 };
                    }
                    None => self.end(cx, at, EndReason::GivenUp),
                }
            }
            Role::Rank(at) => {
                self.runs.entry(at).and_modify(|r| r.ranking = false);
                self.rest(cx, conn);
                self.tell_rank(cx, at);
            }
            Role::Post(at) | Role::Ask(at) => {
                let Some(run) = self.runs.get_mut(&at) else { return self.rest(cx, conn) };
                // Page 0 tells how many there are; a page that does not is another call's.
                let rows = head.status == 200;
                if rows && (head.pages.is_none_or(|n| n == 0) || head.page.is_some() || !whole_rows(&body)) {
                    return self.spoilt(cx, conn, role, "no first page");
                }
                // Guards against a second copy: an engine that stood still may take a query up that it did not know just now. It
                // is asked once more, when it has had time to read the call that starts it.
                if head.status == 500 && std::mem::take(&mut run.stood_still) && run.leaving.is_none() {
                    (run.conn, run.again_ns) = (None, cx.now + ASK_AGAIN_NS / 2);
                    return self.rest(cx, conn);
                }
                let first = !std::mem::replace(&mut run.known, true);
                (run.whole, run.breaks, run.stood_still) = (true, 0, false);
                run.report = head.report.or(run.report);
                match (head.status, head.never_ran) {
                    (202, _) => {
                        if let Some(note) = head.note {
                            cx.router.note(at, note);
                        }
                        // Guards against an end that was read before the start: it is told anew behind that.
                        let told = run.leaving.as_mut().filter(|_| first).and_then(|l| l.conn.take());
                        if let Some(line) = told.and_then(|conn| self.lines.get_mut(&conn)) {
                            line.role = Role::Discard;
                        }
                        self.ask(cx, at, conn);
                        self.tell_rank(cx, at);
                    }
                    (200, _) => {
                        (run.pages, run.next_page, run.rows) = (head.pages.unwrap_or(1), 1, body);
                        self.page_or_end(cx, at, conn);
                    }
                    (503, true) => self.over(cx, at, conn, EndReason::Full),
                    (504, true) => self.over(cx, at, conn, EndReason::Over),
                    (500, _) => self.over(cx, at, conn, EndReason::EngineError),
                    _ => self.spoilt(cx, conn, role, "no answer that the protocol knows"),
                }
            }
            Role::Page(at, number) => {
                let Some(run) = self.runs.get_mut(&at) else { return self.rest(cx, conn) };
                if head.status == 500 {
                    return self.over(cx, at, conn, EndReason::EngineError);
                }
                let fits = head.status == 200 && head.page == Some(number) && whole_rows(&body);
                if !fits || run.rows.len() + body.len() > RESULT_MOST {
                    return self.spoilt(cx, conn, role, "another page");
                }
                run.report = head.report.or(run.report);
                run.rows.extend_from_slice(&body);
                (run.next_page, run.breaks, run.spoilt) = (run.next_page + 1, 0, 0);
                self.page_or_end(cx, at, conn);
            }
        }
    }

    fn page_or_end(&mut self, cx: &mut Context, at: Attempt, conn: Option<u64>) {
        let Some(run) = self.runs.get(&at) else { return };
        if run.next_page >= run.pages {
            self.over(cx, at, conn, EndReason::Served);
        } else {
            self.ask(cx, at, conn);
        }
    }

    fn over(&mut self, cx: &mut Context, at: Attempt, conn: Option<u64>, ending: EndReason) {
        self.rest(cx, conn);
        // Guards against a cancel that counts as the engine's failure: the call that waits for news is answered so
        // once the engine has given the query up, before the DELETE's own answer.
        let given_up =
            ending == EndReason::EngineError && self.runs.get(&at).is_some_and(|r| r.leaving.is_some());
        self.end(cx, at, if given_up { EndReason::GivenUp } else { ending });
    }

    /// An answer can't be read, or can't be this call's: its connection is of no use any more. The engine still
    /// knows the query, so the answer is fetched again on a new one before it is called failed.
    fn spoilt(&mut self, cx: &mut Context, conn: Option<u64>, role: Role, fault: &str) {
        debug!("an engine's answer to {role:?}: {fault}");
        cx.router.counters.spoilt += 1;
        conn.into_iter().for_each(|conn| self.close(cx, conn));
        if let Role::Post(at) | Role::Ask(at) | Role::Page(at, _) = role {
            let Some(run) = self.runs.get_mut(&at) else { return };
            // It has answered, so it has the query.
            (run.spoilt, run.whole) = (run.spoilt + 1, true);
            if run.spoilt > SPOILT_MOST {
                return self.end(cx, at, EndReason::Garbled);
            }
        }
        self.broken(cx, role, true, EndReason::Garbled);
    }

    /// A connection is over.
    fn lost(&mut self, cx: &mut Context, conn: u64, ending: EndReason) {
        let Some(line) = self.lines.get(&conn) else { return };
        let (role, up) = (line.role, line.up);
        self.targets.broke(cx.now, line.engine, up, ending);
        self.close(cx, conn);
        self.broken(cx, role, up, ending);
    }

    /// What the end of a connection means depends on what it was used for.
    fn broken(&mut self, cx: &mut Context, role: Role, up: bool, ending: EndReason) {
        debug!("{role:?}: connection {} ended {ending:?}", if up { "that was up" } else { "not yet up" });
        match role {
            Role::Idle | Role::Discard => {}
            Role::Rank(at) => {
                self.runs.entry(at).and_modify(|r| r.ranking = false);
            }
            Role::GiveUp(at) => {
                if !up && ending == EndReason::Refused && !self.heard_on(at) {
                    return self.end(cx, at, EndReason::Abandoned);
                }
                let asked_ns = self.runs.get(&at).map_or(0, |r| r.asked_ns);
                if cx.now >= asked_ns + FORGOTTEN_NS {
                    return self.end(cx, at, EndReason::Abandoned);
                }
                if let Some(leaving) = self.runs.get_mut(&at).and_then(|r| r.leaving.as_mut()) {
                    (leaving.conn, leaving.again_ns) =
                        (None, if up { cx.now } else { cx.now + ASK_AGAIN_NS / 2 });
                }
            }
            Role::Post(at) => {
                let Some(run) = self.runs.get_mut(&at) else { return };
                run.conn = None;
                if let Some(leaving) = &mut run.leaving {
                    leaving.again_ns = leaving.again_ns.min(cx.now + ASK_AGAIN_NS / 2);
                    return;
                }
                let again = run.starts < STARTS_MOST;
                match ending {
                    EndReason::Reset if !up && !again => self.end(cx, at, EndReason::Refused),
                    EndReason::Reset if !up => self.post(cx, at, true),
                    _ if !up => self.end(cx, at, ending),
                    // Guards against a connection that closed as the call was written to it: it never ran.
                    _ if !run.whole && again => self.post(cx, at, true),
                    _ if !run.whole => self.end(cx, at, EndReason::Unsent),
                    _ => {
                        run.asked_ns = cx.now;
                        self.again(cx, at);
                    }
                }
            }
            Role::Ask(at) | Role::Page(at, _) => {
                let Some(run) = self.runs.get_mut(&at) else { return };
                run.conn = None;
                if run.leaving.is_some() {
                    return;
                }
                if !up && ending == EndReason::Refused {
                    // The process is gone, and the query with it: it may have run.
                    self.end(cx, at, EndReason::Cut);
                } else if !up && ending != EndReason::Reset {
                    run.again_ns = cx.now + ASK_AGAIN_NS;
                } else {
                    self.again(cx, at);
                }
            }
        }
    }

    /// A query belongs to no connection: after a broken one it is asked for on another.
    fn again(&mut self, cx: &mut Context, at: Attempt) {
        let Some(run) = self.runs.get_mut(&at) else { return };
        run.breaks += 1;
        if run.breaks > 1 {
            run.again_ns = cx.now + ASK_AGAIN_NS;
        } else {
            self.ask(cx, at, None);
        }
    }
}

impl Backend for HttpEngines {
    fn set_openings(&mut self, openings: Option<(Openings, u64)>) {
        self.targets.set_openings(openings);
    }

    fn change(&mut self, cx: &mut Context, change: &Change) {
        let (runs, lines) = (&self.runs, &self.lines);
        self.targets.change(change, |id| {
            runs.values().any(|r| r.engine == id) || lines.values().any(|l| l.engine == id)
        });
        self.take_back_unbegun(cx, |targets, run| !targets.serves(run.engine));
    }

    fn start(&mut self, cx: &mut Context, start: Start) {
        let run = Run {
            engine: start.engine,
            ask: start.ask,
            class: start.class,
            timeout_ns: start.timeout_ns,
            once: start.once,
            begin_by_ns: start.begin_by_ns,
            whole: false,
            known: false,
            stood_still: false,
            conn: None,
            asked_ns: cx.now,
            again_ns: 0,
            breaks: 0,
            starts: 0,
            spoilt: 0,
            pages: 0,
            next_page: 0,
            rows: Vec::new(),
            report: None,
            priority: start.priority,
            told_priority: start.priority,
            ranking: false,
            leaving: None,
        };
        self.runs.insert(start.attempt, run);
        self.post(cx, start.attempt, false);
    }

    fn give_up(&mut self, cx: &mut Context, at: Attempt) {
        self.withdraw(cx, at);
        let Some(run) = self.runs.get_mut(&at).filter(|r| r.leaving.is_none()) else { return };
        run.leaving = Some(Leaving { conn: None, again_ns: cx.now, told: false });
        self.tell_leaving(cx, at);
    }

    fn withdraw(&mut self, cx: &mut Context, at: Attempt) {
        if self.runs.get(&at).is_some_and(|r| !r.whole) {
            self.take_back(cx, at, EndReason::Withdrawn);
        }
    }

    fn flushed(&mut self, cx: &mut Context, conn: u64) {
        self.written(cx, conn);
    }

    fn rank(&mut self, cx: &mut Context, at: Attempt, priority: u8) {
        self.runs.entry(at).and_modify(|r| r.priority = priority);
        self.tell_rank(cx, at);
    }

    fn ready(&mut self, cx: &mut Context, conn: u64) {
        let look = cx.net.service(conn);
        if let Some(line) = self.lines.get_mut(&conn) {
            if look.up && !line.up {
                self.targets.came_up(line.engine);
            }
            line.up |= look.up;
        }
        self.written(cx, conn);
        if !cx.net.input(conn).is_empty() && self.lines.get(&conn).is_some_and(|l| l.role == Role::Idle) {
            // Guards against bytes that nobody asked for: they would stand before the next call's answer.
            return self.close(cx, conn);
        }
        while let Some(role) = self.lines.get(&conn).map(|l| l.role) {
            match read_answer(cx.net.input(conn)) {
                Ok(None) => break,
                Ok(Some((head, from, to))) => {
                    let (body, behind) = (&cx.net.input(conn)[from..to], &cx.net.input(conn)[to..]);
                    // Guards against a length told too short: what is behind a whole answer may be the rest of
                    // it, unless it starts like an answer of its own.
                    if !behind.is_empty() && !behind.starts_with(b"HTTP/1.1 ") && !body.is_empty() {
                        return self.spoilt(cx, Some(conn), role, "bytes behind an answer");
                    }
                    let (body, last) = (body.to_vec(), head.closes || !behind.is_empty());
                    cx.net.consume(conn, to);
                    if last {
                        // Guards against bytes behind an answer that are read as the next one's: it has no next.
                        self.close(cx, conn);
                        return self.answer(cx, None, role, head, body);
                    }
                    self.answer(cx, Some(conn), role, head, body);
                }
                Err(fault) => return self.spoilt(cx, Some(conn), role, &fault),
            }
        }
        if let Some(ending) = look.ended {
            self.lost(cx, conn, ending);
        }
    }

    fn tick(&mut self, cx: &mut Context) {
        let (mut late, mut stale) = (Vec::new(), Vec::new());
        for (conn, line) in &self.lines {
            let age = cx.now.saturating_sub(line.since_ns);
            match line.role {
                Role::Idle if age > self.idle_ns.min(REUSE_NS) => stale.push(*conn),
                Role::Idle => {}
                _ if !line.up && age > self.connect_ns => late.push((*conn, EndReason::Unreachable)),
                _ if line.up && age > SILENT_NS => late.push((*conn, EndReason::Cut)),
                _ => {}
            }
        }
        stale.sort_unstable();
        late.sort_unstable();
        stale.into_iter().for_each(|conn| self.close(cx, conn));
        for (conn, ending) in late {
            if let Some(Line { role: Role::Post(at), up: true, .. }) = self.lines.get(&conn) {
                self.runs.entry(*at).and_modify(|r| r.stood_still = r.whole);
            }
            self.lost(cx, conn, ending);
        }
        // Guards against a repeat that goes out, as its connection comes up late, when engines would run it again.
        let now = cx.now;
        self.take_back_unbegun(cx, |_, run| run.begin_by_ns.is_some_and(|by| now > by));
        // Guards against waiting for a query on an engine that is cut off: since it could last have been asked it
        // has ended the query by itself, if it ever took it up.
        let over = |r: &Run| r.whole && r.leaving.is_none() && cx.now > r.asked_ns + FORGOTTEN_NS;
        let forgotten: Vec<Attempt> = self.runs.iter().filter(|(_, r)| over(r)).map(|(at, _)| *at).collect();
        forgotten.into_iter().for_each(|at| self.end(cx, at, EndReason::Cut));
        let due: Vec<(Attempt, bool)> = self
            .runs
            .iter()
            .filter_map(|(at, run)| match &run.leaving {
                None => (run.conn.is_none() && cx.now >= run.again_ns).then_some((*at, false)),
                // Guards against a second copy: a call that was written to a machine that stands still for a while has
                // not come, whatever the socket took. Only its answer, or time, says that the query is over.
                Some(l) => (l.conn.is_none() && cx.now >= l.again_ns || cx.now > run.asked_ns + FORGOTTEN_NS)
                    .then_some((*at, true)),
            })
            .collect();
        for (at, leaving) in due {
            let asked_ns = self.runs.get(&at).map_or(0, |r| r.asked_ns);
            match leaving {
                false => self.ask(cx, at, None),
                true if cx.now > asked_ns + FORGOTTEN_NS => self.end(cx, at, EndReason::Abandoned),
                true => self.tell_leaving(cx, at),
            }
        }
    }
}
