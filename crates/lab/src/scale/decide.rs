//! What the decision module costs a request, by the count of engines: processor time of its decision, and of its whole life.

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

/// Engines that decisions are measured with, and requests with so many (full, quick; count).
const FEW: (u64, [u64; 2]) = (8, [50_000, 20_000]);
const MANY: (u64, [u64; 2]) = (30_000, [300, 60]);
/// Requests before the ones that count.
const WARM_UP: u64 = 10;
/// Time between requests (ns): as often as a router of the fleet to design for is asked.
const REQUEST_INTERVAL_NS: u64 = 1_000_000_000 / 1_094;
const START_NS: u64 = 1 << 60;
const MEMORY_MB: f64 = 512.0;

/// Processor time of a request in the module, from its arrival to its sending (us): the median; and to the end of its attempt: the
/// mean.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    /// From arrival to sending (us).
    pub decide_us: f64,
    /// From arrival to the end of the attempt (us).
    pub request_us: f64,
}

/// The same with eight engines and with thirty thousand.
#[derive(Clone, Copy, Debug)]
pub struct Decisions {
    /// With eight engines.
    pub with_8: Decision,
    /// With thirty thousand.
    pub with_30000: Decision,
}

/// Measures both.
///
/// # Errors
/// Where the settings are refused.
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
