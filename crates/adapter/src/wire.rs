//! Translates between the simulator's line protocol and the decision module's events and actions.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddrV4;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;

use marljunction_control::interface::*;
use marljunction_control::Controller;
use marljunction_settings::{index_of, read_settings, Names};

/// Error in a line of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Line number, from 1.
    pub line: u64,
    /// Description of the error.
    pub message: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for WireError {}

struct EngineRow {
    engine: EngineId,
    zone: String,
    kind: String,
    cell: Option<u64>,
    state: EngineState,
    weight: f64,
    started_ns: Option<u64>,
}

struct Instance {
    controller: Controller,
    names: Names,
}

/// Hosts the controller instances of one process; they share the numbered engine lists only.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Vec<EngineRow>>,
    open_list: Option<(u64, usize)>,
    target_instance: Option<String>,
    now_ns: Option<u64>,
    line: u64,
    reply: String,
    reply_instance: Option<String>,
    actions: Vec<Action>,
}

/// The fields of one line, in order.
struct Fields<'a> {
    parts: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn next(&mut self) -> Result<&'a str, String> {
        self.parts.next().ok_or_else(|| "too few parts".into())
    }
    fn text(&mut self) -> Result<Option<&'a str>, String> {
        Ok(Some(self.next()?).filter(|p| *p != "-"))
    }
    fn opt<T: std::str::FromStr>(&mut self) -> Result<Option<T>, String> {
        match self.text()? {
            None => Ok(None),
            Some(p) => p.parse().map(Some).map_err(|_| format!("bad number {p:?}")),
        }
    }
    fn num<T: std::str::FromStr>(&mut self) -> Result<T, String> {
        self.opt()?.ok_or_else(|| "a number is missing".into())
    }
    fn real(&mut self) -> Result<Option<f64>, String> {
        match self.opt::<f64>()? {
            Some(v) if !v.is_finite() => Err(format!("bad number {v}")),
            other => Ok(other),
        }
    }
    fn engine(&mut self) -> Result<EngineId, String> {
        let text = self.next()?;
        let addr: SocketAddrV4 = text.parse().map_err(|_| format!("bad executor {text:?}"))?;
        Ok(EngineId((u64::from(u32::from(*addr.ip())) << 16) | u64::from(addr.port())))
    }
    fn status(&mut self) -> Result<Status, String> {
        Ok(match self.next()? {
            "done" => Status::Done,
            "err" => Status::Error,
            "busy" => Status::Busy,
            "etimedout" => Status::TimedOut,
            "econnrefused" => Status::Refused,
            "econnreset" => Status::Reset,
            "ecanceled" => Status::Cancelled,
            "skipped" => Status::Skipped,
            other => return Err(format!("unknown outcome {other:?}")),
        })
    }
    fn flag(&mut self) -> Result<bool, String> {
        match self.next()? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(format!("bad bool {other:?}")),
        }
    }
    fn report(&mut self) -> Result<Option<LoadReport>, String> {
        let Some(text) = self.text()?.filter(|t| !t.is_empty()) else { return Ok(None) };
        let mut report = LoadReport::default();
        for pair in text.split(',') {
            let (name, value) = pair.split_once(':').ok_or_else(|| format!("bad report {pair:?}"))?;
            let slot = match name {
                "rif" => &mut report.in_flight,
                "q" => &mut report.queued,
                "busy" => &mut report.busy_share,
                "x0" => &mut report.memory_share,
                "x1" => &mut report.disk_share,
                _ => continue,
            };
            let value: f64 = value.parse().map_err(|_| format!("bad report value {pair:?}"))?;
            *slot = Some(value).filter(|v| v.is_finite());
        }
        Ok(Some(report))
    }
    fn end(mut self) -> Result<(), String> {
        match self.parts.next() {
            None => Ok(()),
            Some(_) => Err("too many parts".into()),
        }
    }
}

fn address(engine: EngineId) -> SocketAddrV4 {
    SocketAddrV4::new(((engine.0 >> 16) as u32).into(), engine.0 as u16)
}

impl Host {
    /// Creates a host without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles one line. Returns the reply at the end of a batch; it is to be written and flushed.
    ///
    /// # Errors
    /// If the line is malformed or not allowed at this point.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        self.line += 1;
        self.read(line).map_err(|message| WireError { line: self.line, message })
    }

    fn read(&mut self, line: &str) -> Result<Option<String>, String> {
        let mut f = Fields { parts: line.split(' ') };
        let verb = f.next()?;
        if let Some((list, missing)) = self.open_list {
            if verb != "ROW" {
                return Err(format!("list {list} lacks {missing} rows"));
            }
        }
        if self.now_ns.is_none() && verb != "FRAME" {
            return Err(format!("{verb:?} outside a batch"));
        }
        match verb {
            "FRAME" => {
                if self.now_ns.is_some() {
                    return Err("FRAME inside a batch".into());
                }
                self.now_ns = Some(f.num()?);
                f.end()?;
            }
            "FLUSH" => {
                f.end()?;
                (self.now_ns, self.target_instance, self.reply_instance) = (None, None, None);
                let mut reply = std::mem::take(&mut self.reply);
                reply.push_str("OK\n");
                return Ok(Some(reply));
            }
            "TARGET_INSTANCE" => {
                self.target_instance = Some(f.next()?.to_owned());
                f.end()?;
            }
            "DIRECTORY" => {
                let list: u64 = f.num()?;
                let rows: usize = f.num()?;
                f.end()?;
                self.lists.insert(list, Vec::new());
                self.open_list = (rows > 0).then_some((list, rows));
            }
            "ROW" => self.read_row(f)?,
            "POWER_ON" => {
                let name = self.target_instance.clone().ok_or("no instance named")?;
                let seed: u64 = f.num()?;
                let rest: Vec<&str> = f.parts.collect();
                let (settings, names) = read_settings(&rest.join(" "))?;
                self.instances.insert(name, Instance { controller: Controller::new(settings, seed), names });
            }
            "DETACH" => {
                f.end()?;
                let name = self.target_instance.as_ref().ok_or("no instance named")?;
                self.instances.remove(name).ok_or_else(|| format!("unknown instance {name}"))?;
            }
            _ => self.read_event(verb, f)?,
        }
        Ok(None)
    }

    fn read_row(&mut self, mut f: Fields) -> Result<(), String> {
        let (list, missing) = self.open_list.ok_or("ROW outside a list")?;
        let row = EngineRow {
            engine: f.engine()?,
            zone: f.next()?.to_owned(),
            kind: f.next()?.to_owned(),
            cell: f.opt()?,
            state: match f.next()? {
                "in_service" => EngineState::Ready,
                "terminating" => EngineState::Draining,
                "terminated" => EngineState::Gone,
                other => return Err(format!("unknown mode {other:?}")),
            },
            weight: f.real()?.unwrap_or_default(),
            started_ns: f.opt()?.filter(|s: &u64| *s > 0),
        };
        f.end()?;
        self.lists.entry(list).or_default().push(row);
        self.open_list = (missing > 1).then_some((list, missing - 1));
        Ok(())
    }

    fn read_event(&mut self, verb: &str, mut f: Fields) -> Result<(), String> {
        let name = self.target_instance.clone().ok_or("no instance named")?;
        let now_ns = self.now_ns.ok_or("no clock")?;
        let instance =
            self.instances.get_mut(&name).ok_or_else(|| format!("instance {name} is not running"))?;
        let event = match verb {
            "REGISTRY" => {
                let kind = match f.next()? {
                    "incr" => MembershipKind::Delta,
                    "total" => MembershipKind::Full,
                    "warm_copy" => MembershipKind::Cached,
                    "lost" => MembershipKind::Failed,
                    other => return Err(format!("unknown form {other:?}")),
                };
                f.opt::<u64>()?;
                let list = f.opt::<u64>()?;
                let mut entries = Vec::new();
                if kind != MembershipKind::Failed {
                    let list = list.ok_or("REGISTRY names no list")?;
                    let rows = self.lists.get(&list).ok_or_else(|| format!("no list {list}"))?;
                    entries.extend(rows.iter().map(|r| EngineEntry {
                        engine: r.engine,
                        zone: index_of(&instance.names.zones, &r.zone).map(ZoneId),
                        kind: index_of(&instance.names.kinds, &r.kind).map(KindId),
                        cell: r.cell,
                        state: r.state,
                        weight: r.weight,
                        started_ns: r.started_ns,
                    }));
                }
                Event::Membership(kind, entries)
            }
            "REQ" => read_request(&mut f, &instance.names)?,
            "FIRST" => {
                let (id, attempt) = (f.num()?, f.num()?);
                f.engine()?;
                f.opt::<u64>()?;
                Event::Started(RequestId(id), attempt)
            }
            "CHANGE" => {
                let (id, attempt) = (f.num()?, f.num()?);
                f.engine()?;
                let kind: u64 = f.num()?;
                let value = f.real()?.unwrap_or_default();
                let update = match kind {
                    1 => AttemptUpdate::Progress(value),
                    2 => AttemptUpdate::Spilling(value),
                    3 => AttemptUpdate::Waiting,
                    _ => return f.end(),
                };
                Event::Progress(RequestId(id), attempt, update)
            }
            "OUTCOME" => {
                let request = RequestId(f.num()?);
                let (attempt, engine, status) = (f.num()?, f.engine()?, f.status()?);
                let latency_ns = f.opt()?.unwrap_or_default();
                let concluded = f.flag()?;
                let stats: u64 = f.opt()?.unwrap_or_default();
                Event::Outcome(Outcome {
                    request,
                    attempt,
                    engine,
                    status,
                    latency_ns,
                    concluded,
                    work_ns: (stats > 0).then_some((stats / 4096) * 1_000_000),
                    may_run_until_ns: 0,
                    memory_mb: (stats > 0).then_some((stats % 4096) as f64 * 4.0),
                    report: f.report()?,
                })
            }
            "CHECK_RESULT" => {
                let (engine, status) = (f.engine()?, f.status()?);
                f.opt::<u64>()?;
                Event::Probed(engine, status, f.report()?)
            }
            "MEMO" => {
                let from = f.num()?;
                let text = f.text()?.unwrap_or_default();
                let payload = STANDARD.decode(text).map_err(|e| format!("bad base64: {e}"))?;
                Event::PeerMessage(from, payload)
            }
            "LEFT" => Event::Left(RequestId(f.num()?)),
            "WAKEUP" => Event::Timer(TimerToken(f.num()?)),
            other => return Err(format!("unknown message {other:?}")),
        };
        f.end()?;
        instance.controller.handle(now_ns, event, &mut self.actions);
        if !self.actions.is_empty() && self.reply_instance.as_ref() != Some(&name) {
            let _ = writeln!(self.reply, "SPEAKING {name}");
            self.reply_instance = Some(name);
        }
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, &action);
        }
        Ok(())
    }
}

fn read_request(f: &mut Fields, names: &Names) -> Result<Event, String> {
    let id = RequestId(f.num()?);
    let data_set = f.opt()?;
    let time_left_ns = f.opt::<i64>()?.map_or(0, |t| t.max(0) as u64);
    let class = f.next()?;
    let class = index_of(&names.classes, class).ok_or_else(|| format!("unknown class {class:?}"))?;
    let key = f.opt()?;
    let memory_mb = f.real()?;
    let tenant = f.text()?.and_then(|t| index_of(&names.tenants, t)).map(TenantId);
    let work: Option<u64> = f.opt()?;
    let flags: u64 = f.opt()?.unwrap_or_default();
    Ok(Event::Arrival(Request {
        waited_ns: 0,
        id,
        class: ClassId(class),
        tenant,
        time_left_ns,
        key,
        turn: KeyTurn::default(),
        data_set,
        work_estimate_ns: work.filter(|w| *w > 0 && flags & 1 == 1),
        memory_estimate_mb: memory_mb.filter(|m| *m > 0.0),
        is_repeat: flags & 2 == 2,
    }))
}

fn write_action(reply: &mut String, action: &Action) {
    let _ = match action {
        Action::Send { request, engine, timeout_ns } => {
            writeln!(reply, "SUBMIT_TO {} {} {timeout_ns}", request.0, address(*engine))
        }
        Action::Cancel { request, attempt } => writeln!(reply, "WITHDRAW {} {attempt}", request.0),
        Action::Refuse { request, retry_after_ns } => match retry_after_ns {
            Some(after) => writeln!(reply, "DENY {} {after}", request.0),
            None => writeln!(reply, "DENY {} -", request.0),
        },
        Action::Fail(request) => writeln!(reply, "FAIL {}", request.0),
        Action::SetTerms { request, memory_mb, priority } => {
            writeln!(reply, "GRANT_AND_RANK {} {memory_mb} {priority}", request.0)
        }
        Action::SetTimer { after_ns, token } => writeln!(reply, "DEFER {after_ns} {}", token.0),
        Action::Probe(engine) => writeln!(reply, "ASK_LOAD {}", address(*engine)),
        Action::SendToPeer(peer, payload) => {
            let to = peer.map_or_else(|| "-1".to_owned(), |p| p.to_string());
            let data = STANDARD.encode(payload);
            writeln!(reply, "MEMO_TO {to} {}", if data.is_empty() { "-" } else { &data })
        }
        Action::Subscribe => writeln!(reply, "TRACK 1"),
        // The simulator assigns no budgets for cold engines, so there is nothing to report.
        Action::ColdSent { .. } => Ok(()),
        Action::Log(text) => writeln!(reply, "REMARK {}", text.replace(['\n', '\r'], " ")),
    };
}
