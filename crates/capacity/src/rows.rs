//! Rows of the page: usage and budget of one activity of one role at the target size.

use crate::measured::{Measured, MissingCost};
use crate::size;

pub mod cells;
mod router;
mod services;

/// The kind of process or machine that an activity runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A query router.
    Router,
    /// The service that serves the engine list.
    ListService,
    /// A control machine, or a relay on it.
    ControlMachine,
    /// An engine, as seen by the control plane.
    Engine,
    /// The operators' tools.
    OperatorTools,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Role; 5] =
        [Role::Router, Role::ListService, Role::ControlMachine, Role::Engine, Role::OperatorTools];

    /// The heading on the page.
    pub fn name(self) -> &'static str {
        match self {
            Role::Router => "Router",
            Role::ListService => "List service",
            Role::ControlMachine => "Control machine, or relay",
            Role::Engine => "Engine, as seen by the control plane",
            Role::OperatorTools => "Operators' tools",
        }
    }
}

/// Resource usage or a budget; `None` if a resource is not covered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Messages a second.
    pub messages_s: Option<f64>,
    /// Bytes a second.
    pub bytes_s: Option<f64>,
    /// Processor time (cores).
    pub cores: Option<f64>,
    /// Memory (MB).
    pub memory_mb: Option<f64>,
    /// Time to complete (s).
    pub seconds: Option<f64>,
    /// Number of items held, against a fixed bound.
    pub held: Option<f64>,
}

impl Usage {
    /// All resources with their names.
    pub fn parts(&self) -> [(&'static str, Option<f64>); 6] {
        [
            ("messages", self.messages_s),
            ("bytes", self.bytes_s),
            ("processor time", self.cores),
            ("memory", self.memory_mb),
            ("time", self.seconds),
            ("count held", self.held),
        ]
    }
}

/// Usage relative to the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio {
    /// Usage divided by budget.
    pub value: f64,
    /// The resource.
    pub resource: &'static str,
    /// Whether it applies to the ordinary day; else to the worst minute.
    pub ordinary: bool,
}

/// One activity of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Identifier, used in `needed_by` of other rows.
    pub id: &'static str,
    /// The role that performs it.
    pub role: Role,
    /// Description of the activity.
    pub activity: &'static str,
    /// State held for it.
    pub state: String,
    /// Usage on an ordinary day.
    pub ordinary: Usage,
    /// Usage in the worst minute.
    pub worst: Usage,
    /// Description of the worst minute; empty if there is none.
    pub worst_minute: &'static str,
    /// The budget.
    pub budget: Usage,
    /// The mechanism that provides it, if there is one.
    pub mechanism: Option<&'static str>,
    /// Rows that cannot start before this one has completed once.
    pub needed_by: &'static [&'static str],
    /// The measured costs that the usage is computed from.
    pub costs: &'static [&'static str],
    /// How figures that were not measured directly are derived.
    pub derivation: &'static str,
}

impl Row {
    /// The largest ratio of usage to budget; `None` if no used resource has a budget.
    pub fn ratio(&self) -> Option<Ratio> {
        let of = |usage: &Usage, ordinary: bool| {
            let parts = usage.parts().into_iter().zip(self.budget.parts());
            let ratios = parts.filter_map(move |((resource, used), (_, allowed))| {
                Some(Ratio { value: used? / allowed?, resource, ordinary })
            });
            ratios.collect::<Vec<Ratio>>()
        };
        let all = of(&self.ordinary, true).into_iter().chain(of(&self.worst, false));
        all.max_by(|a, b| a.value.total_cmp(&b.value))
    }
}

/// Shared budgets of an engine: one for light classes and one for heavy ones.
const BUDGETS_PER_ENGINE: f64 = 2.0;

fn ms_to_seconds(ms: f64) -> f64 {
    ms / 1e3
}

/// Steady-state usage for leases of `keys` shared limits.
fn limit_keys(m: &Measured, keys: f64) -> Result<Usage, MissingCost> {
    Ok(Usage {
        messages_s: Some(m.at("limits_keys_messages_s", keys)?),
        bytes_s: Some(m.at("limits_keys_bytes_s", keys)?),
        cores: Some(ms_to_seconds(m.at("limits_keys_ms_s", keys)?)),
        ..Usage::default()
    })
}

/// Budget of a router for control traffic and state.
fn control_budget() -> Usage {
    Usage {
        bytes_s: Some(size::CONTROL_BYTES.value),
        cores: Some(size::CONTROL_CORE.value),
        memory_mb: Some(size::CONTROL_MB.value),
        ..Usage::default()
    }
}

/// All rows for routers that each hold the whole engine list.
///
/// # Errors
/// If a cost was not measured.
pub fn rows(measured: &Measured) -> Result<Vec<Row>, MissingCost> {
    let mut rows = router::list_rows(measured)?;
    rows.extend(router::peer_rows(measured)?);
    rows.extend(router::client_rows(measured)?);
    rows.extend(services::rows(measured)?);
    Ok(rows)
}
