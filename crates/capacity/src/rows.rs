//! Rows of the page: what one activity of one role takes at the size to design for, beside what it may take.

use crate::measured::{Measured, MissingCost};
use crate::size;

pub mod cells;
mod router;
mod services;

/// Who does it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A query router.
    Router,
    /// The service that knows the list of engines.
    ListService,
    /// A machine set aside for control, or a relay on it.
    ControlMachine,
    /// An engine, as control sees it.
    Engine,
    /// What operators call.
    OperatorTools,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Role; 5] =
        [Role::Router, Role::ListService, Role::ControlMachine, Role::Engine, Role::OperatorTools];

    /// Its name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Role::Router => "Router",
            Role::ListService => "List service",
            Role::ControlMachine => "Control machine, or relay",
            Role::Engine => "Engine, as control sees it",
            Role::OperatorTools => "Operators' tools",
        }
    }
}

/// What is taken, or may be; none where nothing is said of it.
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
    /// Time until it is done (s).
    pub seconds: Option<f64>,
    /// Things held against a fixed bound (count).
    pub held: Option<f64>,
}

impl Usage {
    /// Its parts with their names.
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

/// The largest of what is taken over what may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio {
    /// Taken over allowed.
    pub value: f64,
    /// Of what.
    pub resource: &'static str,
    /// On the ordinary day, else in the worst minute.
    pub ordinary: bool,
}

/// One activity of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// A short name, which other rows name it by.
    pub id: &'static str,
    /// Who does it.
    pub role: Role,
    /// What is done.
    pub activity: &'static str,
    /// What is held for it.
    pub state: String,
    /// On an ordinary day.
    pub ordinary: Usage,
    /// In the worst minute.
    pub worst: Usage,
    /// Which minute that is.
    pub worst_minute: &'static str,
    /// What it may take.
    pub budget: Usage,
    /// What carries it; none where nothing does.
    pub mechanism: Option<&'static str>,
    /// Rows that do nothing before this one has been done once.
    pub needed_by: &'static [&'static str],
    /// The measured costs that it comes from.
    pub costs: &'static [&'static str],
    /// How figures that no measurement shows were worked out.
    pub derivation: &'static str,
}

impl Row {
    /// The largest ratio of what is taken to what may be; none where no budget covers anything that is taken.
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

/// Budgets of an engine that are shared: for light classes and for heavy ones (count).
const BUDGETS_PER_ENGINE: f64 = 2.0;

/// Seconds from milliseconds.
fn ms_to_seconds(ms: f64) -> f64 {
    ms / 1e3
}

/// What leases of so many keys of shared limits take in a steady state.
fn limit_keys(m: &Measured, keys: f64) -> Result<Usage, MissingCost> {
    Ok(Usage {
        messages_s: Some(m.at("limits_keys_messages_s", keys)?),
        bytes_s: Some(m.at("limits_keys_bytes_s", keys)?),
        cores: Some(ms_to_seconds(m.at("limits_keys_ms_s", keys)?)),
        ..Usage::default()
    })
}

/// What a router may take for control.
fn control_budget() -> Usage {
    Usage {
        bytes_s: Some(size::CONTROL_BYTES.value),
        cores: Some(size::CONTROL_CORE.value),
        memory_mb: Some(size::CONTROL_MB.value),
        ..Usage::default()
    }
}

/// All rows with the whole list at each router.
///
/// # Errors
/// Where a cost was not measured.
pub fn rows(measured: &Measured) -> Result<Vec<Row>, MissingCost> {
    let mut rows = router::list_rows(measured)?;
    rows.extend(router::peer_rows(measured)?);
    rows.extend(router::client_rows(measured)?);
    rows.extend(services::rows(measured)?);
    Ok(rows)
}
