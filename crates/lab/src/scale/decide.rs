//! What the decision module costs a request, by the count of engines: its time from a request's arrival to its sending.

use std::time::Instant;

use marljunction_control::interface::{
    ClassId, EngineEntry, EngineId, EngineState, MembershipKind, TenantId,
};
use marljunction_core::ending::Ending;
use marljunction_core::statement::Statement;
use marljunction_core::{Ask, Client, Command, Router};
use marljunction_settings::read_settings;

use super::size::{median_and_worst, module_settings};
use super::ScaleError;

/// Engines that decisions are measured with (count), and requests with each (full, quick).
const FEW: u64 = 8;
const MANY: u64 = 30_000;
const REQUESTS: [u64; 2] = [400, 60];
/// Requests before the ones that count.
const WARM_UP: u64 = 10;
/// Time between requests (ns): as often as a router of the fleet to design for is asked.
const BETWEEN_NS: u64 = 1_000_000_000 / 1_094;
const FIRST_NS: u64 = 1 << 60;
const MEMORY_MB: f64 = 512.0;

/// Median time of a decision (us).
#[derive(Clone, Copy, Debug)]
pub struct Decisions {
    /// With eight engines.
    pub with_8_us: f64,
    /// With thirty thousand.
    pub with_30000_us: f64,
}

/// Measures both.
///
/// # Errors
/// Where the settings are refused.
pub fn run(quick: bool) -> Result<Decisions, ScaleError> {
    let requests = REQUESTS[usize::from(quick)];
    Ok(Decisions { with_8_us: measure(FEW, requests)?, with_30000_us: measure(MANY, requests)? })
}

fn measure(engines: u64, requests: u64) -> Result<f64, ScaleError> {
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
    router.turn(FIRST_NS, &mut commands);
    commands.clear();
    let mut times = Vec::new();
    for request in 0..requests + WARM_UP {
        let now = FIRST_NS + (request + 1) * BETWEEN_NS;
        let began = Instant::now();
        router.take(now, Client { conn: 1, call: request }, ask(request));
        router.turn(now, &mut commands);
        let took_us = began.elapsed().as_nanos() as f64 / 1e3;
        if request >= WARM_UP {
            times.push(took_us);
        }
        let started = |command: &Command| match command {
            Command::Start { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let attempts: Vec<_> = commands.drain(..).filter_map(|command| started(&command)).collect();
        for attempt in attempts {
            router.ended(attempt, Ending::Served, None, None);
        }
        router.turn(now + BETWEEN_NS / 2, &mut commands);
        commands.clear();
    }
    Ok(median_and_worst(&mut times).0)
}

fn ask(request: u64) -> Ask {
    Ask {
        name: request.to_string(),
        class: ClassId(0),
        tenant: Some(TenantId(0)),
        client: request % 64,
        time_left_ns: 4_000_000_000,
        work_estimate_ns: Some(60_000_000),
        statement: Statement::plain(b"SELECT 1 FROM orders".to_vec()),
        ..Ask::default()
    }
}
