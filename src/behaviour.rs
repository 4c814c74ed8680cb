//! What a change of the operator's file changes in what the program does, and when.

use marljunction_language::diff::{diff, Change};
use marljunction_language::value::Value;

/// When a change counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// On SIGHUP, for what waits as well.
    AtOnce,
    /// From the next start on.
    Restart,
}

/// Fields, the longest first where one begins like another: when a change of theirs counts, and what it changes.
const FIELDS: [(&str, When, &str); 31] = [
    ("door.order", When::Restart, "how turns are divided"),
    ("door.client", When::Restart, "what names a client, and so whom it shares its turns with"),
    ("door.weights.", When::AtOnce, "this tenant's part of the turns while all want more than there is"),
    ("door.queues", When::Restart, "how many queues a tenant's clients are spread over"),
    ("door.hand", When::AtOnce, "how many queues one client may fill"),
    ("door.queued", When::AtOnce, "how many requests may wait before the longest queue is pushed out"),
    ("door.promises", When::Restart, "how many refused clients may hold a promise"),
    ("door.window", When::Restart, "how late a promised client may come back"),
    ("door.stale", When::AtOnce, "how long a request waits in a queue that does not empty"),
    ("door", When::Restart, "whether there are fair queues at all"),
    ("postgres.listen", When::Restart, "where PostgreSQL clients connect"),
    ("postgres.class", When::Restart, "the class, and so the deadline, of sessions that name none"),
    ("postgres.columns", When::Restart, "what clients are told of a result before it has run"),
    ("postgres.sessions", When::Restart, "how many sessions may be open"),
    ("postgres.engines", When::Restart, "what is spoken to the engines"),
    ("postgres", When::Restart, "whether PostgreSQL is spoken at all"),
    ("consul.address", When::AtOnce, "where news of the engines is asked for"),
    ("consul", When::Restart, "where news of the engines comes from"),
    ("start.budget", When::AtOnce, "how many calls a second the list service gets from the whole fleet"),
    ("start.routers", When::AtOnce, "among how many routers the budget is divided"),
    ("start.longest", When::AtOnce, "how long a router waits at most before it calls the list service again"),
    ("start.keep_for", When::Restart, "up to which age a kept list of engines is used"),
    (
        "start.keep",
        When::Restart,
        "where the last list of engines is kept for a start without the list service",
    ),
    ("start.spread", When::AtOnce, "how long a router waits at most before it first calls the list service"),
    ("start.connections", When::AtOnce, "how many connections a second an engine gets from the whole fleet"),
    ("start.stale", When::AtOnce, "the age from which news of the engines counts as too old"),
    ("fleet.key", When::AtOnce, "which keys seal and open what routers say to each other"),
    ("fleet.limits.", When::Restart, "a limit that holds for the whole fleet"),
    ("fleet", When::Restart, "whom this router talks to, and how loans of shares last"),
    ("start", When::Restart, "whether routers spare the list service as they start"),
    ("log.level", When::AtOnce, "what is logged"),
];

/// A change with what it does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The change.
    pub change: Change,
    /// When it counts.
    pub when: When,
    /// What it changes.
    pub what: &'static str,
}

impl std::fmt::Display for Effect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let said = |side: &Option<String>| side.clone().unwrap_or_else(|| "nothing".into());
        let when = if self.when == When::AtOnce { "at once" } else { "after a restart" };
        let (from, to) = (said(&self.change.from), said(&self.change.to));
        write!(f, "{}: {from} becomes {to} {when}: {}", self.change.path, self.what)
    }
}

/// What the second of two files makes the program do differently; nothing where they mean the same.
pub fn effects(from: &Value, to: &Value) -> Vec<Effect> {
    let all = diff(from, to);
    let part = |path: &str| path.split('.').next().unwrap_or_default().to_owned();
    let of = |change: Change| {
        let path = &change.path;
        // A part that comes or goes as a whole needs a restart, whatever its fields do.
        let whole = all.iter().filter(|c| part(&c.path) == part(path)).all(|c| c.from.is_none())
            || all.iter().filter(|c| part(&c.path) == part(path)).all(|c| c.to.is_none());
        let fits = |(prefix, ..): &&(&str, When, &str)| path.starts_with(prefix);
        let (_, when, what) = FIELDS.iter().find(fits).unwrap_or(&("", When::Restart, "an unknown part"));
        let has = |value: &Value| match &value.what {
            marljunction_language::value::ValueKind::Record(record) => {
                record.fields.contains_key(&part(path))
            }
            _ => false,
        };
        let when = if whole && has(from) != has(to) { When::Restart } else { *when };
        Effect { change: change.clone(), when, what }
    };
    all.iter().cloned().map(of).collect()
}
