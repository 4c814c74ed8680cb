//! Describes what a change in the operator's file affects, and whether it needs a restart.

use marljunction_language::diff::{diff, Change};
use marljunction_language::value::Value;

/// When a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppliesOn {
    /// On SIGHUP, also for requests that are already queued.
    Reload,
    /// At the next start.
    Restart,
}

/// Path prefix of a field, when a change to it takes effect, and what it affects. The first match
/// counts, so a longer prefix stands before a shorter one.
const FIELD_EFFECTS: [(&str, AppliesOn, &str); 31] = [
    ("door.order", AppliesOn::Restart, "whether queues are served fairly or in order of arrival"),
    ("door.client", AppliesOn::Restart, "what identifies a client in the fair queues"),
    ("door.weights.", AppliesOn::Reload, "this tenant's share of capacity under overload"),
    ("door.queues", AppliesOn::Restart, "the number of queues of each tenant"),
    ("door.hand", AppliesOn::Reload, "the number of queues one client may use"),
    (
        "door.queued",
        AppliesOn::Reload,
        "the number of queued requests above which the longest queue drops one",
    ),
    ("door.promises", AppliesOn::Restart, "the number of refused clients that may hold a reservation"),
    ("door.window", AppliesOn::Restart, "how long a reservation can be used"),
    ("door.stale", AppliesOn::Reload, "how long a request may wait while its tenant's queues do not empty"),
    ("door", AppliesOn::Restart, "whether fair queues are enabled"),
    ("postgres.listen", AppliesOn::Restart, "the listen address for PostgreSQL clients"),
    ("postgres.class", AppliesOn::Restart, "the class, and thereby the deadline, of sessions that set none"),
    ("postgres.columns", AppliesOn::Restart, "the result columns described to clients before execution"),
    ("postgres.sessions", AppliesOn::Restart, "the maximum number of sessions"),
    ("postgres.engines", AppliesOn::Restart, "the protocol used with engines"),
    ("postgres", AppliesOn::Restart, "whether PostgreSQL is enabled"),
    ("consul.address", AppliesOn::Reload, "the address of Consul"),
    ("consul", AppliesOn::Restart, "the source of the engine list"),
    ("start.budget", AppliesOn::Reload, "the fleet's budget of list service calls per second"),
    ("start.routers", AppliesOn::Reload, "the number of routers that share the budget"),
    ("start.longest", AppliesOn::Reload, "the longest wait before the list service is called again"),
    ("start.keep_for", AppliesOn::Restart, "the maximum age of a usable engine list snapshot"),
    ("start.keep", AppliesOn::Restart, "the file of the engine list snapshot"),
    ("start.spread", AppliesOn::Reload, "the longest wait before the list service is first called"),
    (
        "start.connections",
        AppliesOn::Reload,
        "the fleet's budget of new connections per second to one engine",
    ),
    ("start.stale", AppliesOn::Reload, "the age from which the engine list counts as stale"),
    ("fleet.key", AppliesOn::Reload, "the keys that sign and verify datagrams between routers"),
    ("fleet.limits.", AppliesOn::Restart, "a fleet-wide limit"),
    ("fleet", AppliesOn::Restart, "fleet membership, leases, engine health and engine list sharing"),
    ("start", AppliesOn::Restart, "whether calls to the list service are paced"),
    ("log.level", AppliesOn::Reload, "the log level"),
];

/// A changed field, and what the change affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The change.
    pub change: Change,
    /// When it takes effect.
    pub applies_on: AppliesOn,
    /// What it affects, for operators.
    pub what: &'static str,
}

impl std::fmt::Display for Effect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let display = |side: &Option<String>| side.clone().unwrap_or_else(|| "nothing".into());
        let applies_on = if self.applies_on == AppliesOn::Reload { "at once" } else { "after a restart" };
        let (from, to) = (display(&self.change.from), display(&self.change.to));
        write!(f, "{}: {from} becomes {to} {applies_on}: {}", self.change.path, self.what)
    }
}

/// Lists the effects of replacing `from` with `to`; empty if they are equivalent.
pub fn effects(from: &Value, to: &Value) -> Vec<Effect> {
    let all = diff(from, to);
    let section = |path: &str| path.split('.').next().unwrap_or_default().to_owned();
    let of = |change: Change| {
        let path = &change.path;
        // Adding or removing a whole section needs a restart, whatever its fields need.
        let whole_section =
            all.iter().filter(|c| section(&c.path) == section(path)).all(|c| c.from.is_none())
                || all.iter().filter(|c| section(&c.path) == section(path)).all(|c| c.to.is_none());
        let matches_prefix = |(prefix, ..): &&(&str, AppliesOn, &str)| path.starts_with(prefix);
        let (_, applies_on, what) = FIELD_EFFECTS.iter().find(matches_prefix).unwrap_or(&(
            "",
            AppliesOn::Restart,
            "an unknown section",
        ));
        let has_section = |value: &Value| match &value.kind {
            marljunction_language::value::ValueKind::Record(record) => {
                record.fields.contains_key(&section(path))
            }
            _ => false,
        };
        let applies_on = if whole_section && has_section(from) != has_section(to) {
            AppliesOn::Restart
        } else {
            *applies_on
        };
        Effect { change: change.clone(), applies_on, what }
    };
    all.iter().cloned().map(of).collect()
}
