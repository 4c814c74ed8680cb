//! What the decision module takes for a statement, and for news of the engines, by the engines it knows.

use std::collections::BTreeMap;

use marljunction_control::interface::*;
use marljunction_control::Controller;
use marljunction_settings::read_settings;
use marljunction_testkit::fleet::classes;
use marljunction_testkit::test_bed::{settings, SettingsParams};

use super::clock::timed;
use super::{repeated, series, Figures};

/// Engines that the module is told of.
const ENGINES: [usize; 8] = [8, 64, 512, 2_048, 4_096, 8_192, 16_384, 30_000];
/// Statements a second, and the time that an engine takes for one (ns): those of one router at the size to design for.
const GAP_NS: u64 = 1_000_000_000 / 1_094;
const SERVED_NS: u64 = 10_000_000;
/// Statements that are passed unmeasured, and measured at least and at most (count).
const WARM_UP: u64 = 30;
const MIN_STATEMENTS: u64 = 60;
const MAX_STATEMENTS: u64 = 6_000;
/// Statements times engines of one measurement, about (count).
const WORK: u64 = 1_000_000;
/// Engines of each zone's share of the list (count of zones).
const ZONES: usize = 25;
const START_NS: u64 = 1_700_000_000_000_000_000;

/// The module with its statements that are out and its timers.
struct Bench {
    controller: Controller,
    now: u64,
    next: u64,
    out: BTreeMap<u64, (RequestId, EngineId)>,
    timers: BTreeMap<(u64, u64), TimerToken>,
    serial: u64,
    sent: u64,
}

fn entry(engine: usize, state: EngineState) -> EngineEntry {
    EngineEntry {
        engine: EngineId(engine as u64 * 0x9e37_79b9 + 1),
        zone: Some(ZoneId(engine % ZONES)),
        kind: Some(KindId(0)),
        state,
        weight: 1.0,
        ..EngineEntry::default()
    }
}

fn list(engines: usize) -> Vec<EngineEntry> {
    (0..engines).map(|engine| entry(engine, EngineState::Ready)).collect()
}

/// The settings of one router of the fleet to design for.
fn fleet_settings() -> Result<Settings, String> {
    let classes = classes();
    let site = SettingsParams {
        classes: &classes,
        tenants: &[],
        cores: 8.0,
        max_retry_after_ms: 1_000,
        routers: 3_200,
        router_index: 7,
        cold: false,
    };
    read_settings(&settings(&site).to_string()).map(|(settings, _)| settings)
}

impl Bench {
    fn new(settings: Settings, engines: usize) -> Bench {
        let mut bench = Bench {
            controller: Controller::new(settings, 7),
            now: START_NS,
            next: 0,
            out: BTreeMap::new(),
            timers: BTreeMap::new(),
            serial: 0,
            sent: 0,
        };
        bench.hear(Event::Membership(MembershipKind::Full, list(engines)));
        bench
    }

    fn hear(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in actions {
            self.serial += 1;
            match action {
                Action::Send { request, engine, .. } => {
                    self.sent += 1;
                    self.out.insert(self.now + SERVED_NS + self.serial % 1_000, (request, engine));
                }
                Action::SetTimer { after_ns, token } => {
                    self.timers.insert((self.now + after_ns, self.serial), token);
                }
                _ => {}
            }
        }
    }

    fn pass_to(&mut self, end: u64) {
        loop {
            let served = self.out.keys().next().copied().unwrap_or(u64::MAX);
            let due = self.timers.keys().next().copied().unwrap_or((u64::MAX, 0));
            if served.min(due.0) > end {
                break;
            }
            self.now = self.now.max(served.min(due.0));
            if due.0 < served {
                if let Some(token) = self.timers.remove(&due) {
                    self.hear(Event::Timer(token));
                }
            } else if let Some((request, engine)) = self.out.remove(&served) {
                self.hear(Event::Outcome(outcome(request, engine)));
            }
        }
        self.now = end;
    }

    /// Statements arrive and end at the design's rate.
    fn statements(&mut self, count: u64) {
        for _ in 0..count {
            self.pass_to(self.now + GAP_NS);
            self.next += 1;
            let request = Request {
                id: RequestId(self.next),
                class: ClassId(0),
                time_left_ns: 4_000_000_000,
                work_estimate_ns: Some(60_000_000),
                ..Request::default()
            };
            self.hear(Event::Arrival(request));
        }
    }
}

fn outcome(request: RequestId, engine: EngineId) -> Outcome {
    Outcome {
        request,
        attempt: 0,
        engine,
        status: Status::Done,
        latency_ns: SERVED_NS,
        concluded: true,
        may_run_until_ns: 0,
        work_ns: None,
        memory_mb: None,
        report: None,
    }
}

/// Microseconds a statement, with its end and the module's timers.
fn statement_us(settings: &Settings, engines: usize) -> Result<f64, String> {
    let mut bench = Bench::new(settings.clone(), engines);
    bench.statements(WARM_UP);
    let count = (WORK / engines as u64).clamp(MIN_STATEMENTS, MAX_STATEMENTS);
    let sent_before = bench.sent;
    let (ns, ()) = timed(|| bench.statements(count));
    match bench.sent - sent_before {
        sent if sent * 10 >= count * 9 => Ok(ns as f64 / 1e3 / count as f64),
        sent => Err(format!("only {sent} of {count} statements were sent to one of {engines} engines")),
    }
}

fn whole_list_us(settings: &Settings, engines: usize) -> f64 {
    let mut bench = Bench::new(settings.clone(), engines);
    let again = list(engines);
    let (ns, ()) = timed(|| bench.hear(Event::Membership(MembershipKind::Full, again)));
    ns as f64 / 1e3
}

/// Microseconds for news of one engine that drains.
fn change_us(settings: &Settings, engines: usize) -> f64 {
    const CHANGES: usize = 20;
    let mut bench = Bench::new(settings.clone(), engines);
    let (ns, ()) = timed(|| {
        for engine in 0..CHANGES {
            let news = vec![entry(engine, EngineState::Draining)];
            bench.hear(Event::Membership(MembershipKind::Delta, news));
        }
    });
    ns as f64 / 1e3 / CHANGES as f64
}

/// Measures it all.
///
/// # Errors
/// Where the module does not send what it should.
pub fn measure(figures: &mut Figures) -> Result<(), String> {
    let settings = fleet_settings()?;
    let statement = repeated(&ENGINES, |engines| statement_us(&settings, engines))?;
    let what = "decision module, processor time of one statement with its end and timers, at 1,094 a second";
    figures.insert("decision_us".into(), series(what, "us", "engines", statement));
    let whole = repeated(&ENGINES, |engines| Ok(whole_list_us(&settings, engines)))?;
    let what = "decision module, processor time of the whole list told again";
    figures.insert("decision_list_us".into(), series(what, "us", "engines", whole));
    let change = repeated(&ENGINES, |engines| Ok(change_us(&settings, engines)))?;
    let what = "decision module, processor time of news of one engine";
    figures.insert("decision_change_us".into(), series(what, "us", "engines", change));
    Ok(())
}
