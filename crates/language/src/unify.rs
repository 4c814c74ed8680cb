//! Unification: what two descriptions of one value say together, or why they can't both hold. Associative and
//! commutative but for the words of its messages, as in CUE, whose lattice this follows.

use crate::fault::{Fault, Span};
use crate::value::{FieldValue, Order, Quantity, RecordValue, Type, Unit, Value, What};

/// What two values say together. `path` is the field's, for messages.
pub fn unify(a: &Value, b: &Value, path: &str, faults: &mut Vec<Fault>) -> Value {
    let span = told_at(a.span, b.span);
    let what = match (&a.what, &b.what) {
        (What::Wrong, _) | (_, What::Wrong) => What::Wrong,
        (What::Type(Type::Any), other) | (other, What::Type(Type::Any)) => other.clone(),
        (What::OneOf(..), _) | (_, What::OneOf(..)) => return one_of(a, b, path, faults),
        (What::Record(x), What::Record(y)) => What::Record(records(x, y, path, faults)),
        (What::List(x, more_x), What::List(y, more_y)) => {
            return lists((a, x, more_x), (b, y, more_y), path, faults);
        }
        (What::Type(x), What::Type(y)) => match types(*x, *y) {
            Some(both) => What::Type(both),
            None => return clash(a, b, path, faults),
        },
        (What::Bounded(x, bounds), What::Type(y)) | (What::Type(y), What::Bounded(x, bounds)) => {
            match types(*x, *y) {
                Some(both) => What::Bounded(both, bounds.clone()),
                None => return clash(a, b, path, faults),
            }
        }
        (What::Bounded(x, some), What::Bounded(y, more)) => match types(*x, *y) {
            Some(both) => What::Bounded(both, some.iter().chain(more).copied().collect()),
            None => return clash(a, b, path, faults),
        },
        (What::Number(q), What::Type(t)) | (What::Type(t), What::Number(q)) => {
            return number(*q, *t, &[], span, path, faults);
        }
        (What::Number(q), What::Bounded(t, bounds)) | (What::Bounded(t, bounds), What::Number(q)) => {
            return number(*q, *t, bounds, span, path, faults);
        }
        (What::Number(x), What::Number(y)) if x.unit == y.unit && x.value == y.value => a.what.clone(),
        (What::Text(_), What::Type(Type::Text)) => a.what.clone(),
        (What::Type(Type::Text), What::Text(_)) => b.what.clone(),
        (What::Bool(_), What::Type(Type::Bool)) => a.what.clone(),
        (What::Type(Type::Bool), What::Bool(_)) => b.what.clone(),
        (What::Text(x), What::Text(y)) if x == y => a.what.clone(),
        (What::Bool(x), What::Bool(y)) if x == y => a.what.clone(),
        _ => return clash(a, b, path, faults),
    };
    Value::new(what, span)
}

/// Of two places the one to tell: the operator's file comes before those that it is held against, and within a file
/// what was written later is what is wrong.
fn told_at(a: Span, b: Span) -> Span {
    if a.file == b.file {
        a.max(b)
    } else {
        a.min(b)
    }
}

fn wrong(span: Span) -> Value {
    Value::new(What::Wrong, span)
}

fn is_concrete(value: &Value) -> bool {
    !matches!(value.what, What::Type(_) | What::Bounded(..) | What::OneOf(..))
}

fn clash(a: &Value, b: &Value, path: &str, faults: &mut Vec<Fault>) -> Value {
    // What was written counts as wrong, what it must be as right.
    let of_a = match (is_concrete(a), is_concrete(b)) {
        (true, false) => true,
        (false, true) => false,
        _ => told_at(a.span, b.span) == a.span,
    };
    let (written, must) = if of_a { (a, b) } else { (b, a) };
    let fault = if is_concrete(must) {
        Fault::new(written.span, format!("{path} is {} here and {} elsewhere", written.told(), must.told()))
            .fix("keep one of the two")
    } else {
        Fault::new(written.span, format!("{path} is {}, where {} is wanted", written.told(), must.told()))
            .fix(format!("write {}", example(must)))
    };
    faults.push(fault.with(must.span, format!("{} is said here", must.told())));
    wrong(written.span)
}

/// Something that would do in a value's place.
fn example(value: &Value) -> String {
    match &value.what {
        What::Type(t) | What::Bounded(t, _) => match t {
            Type::Number(Unit::Plain, true) => "a whole number".to_owned(),
            Type::Number(Unit::Plain, false) => "a number".to_owned(),
            Type::Number(unit, _) => format!("a {} with its unit: {}", unit.name(), unit.examples()),
            Type::Text => "a text in quotes".to_owned(),
            Type::Bool => "true or false".to_owned(),
            Type::Any => "any value".to_owned(),
        },
        What::Record(_) => "a record in { }".to_owned(),
        What::List(..) => "a list in [ ]".to_owned(),
        _ => value.told(),
    }
}

fn types(a: Type, b: Type) -> Option<Type> {
    match (a, b) {
        (Type::Any, t) | (t, Type::Any) => Some(t),
        (Type::Number(x, whole), Type::Number(y, also)) if x == y => Some(Type::Number(x, whole || also)),
        _ => (a == b).then_some(a),
    }
}

fn number(
    q: Quantity,
    t: Type,
    bounds: &[(Order, f64)],
    span: Span,
    path: &str,
    faults: &mut Vec<Fault>,
) -> Value {
    let Type::Number(unit, whole) = t else {
        let fault = Fault::new(span, format!("{path} is {q}, where {} is wanted", t.name()));
        let wanted = Value::new(What::Type(t), span);
        faults.push(fault.fix(format!("write {}", example(&wanted))));
        return wrong(span);
    };
    if q.unit != unit {
        let fault = match (q.unit, unit) {
            (Unit::Plain, _) => {
                let first = unit.examples().split([',', ' ']).nth(if unit == Unit::Time { 4 } else { 0 });
                let first = first.filter(|u| !u.is_empty()).unwrap_or("s");
                Fault::new(span, format!("{path} is {q} with no unit, where a {} is wanted", unit.name()))
                    .fix(format!("write {q}{first}; the units are {}", unit.examples()))
            }
            (_, Unit::Plain) => Fault::new(
                span,
                format!("{path} is {q}, a {}, where a plain number is wanted", q.unit.name()),
            )
            .fix("leave the unit out"),
            _ => Fault::new(
                span,
                format!("{path} is {q}, a {}, where a {} is wanted", q.unit.name(), unit.name()),
            )
            .fix(format!("the units of a {} are {}", unit.name(), unit.examples())),
        };
        faults.push(fault);
        return wrong(span);
    }
    if whole && q.value.fract() != 0.0 {
        faults
            .push(Fault::new(span, format!("{path} is {q}, not a whole number")).fix("write a whole number"));
        return wrong(span);
    }
    let broken = bounds.iter().find(|(order, bound)| !order.holds(q.value, *bound));
    if let Some((order, bound)) = broken {
        let bound = Quantity { value: *bound, unit, whole: false };
        let fault = Fault::new(span, format!("{path} is {q}, out of its bounds"));
        faults.push(fault.fix(format!("choose a {} {} {bound}", t.name(), order.sign())));
        return wrong(span);
    }
    Value::new(What::Number(q), span)
}

fn records(x: &RecordValue, y: &RecordValue, path: &str, faults: &mut Vec<Fault>) -> RecordValue {
    let mut all = RecordValue {
        fields: Default::default(),
        others: x.others.clone().or_else(|| y.others.clone()),
        closed: x.closed || y.closed,
    };
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    for (own, other) in [(x, y), (y, x)] {
        for (name, field) in &own.fields {
            if all.fields.contains_key(name) {
                continue;
            }
            let path = join(name);
            let joined = match (other.fields.get(name), &other.others) {
                (Some(there), _) => FieldValue {
                    value: unify(&field.value, &there.value, &path, faults),
                    optional: field.optional && there.optional,
                    span: told_at(field.span, there.span),
                },
                (None, Some(others)) => {
                    FieldValue { value: unify(others, &field.value, &path, faults), ..field.clone() }
                }
                (None, None) if field.value.what == What::Wrong => continue,
                (None, None) if other.closed && !own.closed => {
                    faults.push(unknown(name, field.span, path.as_str(), other));
                    continue;
                }
                (None, None) => field.clone(),
            };
            all.fields.insert(name.clone(), joined);
        }
    }
    all
}

fn unknown(name: &str, span: Span, path: &str, record: &RecordValue) -> Fault {
    let fault = Fault::new(span, format!("there is no {path}"));
    let near = record.fields.keys().map(|known| (distance(name, known), known)).min();
    match near {
        Some((far, known)) if far <= 2.max(name.len() / 3) => {
            let at = record.fields[known].span;
            fault.fix(format!("did you mean {known}?")).with(at, format!("{known} is defined here"))
        }
        _ => {
            let known: Vec<&str> = record.fields.keys().map(String::as_str).collect();
            fault.fix(format!("use one of {}, or leave it out", known.join(", ")))
        }
    }
}

/// Edits between two names (Levenshtein, 1966; with the row-by-row table of Wagner and Fischer, 1974).
pub fn distance(a: &str, b: &str) -> usize {
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

fn lists(x: Elements, y: Elements, path: &str, faults: &mut Vec<Fault>) -> Value {
    let ((a, x, more_x), (b, y, more_y)) = (x, y);
    let count = x.len().max(y.len());
    let mut all = Vec::with_capacity(count);
    for i in 0..count {
        let path = format!("{path}[{i}]");
        let there = |own: &Vec<Value>, more: &Option<Box<Value>>| own.get(i).or(more.as_deref()).cloned();
        match (there(x, more_x), there(y, more_y)) {
            (Some(one), Some(other)) => all.push(unify(&one, &other, &path, faults)),
            (Some(one), None) | (None, Some(one)) => {
                let short = x.len().min(y.len());
                let fault = Fault::new(one.span, format!("{path} is one element too many"));
                faults.push(fault.fix(format!("keep {short} elements")));
                break;
            }
            (None, None) => break,
        }
    }
    let more = match (more_x, more_y) {
        (Some(p), Some(q)) => Some(Box::new(unify(p, q, path, faults))),
        _ => None,
    };
    Value::new(What::List(all, more), told_at(a.span, b.span))
}

fn one_of(a: &Value, b: &Value, path: &str, faults: &mut Vec<Fault>) -> Value {
    let alternatives = |v: &Value| match &v.what {
        What::OneOf(all, default) => (all.clone(), *default),
        _ => (vec![v.clone()], None),
    };
    let ((x, default_x), (y, default_y)) = (alternatives(a), alternatives(b));
    let (mut left, mut default) = (Vec::new(), None);
    let mut told: Vec<Vec<Fault>> = Vec::new();
    for (i, p) in x.iter().enumerate() {
        for (j, q) in y.iter().enumerate() {
            let mut own = Vec::new();
            let both = unify(p, q, path, &mut own);
            if own.is_empty() {
                // A default stays one where the other side says nothing or the same.
                let of = |d: Option<usize>, at: usize| d.is_none_or(|d| d == at);
                let some = default_x.is_some() || default_y.is_some();
                if some && of(default_x, i) && of(default_y, j) {
                    default = default.or(Some(left.len()));
                }
                left.push(both);
            } else {
                told.push(own);
            }
        }
    }
    match left.len() {
        0 => {
            // One alternative that is a record, or nothing else to say: its own faults tell more than that none fits.
            let written = if told_at(a.span, b.span) == a.span { a } else { b };
            let closest = told.into_iter().min_by_key(Vec::len).unwrap_or_default();
            let of_one_kind =
                x.len() * y.len() == 1 || matches!(written.what, What::Record(_) | What::Number(_));
            if of_one_kind && !closest.is_empty() {
                faults.extend(closest);
                return wrong(written.span);
            }
            clash(a, b, path, faults)
        }
        1 => left.remove(0),
        _ => Value::new(What::OneOf(left, default), told_at(a.span, b.span)),
    }
}
