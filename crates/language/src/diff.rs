//! What two files say differently, once includes, references and defaults are taken: not their text.

use std::collections::BTreeMap;

use crate::value::{RecordValue, Value, ValueKind};

/// One thing that two files say differently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The field, such as `door.weights.acme`; an element of a list by its name where it has one, else by its place.
    pub path: String,
    /// What the first says; absent where it says nothing.
    pub from: Option<String>,
    /// What the second says; absent where it says nothing.
    pub to: Option<String>,
}

/// What the second value says differently from the first; nothing where they are equal in meaning.
pub fn diff(from: &Value, to: &Value) -> Vec<Change> {
    let mut all = Vec::new();
    compare("", Some(from), Some(to), &mut all);
    all
}

fn compare(path: &str, from: Option<&Value>, to: Option<&Value>, out: &mut Vec<Change>) {
    match (children(from), children(to)) {
        (None, None) => {
            let described = |v: Option<&Value>| v.map(Value::describe);
            if !same_value(from, to) {
                out.push(Change { path: path.to_owned(), from: described(from), to: described(to) });
            }
        }
        (one, other) => {
            // A part that came or went is told by what it holds, and by itself where the other has something else there.
            if (one.is_none() && from.is_some()) || (other.is_none() && to.is_some()) {
                let described = |v: Option<&Value>| v.map(Value::describe);
                out.push(Change { path: path.to_owned(), from: described(from), to: described(to) });
                return;
            }
            let (one, other) = (one.unwrap_or_default(), other.unwrap_or_default());
            let names: std::collections::BTreeSet<&String> = one.keys().chain(other.keys()).collect();
            if names.is_empty() && from.is_some() != to.is_some() {
                let described = |v: Option<&Value>| v.map(|_| "empty".to_owned());
                out.push(Change { path: path.to_owned(), from: described(from), to: described(to) });
            }
            for name in names {
                let inner = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                compare(&inner, one.get(name).copied(), other.get(name).copied(), out);
            }
        }
    }
}

/// The parts of a record or list.
fn children(value: Option<&Value>) -> Option<BTreeMap<String, &Value>> {
    match &value?.what {
        ValueKind::Record(record) => Some(fields(record)),
        ValueKind::List(all, _) => Some(elements(all)),
        _ => None,
    }
}

fn same_value(from: Option<&Value>, to: Option<&Value>) -> bool {
    match (from.map(|v| &v.what), to.map(|v| &v.what)) {
        (Some(ValueKind::Number(a)), Some(ValueKind::Number(b))) => a.value == b.value && a.unit == b.unit,
        // Where something was written is no part of what it means.
        (Some(ValueKind::Disjunction(a, x)), Some(ValueKind::Disjunction(b, y))) => {
            x == y && a.len() == b.len() && a.iter().zip(b).all(|(a, b)| diff(a, b).is_empty())
        }
        (a, b) => a == b,
    }
}

fn fields(record: &RecordValue) -> BTreeMap<String, &Value> {
    record.fields.iter().map(|(name, field)| (name.clone(), &field.value)).collect()
}

/// Elements by their `name` where all have one of their own, so that a moved element is not a changed one.
fn elements(all: &[Value]) -> BTreeMap<String, &Value> {
    let name = |v: &Value| match &v.what {
        ValueKind::Record(record) => match &record.fields.get("name")?.value.what {
            ValueKind::Text(name) => Some(name.clone()),
            _ => None,
        },
        _ => None,
    };
    let named: BTreeMap<String, &Value> = all.iter().filter_map(|v| Some((name(v)?, v))).collect();
    if named.len() == all.len() {
        return named;
    }
    all.iter().enumerate().map(|(at, v)| (format!("{at:04}"), v)).collect()
}
