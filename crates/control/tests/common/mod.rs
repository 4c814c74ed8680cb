//! Test harness: default settings, requests and outcomes, and a controller with a manual clock.
#![allow(dead_code)]

use marljunction_control::interface::*;
use marljunction_control::Controller;

pub const MS: u64 = 1_000_000;
pub const S: u64 = 1_000_000_000;
pub const T0: u64 = 1_000 * S;

/// Settings with a light class (1 thread) and a heavy one (3 threads), and engines of 10 cores.
pub fn settings() -> Settings {
    let class = |aim_ms: u64, deadline_ms: u64, threads: f64| ClassSettings {
        target_latency_ns: aim_ms * MS,
        deadline_ns: deadline_ms * MS,
        worth: 1.0,
        threads,
        ..ClassSettings::default()
    };
    Settings {
        router_count: 1,
        classes: vec![class(1_000, 4_000, 1.0), class(4_000, 20_000, 3.0)],
        kinds: vec![KindSettings { cores: Some(10.0), memory_mb: Some(10_000.0) }],
        max_attempts: Some(5),
        max_retry_after_ns: Some(2 * S),
        may_cancel: true,
        may_probe: true,
        ..Settings::default()
    }
}

pub fn entry(engine: u64) -> EngineEntry {
    EngineEntry { engine: EngineId(engine), kind: Some(KindId(0)), weight: 1.0, ..EngineEntry::default() }
}

pub fn request(id: u64, class: usize, work_ms: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        time_left_ns: [4 * S, 20 * S][class.min(1)],
        work_estimate_ns: (work_ms > 0).then_some(work_ms * MS),
        ..Request::default()
    }
}

pub fn outcome(id: u64, attempt: u32, engine: u64, status: Status, latency_ms: u64) -> Outcome {
    Outcome {
        request: RequestId(id),
        attempt,
        engine: EngineId(engine),
        status,
        latency_ns: latency_ms * MS,
        concluded: status == Status::Done,
        work_ns: None,
        memory_mb: None,
        may_run_until_ns: 0,
        report: None,
    }
}

/// A controller and the current time.
pub struct Harness {
    pub c: Controller,
    pub now: u64,
}

impl Harness {
    pub fn new(settings: Settings, engines: &[u64]) -> Harness {
        let list = engines.iter().map(|e| entry(*e)).collect();
        Harness::with(settings, list)
    }
    pub fn with(settings: Settings, list: Vec<EngineEntry>) -> Harness {
        let mut w = Harness { c: Controller::new(settings, 7), now: T0 };
        w.on(Event::Membership(MembershipKind::Cached, list));
        w
    }
    pub fn on(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.c.handle(self.now, event, &mut out);
        out
    }
    pub fn at(&mut self, ms: u64) -> &mut Harness {
        self.now = T0 + ms * MS;
        self
    }
    pub fn send_request(&mut self, r: Request) -> Vec<Action> {
        self.on(Event::Arrival(r))
    }
    pub fn finish(&mut self, o: Outcome) -> Vec<Action> {
        self.on(Event::Outcome(o))
    }
    /// Sends a request and completes it on the chosen engine.
    pub fn serve(&mut self, r: Request, latency_ms: u64, work_ms: Option<u64>) {
        let sent_to = sent_to(&self.send_request(r)).expect("sent");
        self.now += latency_ms * MS;
        let mut o = outcome(r.id.0, 0, sent_to, Status::Done, latency_ms);
        o.work_ns = work_ms.map(|w| w * MS);
        self.finish(o);
    }
}

/// The engine of the first send, if any.
pub fn sent_to(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        Action::Send { engine, .. } => Some(engine.0),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

pub fn cancelled(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Cancel { .. }))
}

/// Requested timers as delay and token, earliest first.
pub fn timers(actions: &[Action]) -> Vec<(u64, TimerToken)> {
    let mut all: Vec<_> = actions
        .iter()
        .filter_map(|a| match a {
            Action::SetTimer { after_ns, token } => Some((*after_ns, *token)),
            _ => None,
        })
        .collect();
    all.sort();
    all
}
