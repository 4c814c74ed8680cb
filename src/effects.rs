//! What a change of the operator's file changes in what the program does, and when.

use marljunction_language::diff::{diff, Change};
use marljunction_language::value::Value;

/// When a change counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppliesOn {
    /// On SIGHUP, for what waits as well.
    Reload,
    /// From the next start on.
    Restart,
}

/// Fields, the longest first where one begins like another: when a change of theirs counts, and what it changes.
const FIELD_EFFECTS: [(&str, AppliesOn, &str); 31] = [
    ("door.order", AppliesOn::Restart, "how turns are divided"),
    ("door.client", AppliesOn::Restart, "what names a client, and so whom it shares its turns with"),
    ("door.weights.", AppliesOn::Reload, "this tenant's part of the turns while all want more than there is"),
    ("door.queues", AppliesOn::Restart, "how many queues a tenant's clients are spread over"),
    ("door.hand", AppliesOn::Reload, "how many queues one client may fill"),
    ("door.queued", AppliesOn::Reload, "how many requests may wait before the longest queue is pushed out"),
    ("door.promises", AppliesOn::Restart, "how many refused clients may hold a promise"),
    ("door.window", AppliesOn::Restart, "how late a promised client may come back"),
    ("door.stale", AppliesOn::Reload, "how long a request waits in a queue that does not empty"),
    ("door", AppliesOn::Restart, "whether there are fair queues at all"),
    ("postgres.listen", AppliesOn::Restart, "where PostgreSQL clients connect"),
    ("postgres.class", AppliesOn::Restart, "the class, and so the deadline, of sessions that name none"),
    ("postgres.columns", AppliesOn::Restart, "what clients are told of a result before it has run"),
    ("postgres.sessions", AppliesOn::Restart, "how many sessions may be open"),
    ("postgres.engines", AppliesOn::Restart, "what is spoken to the engines"),
    ("postgres", AppliesOn::Restart, "whether PostgreSQL is spoken at all"),
    ("consul.address", AppliesOn::Reload, "where news of the engines is asked for"),
    ("consul", AppliesOn::Restart, "where news of the engines comes from"),
    ("start.budget", AppliesOn::Reload, "how many calls a second the list service gets from the whole fleet"),
    ("start.routers", AppliesOn::Reload, "among how many routers the budget is divided"),
    (
        "start.longest",
        AppliesOn::Reload,
        "how long a router waits at most before it calls the list service again",
    ),
    ("start.keep_for", AppliesOn::Restart, "up to which age a kept list of engines is used"),
    (
        "start.keep",
        AppliesOn::Restart,
        "where the last list of engines is kept for a start without the list service",
    ),
    (
        "start.spread",
        AppliesOn::Reload,
        "how long a router waits at most before it first calls the list service",
    ),
    (
        "start.connections",
        AppliesOn::Reload,
        "how many connections a second an engine gets from the whole fleet",
    ),
    ("start.stale", AppliesOn::Reload, "the age from which news of the engines counts as too old"),
    ("fleet.key", AppliesOn::Reload, "which keys seal and open what routers say to each other"),
    ("fleet.limits.", AppliesOn::Restart, "a limit that holds for the whole fleet"),
    ("fleet", AppliesOn::Restart, "whom this router talks to, and how loans of shares last"),
    ("start", AppliesOn::Restart, "whether routers spare the list service as they start"),
    ("log.level", AppliesOn::Reload, "what is logged"),
];

/// A change with what it does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The change.
    pub change: Change,
    /// When it counts.
    pub applies_on: AppliesOn,
    /// What it changes.
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

/// What the second of two files makes the program do differently; nothing where they mean the same.
pub fn effects(from: &Value, to: &Value) -> Vec<Effect> {
    let all = diff(from, to);
    let section = |path: &str| path.split('.').next().unwrap_or_default().to_owned();
    let of = |change: Change| {
        let path = &change.path;
        // A part that comes or goes as a whole needs a restart, whatever its fields do.
        let whole_section =
            all.iter().filter(|c| section(&c.path) == section(path)).all(|c| c.from.is_none())
                || all.iter().filter(|c| section(&c.path) == section(path)).all(|c| c.to.is_none());
        let matches_prefix = |(prefix, ..): &&(&str, AppliesOn, &str)| path.starts_with(prefix);
        let (_, applies_on, what) =
            FIELD_EFFECTS.iter().find(matches_prefix).unwrap_or(&("", AppliesOn::Restart, "an unknown part"));
        let has_section = |value: &Value| match &value.what {
            marljunction_language::value::What::Record(record) => record.fields.contains_key(&section(path)),
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
