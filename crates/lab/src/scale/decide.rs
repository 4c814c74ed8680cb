//! Measures the decision module's processor time per request by the number of engines: for the
//! routing decision, and until the end of the attempt.

use std::time::Duration;

use marljunction_control::interface::{
    ClassId, EngineEntry, EngineId, EngineState, MembershipKind, TenantId,
};
use marljunction_core::end_reason::EndReason;
use marljunction_core::statement::Statement;
use marljunction_core::{Attempt, Client, ClientRequest, Command, Router};
use marljunction_settings::read_settings;
use nix::time::{clock_gettime, ClockId};

use super::size::{median_and_worst, module_settings};
use super::ScaleError;

/// Number of engines, and number of requests measured with them (full, quick).
const FEW: (u64, [u64; 2]) = (8, [50_000, 20_000]);
const MANY: (u64, [u64; 2]) = (30_000, [300, 60]);
/// Requests that precede the measurement.
const WARM_UP: u64 = 10;
/// Interval between requests (ns), as for a router of the design fleet.
const REQUEST_INTERVAL_NS: u64 = 1_000_000_000 / 1_094;
const START_NS: u64 = 1 << 60;
const MEMORY_MB: f64 = 512.0;

/// Processor time of a request in the decision module.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    /// From arrival to the start of an attempt (us): median.
    pub decide_us: f64,
    /// From arrival to the end of the attempt (us): mean.
    pub request_us: f64,
}

/// Processor time of requests by the number of engines.
#[derive(Clone, Copy, Debug)]
pub struct Decisions {
    /// With 8 engines.
    pub with_8: Decision,
    /// With 30,000 engines.
    pub with_30000: Decision,
}

/// Measures requests with few and with many engines.
///
/// # Errors
/// If the settings are invalid.
pub fn run(quick: bool) -> Result<Decisions, ScaleError> {
    let of = |(engines, requests): (u64, [u64; 2])| measure(engines, requests[usize::from(quick)]);
    Ok(Decisions { with_8: of(FEW)?, with_30000: of(MANY)? })
}

fn measure(engines: u64, requests: u64) -> Result<Decision, ScaleError> {
    let (settings, _) = read_settings(&module_settings(1)).map_err(ScaleError::Settings)?;
    let mut router = Router::new(settings, 1, MEMORY_MB);
    let mut commands = Vec::new();
    let entry = |engine: u64| EngineEntry {
        engine: EngineId(engine),
        state: EngineState::Ready,
        weight: 1.0,
        ..EngineEntry::default()
    };
    router.membership(MembershipKind::Full, (1..=engines).map(entry).collect());
    router.process_events(START_NS, &mut commands);
    commands.clear();
    let mut decisions = Vec::new();
    let mut spent_us = 0.0;
    for request in 0..requests + WARM_UP {
        let now = START_NS + (request + 1) * REQUEST_INTERVAL_NS;
        let began_us = processor_us();
        router.accept_request(now, Client { conn: 1, call: request }, client_request(request));
        router.process_events(now, &mut commands);
        let decided_us = processor_us();
        let attempts: Vec<Attempt> = commands.drain(..).filter_map(started_attempt).collect();
        for attempt in attempts {
            router.ended(attempt, EndReason::Served, None, None);
        }
        router.process_events(now + REQUEST_INTERVAL_NS / 2, &mut commands);
        commands.clear();
        if request >= WARM_UP {
            decisions.push(decided_us - began_us);
            spent_us += processor_us() - began_us;
        }
    }
    let decide_us = median_and_worst(&mut decisions).0;
    Ok(Decision { decide_us, request_us: spent_us / requests as f64 })
}

/// Processor time of this thread so far (us).
fn processor_us() -> f64 {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default();
    time.as_nanos() as f64 / 1e3
}

fn started_attempt(command: Command) -> Option<Attempt> {
    match command {
        Command::Start { attempt, .. } => Some(attempt),
        _ => None,
    }
}

fn client_request(request: u64) -> ClientRequest {
    ClientRequest {
        name: request.to_string(),
        class: ClassId(0),
        tenant: Some(TenantId(0)),
        client: request % 64,
        time_left_ns: 4_000_000_000,
        work_estimate_ns: Some(60_000_000),
        statement: Statement::plain(b"SELECT 1 FROM orders".to_vec()),
        ..ClientRequest::default()
    }
}
