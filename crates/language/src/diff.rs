//! Semantic difference of two evaluated configurations, not of their text.

use std::collections::BTreeMap;

use crate::value::{RecordValue, Value, ValueKind};

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Path of the field, such as `door.weights.acme`; see [`diff`] for list elements.
    pub path: String,
    /// The old value; `None` if the field was absent.
    pub from: Option<String>,
    /// The new value; `None` if the field is now absent.
    pub to: Option<String>,
}

/// The differences from the first value to the second; empty if they are equivalent.
///
/// List elements are matched by `name` if each has a distinct one, else by index.
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
            // A record or list replaced by a scalar, or the reverse, is one change.
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

/// The fields of a record or elements of a list.
fn children(value: Option<&Value>) -> Option<BTreeMap<String, &Value>> {
    match &value?.kind {
        ValueKind::Record(record) => Some(fields(record)),
        ValueKind::List(all, _) => Some(elements(all)),
        _ => None,
    }
}

fn same_value(from: Option<&Value>, to: Option<&Value>) -> bool {
    match (from.map(|v| &v.kind), to.map(|v| &v.kind)) {
        (Some(ValueKind::Number(a)), Some(ValueKind::Number(b))) => a.value == b.value && a.unit == b.unit,
        // Spans are ignored.
        (Some(ValueKind::Disjunction(a, x)), Some(ValueKind::Disjunction(b, y))) => {
            x == y && a.len() == b.len() && a.iter().zip(b).all(|(a, b)| diff(a, b).is_empty())
        }
        (a, b) => a == b,
    }
}

fn fields(record: &RecordValue) -> BTreeMap<String, &Value> {
    record.fields.iter().map(|(name, field)| (name.clone(), &field.value)).collect()
}

/// Elements by their `name` if each has a distinct one, so that reordering is not a change; else by
/// index.
fn elements(all: &[Value]) -> BTreeMap<String, &Value> {
    let name = |v: &Value| match &v.kind {
        ValueKind::Record(record) => match &record.fields.get("name")?.value.kind {
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
