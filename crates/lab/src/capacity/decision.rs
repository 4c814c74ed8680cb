//! Measures the decision module's processor time for a statement and for membership updates, by the
//! number of engines.

use std::collections::BTreeMap;

use marljunction_control::interface::*;
use marljunction_control::Controller;
use marljunction_settings::read_settings;
use marljunction_testkit::fleet::classes;
use marljunction_testkit::test_bed::{settings, SettingsParams};

use super::clock::timed;
use super::{repeated, series, Figures};

/// Number of engines on the list.
const ENGINES: [usize; 8] = [8, 64, 512, 2_048, 4_096, 8_192, 16_384, 30_000];
/// Interval between statements, and execution time of a statement (ns), for one router at the
/// design size.
const STATEMENT_INTERVAL_NS: u64 = 1_000_000_000 / 1_094;
const SERVICE_TIME_NS: u64 = 10_000_000;
/// Statements before the measurement, and bounds of the number of measured statements.
const WARM_UP: u64 = 30;
const MIN_STATEMENTS: u64 = 60;
const MAX_STATEMENTS: u64 = 6_000;
/// Approximate product of statements and engines in one measurement.
const STATEMENTS_TIMES_ENGINES: u64 = 1_000_000;
/// Number of zones.
const ZONES: usize = 25;
const START_NS: u64 = 1_700_000_000_000_000_000;

/// A decision module with simulated engines and timers.
struct Bench {
    controller: Controller,
    now: u64,
    next_request: u64,
    in_flight: BTreeMap<u64, (RequestId, EngineId)>,
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

/// Settings of a router of the design fleet.
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
            next_request: 0,
            in_flight: BTreeMap::new(),
            timers: BTreeMap::new(),
            serial: 0,
            sent: 0,
        };
        bench.handle_event(Event::Membership(MembershipKind::Full, list(engines)));
        bench
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        for action in actions {
            self.serial += 1;
            match action {
                Action::Send { request, engine, .. } => {
                    self.sent += 1;
                    self.in_flight
                        .insert(self.now + SERVICE_TIME_NS + self.serial % 1_000, (request, engine));
                }
                Action::SetTimer { after_ns, token } => {
                    self.timers.insert((self.now + after_ns, self.serial), token);
                }
                _ => {}
            }
        }
    }

    fn advance_to(&mut self, end: u64) {
        loop {
            let completion_ns = self.in_flight.keys().next().copied().unwrap_or(u64::MAX);
            let timer = self.timers.keys().next().copied().unwrap_or((u64::MAX, 0));
            if completion_ns.min(timer.0) > end {
                break;
            }
            self.now = self.now.max(completion_ns.min(timer.0));
            if timer.0 < completion_ns {
                if let Some(token) = self.timers.remove(&timer) {
                    self.handle_event(Event::Timer(token));
                }
            } else if let Some((request, engine)) = self.in_flight.remove(&completion_ns) {
                self.handle_event(Event::Outcome(outcome(request, engine)));
            }
        }
        self.now = end;
    }

    /// Runs statements at the rate of the design size.
    fn statements(&mut self, count: u64) {
        for _ in 0..count {
            self.advance_to(self.now + STATEMENT_INTERVAL_NS);
            self.next_request += 1;
            let request = Request {
                id: RequestId(self.next_request),
                class: ClassId(0),
                time_left_ns: 4_000_000_000,
                work_estimate_ns: Some(60_000_000),
                ..Request::default()
            };
            self.handle_event(Event::Arrival(request));
        }
    }
}

fn outcome(request: RequestId, engine: EngineId) -> Outcome {
    Outcome {
        request,
        attempt: 0,
        engine,
        status: Status::Done,
        latency_ns: SERVICE_TIME_NS,
        concluded: true,
        may_run_until_ns: 0,
        work_ns: None,
        memory_mb: None,
        report: None,
    }
}

/// Processor time per statement (us), including its completion and timers.
fn statement_us(settings: &Settings, engines: usize) -> Result<f64, String> {
    let mut bench = Bench::new(settings.clone(), engines);
    bench.statements(WARM_UP);
    let count = (STATEMENTS_TIMES_ENGINES / engines as u64).clamp(MIN_STATEMENTS, MAX_STATEMENTS);
    let sent_before = bench.sent;
    let (ns, ()) = timed(|| bench.statements(count));
    match bench.sent - sent_before {
        sent if sent * 10 >= count * 9 => Ok(ns as f64 / 1e3 / count as f64),
        sent => Err(format!("only {sent} of {count} statements were sent to one of {engines} engines")),
    }
}

fn full_list_us(settings: &Settings, engines: usize) -> f64 {
    let mut bench = Bench::new(settings.clone(), engines);
    let full_list = list(engines);
    let (ns, ()) = timed(|| bench.handle_event(Event::Membership(MembershipKind::Full, full_list)));
    ns as f64 / 1e3
}

/// Processor time per update of one draining engine (us).
fn change_us(settings: &Settings, engines: usize) -> f64 {
    const CHANGES: usize = 20;
    let mut bench = Bench::new(settings.clone(), engines);
    let (ns, ()) = timed(|| {
        for engine in 0..CHANGES {
            let entries = vec![entry(engine, EngineState::Draining)];
            bench.handle_event(Event::Membership(MembershipKind::Delta, entries));
        }
    });
    ns as f64 / 1e3 / CHANGES as f64
}

/// Measures the costs by the number of engines.
///
/// # Errors
/// If the module does not send enough statements, or the settings are invalid.
pub fn measure(figures: &mut Figures) -> Result<(), String> {
    let settings = fleet_settings()?;
    let statement = repeated(&ENGINES, |engines| statement_us(&settings, engines))?;
    let what = "decision module, processor time of one statement with its end and timers, at 1,094 a second";
    figures.insert("decision_us".into(), series(what, "us", "engines", statement));
    let full_lists = repeated(&ENGINES, |engines| Ok(full_list_us(&settings, engines)))?;
    let what = "decision module, processor time of the whole list told again";
    figures.insert("decision_list_us".into(), series(what, "us", "engines", full_lists));
    let change = repeated(&ENGINES, |engines| Ok(change_us(&settings, engines)))?;
    let what = "decision module, processor time of news of one engine";
    figures.insert("decision_change_us".into(), series(what, "us", "engines", change));
    Ok(())
}
