//! Unification of two values or constraints, following the lattice of CUE: associative and
//! commutative except for the texts of diagnostics.

use crate::diagnostic::{Diagnostic, Span};
use crate::value::{Comparison, FieldValue, Quantity, RecordValue, Type, Unit, Value, ValueKind};

/// Unifies two values. `path` names the field in messages.
pub fn unify(a: &Value, b: &Value, path: &str, diagnostics: &mut Vec<Diagnostic>) -> Value {
    let span = reported_span(a.span, b.span);
    let kind = match (&a.kind, &b.kind) {
        (ValueKind::Invalid, _) | (_, ValueKind::Invalid) => ValueKind::Invalid,
        (ValueKind::Type(Type::Any), other) | (other, ValueKind::Type(Type::Any)) => other.clone(),
        (ValueKind::Disjunction(..), _) | (_, ValueKind::Disjunction(..)) => {
            return unify_disjunctions(a, b, path, diagnostics)
        }
        (ValueKind::Record(x), ValueKind::Record(y)) => {
            ValueKind::Record(unify_records(x, y, path, diagnostics))
        }
        (ValueKind::List(x, rest_x), ValueKind::List(y, rest_y)) => {
            return unify_lists((a, x, rest_x), (b, y, rest_y), path, diagnostics);
        }
        (ValueKind::Type(x), ValueKind::Type(y)) => match unify_types(*x, *y) {
            Some(both) => ValueKind::Type(both),
            None => return conflict(a, b, path, diagnostics),
        },
        (ValueKind::Bounded(x, bounds), ValueKind::Type(y))
        | (ValueKind::Type(y), ValueKind::Bounded(x, bounds)) => match unify_types(*x, *y) {
            Some(both) => ValueKind::Bounded(both, bounds.clone()),
            None => return conflict(a, b, path, diagnostics),
        },
        (ValueKind::Bounded(x, some), ValueKind::Bounded(y, more)) => match unify_types(*x, *y) {
            Some(both) => ValueKind::Bounded(both, some.iter().chain(more).copied().collect()),
            None => return conflict(a, b, path, diagnostics),
        },
        (ValueKind::Number(q), ValueKind::Type(t)) | (ValueKind::Type(t), ValueKind::Number(q)) => {
            return unify_number(*q, *t, &[], span, path, diagnostics);
        }
        (ValueKind::Number(q), ValueKind::Bounded(t, bounds))
        | (ValueKind::Bounded(t, bounds), ValueKind::Number(q)) => {
            return unify_number(*q, *t, bounds, span, path, diagnostics);
        }
        (ValueKind::Number(x), ValueKind::Number(y)) if x.unit == y.unit && x.value == y.value => {
            a.kind.clone()
        }
        (ValueKind::Text(_), ValueKind::Type(Type::Text)) => a.kind.clone(),
        (ValueKind::Type(Type::Text), ValueKind::Text(_)) => b.kind.clone(),
        (ValueKind::Bool(_), ValueKind::Type(Type::Bool)) => a.kind.clone(),
        (ValueKind::Type(Type::Bool), ValueKind::Bool(_)) => b.kind.clone(),
        (ValueKind::Text(x), ValueKind::Text(y)) if x == y => a.kind.clone(),
        (ValueKind::Bool(x), ValueKind::Bool(y)) if x == y => a.kind.clone(),
        _ => return conflict(a, b, path, diagnostics),
    };
    Value::new(kind, span)
}

/// The position to report for a conflict: the operator's file rather than the definitions, and
/// within a file the later one.
fn reported_span(a: Span, b: Span) -> Span {
    if a.file == b.file {
        a.max(b)
    } else {
        a.min(b)
    }
}

fn invalid(span: Span) -> Value {
    Value::new(ValueKind::Invalid, span)
}

fn is_concrete(value: &Value) -> bool {
    !matches!(value.kind, ValueKind::Type(_) | ValueKind::Bounded(..) | ValueKind::Disjunction(..))
}

fn conflict(a: &Value, b: &Value, path: &str, diagnostics: &mut Vec<Diagnostic>) -> Value {
    // A concrete value is reported against a constraint, not the other way round.
    let a_is_reported = match (is_concrete(a), is_concrete(b)) {
        (true, false) => true,
        (false, true) => false,
        _ => reported_span(a.span, b.span) == a.span,
    };
    let (written, expected) = if a_is_reported { (a, b) } else { (b, a) };
    let diagnostic = if is_concrete(expected) {
        Diagnostic::new(
            written.span,
            format!(
                "conflicting values for {path}: {} here and {} elsewhere",
                written.describe(),
                expected.describe()
            ),
        )
        .fix("keep one of the two")
    } else {
        Diagnostic::new(
            written.span,
            format!("{path} is {}, expected {}", written.describe(), expected.describe()),
        )
        .fix(format!("write {}", example(expected)))
    };
    diagnostics
        .push(diagnostic.with_related(expected.span, format!("{} is given here", expected.describe())));
    invalid(written.span)
}

/// Describes an acceptable value.
fn example(value: &Value) -> String {
    match &value.kind {
        ValueKind::Type(t) | ValueKind::Bounded(t, _) => match t {
            Type::Number(Unit::Plain, true) => "a whole number".to_owned(),
            Type::Number(Unit::Plain, false) => "a number".to_owned(),
            Type::Number(unit, _) => format!("a {} with its unit: {}", unit.name(), unit.examples()),
            Type::Text => "a text in quotes".to_owned(),
            Type::Bool => "true or false".to_owned(),
            Type::Any => "any value".to_owned(),
        },
        ValueKind::Record(_) => "a record in { }".to_owned(),
        ValueKind::List(..) => "a list in [ ]".to_owned(),
        _ => value.describe(),
    }
}

fn unify_types(a: Type, b: Type) -> Option<Type> {
    match (a, b) {
        (Type::Any, t) | (t, Type::Any) => Some(t),
        (Type::Number(x, x_integer), Type::Number(y, y_integer)) if x == y => {
            Some(Type::Number(x, x_integer || y_integer))
        }
        _ => (a == b).then_some(a),
    }
}

fn unify_number(
    q: Quantity,
    t: Type,
    bounds: &[(Comparison, f64)],
    span: Span,
    path: &str,
    diagnostics: &mut Vec<Diagnostic>,
) -> Value {
    let Type::Number(unit, integer) = t else {
        let diagnostic = Diagnostic::new(span, format!("{path} is {q}, expected {}", t.name()));
        let expected = Value::new(ValueKind::Type(t), span);
        diagnostics.push(diagnostic.fix(format!("write {}", example(&expected))));
        return invalid(span);
    };
    if q.unit != unit {
        let diagnostic = match (q.unit, unit) {
            (Unit::Plain, _) => {
                let first = unit.examples().split([',', ' ']).nth(if unit == Unit::Time { 4 } else { 0 });
                let first = first.filter(|u| !u.is_empty()).unwrap_or("s");
                Diagnostic::new(span, format!("{path} is {q} without a unit, expected a {}", unit.name()))
                    .fix(format!("write {q}{first}; the units are {}", unit.examples()))
            }
            (_, Unit::Plain) => {
                Diagnostic::new(span, format!("{path} is {q}, a {}, expected a plain number", q.unit.name()))
                    .fix("remove the unit")
            }
            _ => Diagnostic::new(
                span,
                format!("{path} is {q}, a {}, expected a {}", q.unit.name(), unit.name()),
            )
            .fix(format!("the units of a {} are {}", unit.name(), unit.examples())),
        };
        diagnostics.push(diagnostic);
        return invalid(span);
    }
    if integer && q.value.fract() != 0.0 {
        diagnostics.push(
            Diagnostic::new(span, format!("{path} is {q}, not a whole number")).fix("write a whole number"),
        );
        return invalid(span);
    }
    let violated = bounds.iter().find(|(comparison, bound)| !comparison.holds(q.value, *bound));
    if let Some((comparison, bound)) = violated {
        let bound = Quantity { value: *bound, unit, is_integer: false };
        let diagnostic = Diagnostic::new(span, format!("{path} is {q}, out of range"));
        diagnostics.push(diagnostic.fix(format!("choose a {} {} {bound}", t.name(), comparison.symbol())));
        return invalid(span);
    }
    Value::new(ValueKind::Number(q), span)
}

fn unify_records(
    x: &RecordValue,
    y: &RecordValue,
    path: &str,
    diagnostics: &mut Vec<Diagnostic>,
) -> RecordValue {
    let mut all = RecordValue {
        fields: Default::default(),
        rest: x.rest.clone().or_else(|| y.rest.clone()),
        closed: x.closed || y.closed,
    };
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    for (record, other) in [(x, y), (y, x)] {
        for (name, field) in &record.fields {
            if all.fields.contains_key(name) {
                continue;
            }
            let path = join(name);
            let joined = match (other.fields.get(name), &other.rest) {
                (Some(other_field), _) => FieldValue {
                    value: unify(&field.value, &other_field.value, &path, diagnostics),
                    optional: field.optional && other_field.optional,
                    span: reported_span(field.span, other_field.span),
                },
                (None, Some(rest)) => {
                    FieldValue { value: unify(rest, &field.value, &path, diagnostics), ..field.clone() }
                }
                (None, None) if field.value.kind == ValueKind::Invalid => continue,
                (None, None) if other.closed && !record.closed => {
                    diagnostics.push(unknown_field(name, field.span, path.as_str(), other));
                    continue;
                }
                (None, None) => field.clone(),
            };
            all.fields.insert(name.clone(), joined);
        }
    }
    all
}

fn unknown_field(name: &str, span: Span, path: &str, record: &RecordValue) -> Diagnostic {
    let diagnostic = Diagnostic::new(span, format!("unknown field {path}"));
    let closest = record.fields.keys().map(|known| (edit_distance(name, known), known)).min();
    match closest {
        Some((edits, known)) if edits <= 2.max(name.len() / 3) => {
            let at = record.fields[known].span;
            diagnostic
                .fix(format!("did you mean {known}?"))
                .with_related(at, format!("{known} is defined here"))
        }
        _ => {
            let known: Vec<&str> = record.fields.keys().map(String::as_str).collect();
            diagnostic.fix(format!("use one of {}, or remove it", known.join(", ")))
        }
    }
}

/// Levenshtein distance, by the row-wise algorithm of Wagner and Fischer.
pub fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let changed = corner + usize::from(x != *y);
            corner = row[j + 1];
            row[j + 1] = changed.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

type Elements<'a> = (&'a Value, &'a Vec<Value>, &'a Option<Box<Value>>);

fn unify_lists(x: Elements, y: Elements, path: &str, diagnostics: &mut Vec<Diagnostic>) -> Value {
    let ((a, x, rest_x), (b, y, rest_y)) = (x, y);
    let count = x.len().max(y.len());
    let mut all = Vec::with_capacity(count);
    for i in 0..count {
        let path = format!("{path}[{i}]");
        let element_at =
            |elements: &Vec<Value>, rest: &Option<Box<Value>>| elements.get(i).or(rest.as_deref()).cloned();
        match (element_at(x, rest_x), element_at(y, rest_y)) {
            (Some(one), Some(other)) => all.push(unify(&one, &other, &path, diagnostics)),
            (Some(one), None) | (None, Some(one)) => {
                let shorter = x.len().min(y.len());
                let diagnostic = Diagnostic::new(one.span, format!("{path} exceeds the length of the list"));
                diagnostics.push(diagnostic.fix(format!("keep at most {shorter} elements")));
                break;
            }
            (None, None) => break,
        }
    }
    let rest = match (rest_x, rest_y) {
        (Some(p), Some(q)) => Some(Box::new(unify(p, q, path, diagnostics))),
        _ => None,
    };
    Value::new(ValueKind::List(all, rest), reported_span(a.span, b.span))
}

fn unify_disjunctions(a: &Value, b: &Value, path: &str, diagnostics: &mut Vec<Diagnostic>) -> Value {
    let alternatives = |v: &Value| match &v.kind {
        ValueKind::Disjunction(all, default) => (all.clone(), *default),
        _ => (vec![v.clone()], None),
    };
    let ((x, default_x), (y, default_y)) = (alternatives(a), alternatives(b));
    let (mut remaining, mut default) = (Vec::new(), None);
    let mut conflicts: Vec<Vec<Diagnostic>> = Vec::new();
    for (i, p) in x.iter().enumerate() {
        for (j, q) in y.iter().enumerate() {
            let mut pair_diagnostics = Vec::new();
            let both = unify(p, q, path, &mut pair_diagnostics);
            if pair_diagnostics.is_empty() {
                // A default stays the default if the other side has none or the same one.
                let of = |d: Option<usize>, at: usize| d.is_none_or(|d| d == at);
                let some = default_x.is_some() || default_y.is_some();
                if some && of(default_x, i) && of(default_y, j) {
                    default = default.or(Some(remaining.len()));
                }
                remaining.push(both);
            } else {
                conflicts.push(pair_diagnostics);
            }
        }
    }
    match remaining.len() {
        0 => {
            // For a single alternative, a record or a number, its own diagnostics are more specific
            // than a conflict.
            let written = if reported_span(a.span, b.span) == a.span { a } else { b };
            let closest = conflicts.into_iter().min_by_key(Vec::len).unwrap_or_default();
            let report_closest =
                x.len() * y.len() == 1 || matches!(written.kind, ValueKind::Record(_) | ValueKind::Number(_));
            if report_closest && !closest.is_empty() {
                diagnostics.extend(closest);
                return invalid(written.span);
            }
            conflict(a, b, path, diagnostics)
        }
        1 => remaining.remove(0),
        _ => Value::new(ValueKind::Disjunction(remaining, default), reported_span(a.span, b.span)),
    }
}
