//! Figures of a run as one JSON object, with the measurements of each size.

use marljunction_capacity::{fit, prediction_error, size, Point};
use serde_json::{json, Map, Value};

use super::cells::CellsMeasured;
use super::decide::Decisions;
use super::faults::FaultCost;
use super::peers::PeersMeasured;
use super::size::Measured;

/// Control-plane budgets of a router, as on the capacity page: share of a core, memory (MB), bytes
/// per second.
const CORE_SHARE: f64 = size::CONTROL_CORE.value;
const MEMORY_MB: f64 = size::CONTROL_MB.value;
const BYTES_PER_S: f64 = size::CONTROL_BYTES.value;
/// Maximum time until a router is ready (s), and the bytes that the budget allows in it.
const MAX_READY_S: f64 = size::MAX_READY_TIME.value;
const MAX_READY_BYTES: f64 = BYTES_PER_S * MAX_READY_S;
/// Statements per second of a router, and its cores for them.
const STATEMENTS_PER_S: f64 = size::STATEMENTS.value / size::ROUTERS.value;
const STATEMENT_CORES: f64 = size::ROUTER_CORES.value;
/// Maximum time until a change of an engine takes effect (s).
const MAX_CHANGE_S: f64 = size::MAX_PRIMARY_CHANGE_TIME.value;

/// A figure taken from the measurements of a size.
type Figure = fn(&Measured) -> f64;

/// Returns all figures of a run.
pub fn to_json(
    smaller: &[Measured],
    largest_measured: &Measured,
    faults: &[FaultCost],
    cells: &CellsMeasured,
    peers: &[PeersMeasured],
    decisions: &Decisions,
) -> Value {
    let errors = prediction_errors(smaller, largest_measured);
    let worst_error = errors.values().filter_map(Value::as_f64).fold(0.0, f64::max);
    let worst = |of: fn(&FaultCost) -> f64| faults.iter().map(of).fold(0.0, f64::max);
    let worst_core = worst(|fault| fault.minute_core_share)
        .max(largest_measured.control_core_share + largest_measured.start_processor_ms / 1e3 / 60.0);
    let worst_bytes = worst(|fault| fault.minute_bytes_per_s).max(largest_measured.list_bytes / 60.0);
    let all_sizes: Vec<&Measured> = smaller.iter().chain([largest_measured]).collect();
    let control_mb = control_mb(&all_sizes, largest_measured);
    let peer_costs = PeerCosts::of(peers);
    let control_core = largest_measured.control_core_share + peer_costs.core_share;
    let control_bytes = largest_measured.control_bytes_per_s + peer_costs.bytes_per_s;
    let worst_core = worst_core + peer_costs.core_share;
    let worst_bytes = worst_bytes + peer_costs.bytes_per_s;
    let rows = rows(
        largest_measured,
        decisions,
        (control_core, control_bytes),
        (worst_core, worst_bytes),
        control_mb,
    );
    let largest_ratio = rows.iter().max_by(|a, b| a.1.total_cmp(&b.1));
    let mut all = json!({
        "routers": largest_measured.routers,
        "engines": largest_measured.engines,
        "prediction_error": worst_error,
        "prediction_errors": errors,
        "control_core_share": control_core,
        "control_core_share_of_list": largest_measured.control_core_share,
        "control_mb": control_mb,
        "control_bytes_per_s": control_bytes,
        "control_bytes_per_s_of_list": largest_measured.control_bytes_per_s,
        "peers_routers": peer_costs.routers,
        "peers_core_share": peer_costs.core_share,
        "peers_bytes_per_s": peer_costs.bytes_per_s,
        "peers_join_predicted_for_largest": peer_costs.predicted(peers, f64::from(largest_measured.routers)),
        "real_peak_mb": largest_measured.real.map(|real| real.peak_mb),
        "worst_control_core_share": worst_core,
        "worst_control_bytes_per_s": worst_bytes,
        "list_learned_s": largest_measured.list_learned_worst_s,
        "list_learned_p50_s": largest_measured.list_learned_p50_s,
        "list_bytes": largest_measured.list_bytes,
        "change_everywhere_p50_s": largest_measured.change_everywhere_p50_s,
        "change_everywhere_worst_s": largest_measured.change_everywhere_worst_s,
        "config_everywhere_s": null,
        "config_everywhere_reason": "nothing carries a change of configuration to another machine",
        "decision_us_8": decisions.with_8.decide_us,
        "decision_us_30000": decisions.with_30000.decide_us,
        "request_us_8": decisions.with_8.request_us,
        "request_us_30000": decisions.with_30000.request_us,
        "largest_over_budget": largest_ratio.map(|(name, ratio)| json!({"row": name, "ratio": ratio})),
        "mechanism_before": largest_measured.list_bytes / MAX_READY_BYTES,
        "mechanism_after": cells.list_bytes / MAX_READY_BYTES,
        "mechanism_after_until_all_know": cells.start_bytes / MAX_READY_BYTES,
        "mechanism_after_worst": cells.max_list_bytes as f64 / MAX_READY_BYTES,
        "processes": largest_measured.processes.max(cells.processes),
        "memory_gib": largest_measured.memory_gib.max(cells.memory_gib),
        "real_quiet_core_share": largest_measured.real.map(|real| real.quiet_core_share),
        "real_start_processor_ms": largest_measured.real.map(|real| real.start_processor_ms),
        "bytes_disagreement": largest_measured.bytes_disagreement,
    });
    if let Value::Object(all) = &mut all {
        all.extend(
            faults.iter().map(|fault| (format!("{}_all_know_s", fault.fault), json!(fault.converged_s))),
        );
        all.insert("over_budget".into(), rows.iter().map(|(n, r)| ((*n).to_owned(), json!(r))).collect());
        all.insert("faults".into(), json!(faults));
        all.insert("cells".into(), json!(cells));
        all.insert("peers".into(), json!(peers));
        all.insert("sizes".into(), json!(all_sizes));
    }
    all
}

/// Cost of communication with peers in quiet time, at the largest size measured with peers.
struct PeerCosts {
    routers: u32,
    core_share: f64,
    bytes_per_s: f64,
}

impl PeerCosts {
    fn of(peers: &[PeersMeasured]) -> PeerCosts {
        let largest_measured = peers.last().cloned().unwrap_or_default();
        PeerCosts {
            routers: largest_measured.routers,
            core_share: largest_measured.quiet_core_share,
            bytes_per_s: largest_measured.quiet_bytes_per_s,
        }
    }

    /// Predicts the cost of joining a fleet of this number of routers from the measured sizes.
    fn predicted(&self, peers: &[PeersMeasured], routers: f64) -> Value {
        let predict = |of: fn(&PeersMeasured) -> f64| {
            let points = peers.iter().filter(|p| p.join_s.is_some());
            let points: Vec<Point> =
                points.map(|p| Point { count: f64::from(p.routers), value: of(p) }).collect();
            fit(&points).ok().map(|fitted| fitted.predict(routers))
        };
        json!({
            "routers": routers,
            "join_s": predict(|p| p.join_s.unwrap_or(0.0)),
            "join_bytes": predict(|p| p.join_bytes),
            "join_processor_ms": predict(|p| p.join_processor_ms),
            "hollow_mb": predict(|p| p.hollow_mb),
        })
    }
}

/// Memory of a real router for the list (MB): its peak less the fitted value for no engines.
fn control_mb(sizes: &[&Measured], largest_measured: &Measured) -> Option<f64> {
    let point = |m: &&Measured| {
        let real = m.real.filter(|real| real.with_full_list == real.routers)?;
        Some(Point { count: m.engines as f64, value: real.peak_mb })
    };
    let points: Vec<Point> = sizes.iter().filter_map(point).collect();
    let largest = points.iter().find(|point| point.count == largest_measured.engines as f64)?;
    Some(largest.value - fit(&points).ok()?.constant)
}

/// Rows with a budget, and their ratios to it.
fn rows(
    largest_measured: &Measured,
    decisions: &Decisions,
    (control_core, control_bytes): (f64, f64),
    (worst_core, worst_bytes): (f64, f64),
    control_mb: Option<f64>,
) -> Vec<(&'static str, f64)> {
    let decide_core = decisions.with_30000.decide_us / 1e6 * STATEMENTS_PER_S;
    let mut rows = vec![
        ("list at a start, bytes", largest_measured.list_bytes / MAX_READY_BYTES),
        ("list at a start, time", largest_measured.list_learned_worst_s / MAX_READY_S),
        ("deciding with 30,000 engines, processor", decide_core / STATEMENT_CORES),
        ("ordinary day, processor", control_core / CORE_SHARE),
        ("ordinary day, bytes", control_bytes / BYTES_PER_S),
        ("worst minute, processor", worst_core / CORE_SHARE),
        ("worst minute, bytes", worst_bytes / BYTES_PER_S),
        ("change of an engine, time", largest_measured.change_everywhere_worst_s / MAX_CHANGE_S),
    ];
    rows.extend(control_mb.map(|mb| ("memory", mb / MEMORY_MB)));
    rows
}

/// Relative error of predicting the largest size from the smaller ones, by figure that grows with
/// the size. Processor time in quiet time is omitted: it is within the variation of the hosts'
/// event loops.
fn prediction_errors(smaller: &[Measured], largest_measured: &Measured) -> Map<String, Value> {
    let figures: [(&str, Figure); 4] = [
        ("list_bytes", |m| m.list_bytes),
        ("start_processor_ms", |m| m.start_processor_ms),
        ("hollow_mb_of_all", |m| m.hollow_mb * f64::from(m.routers)),
        ("control_bytes_per_s", |m| m.control_bytes_per_s),
    ];
    let error = |of: Figure| {
        let point = |m: &Measured| Point { count: f64::from(m.routers), value: of(m) };
        prediction_error(&smaller.iter().map(point).collect::<Vec<_>>(), point(largest_measured))
    };
    figures.into_iter().map(|(name, of)| (name.to_owned(), json!(error(of)))).collect()
}
