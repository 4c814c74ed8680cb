//! Values, types and units.

use std::collections::BTreeMap;
use std::fmt;

use crate::diagnostic::Span;

/// The dimension of a number. A number without a unit is never converted to another dimension.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Unit {
    /// A plain number.
    Plain,
    /// A duration in nanoseconds.
    Time,
    /// A size in bytes.
    Size,
    /// Events per second.
    Rate,
    /// A fraction of 1.
    Share,
}

/// Unit suffixes with their dimension and factor.
const UNITS: [(&str, Unit, f64); 19] = [
    ("ns", Unit::Time, 1.0),
    ("us", Unit::Time, 1e3),
    ("ms", Unit::Time, 1e6),
    ("s", Unit::Time, 1e9),
    ("min", Unit::Time, 60e9),
    ("h", Unit::Time, 3_600e9),
    ("d", Unit::Time, 86_400e9),
    ("B", Unit::Size, 1.0),
    ("KB", Unit::Size, 1e3),
    ("MB", Unit::Size, 1e6),
    ("GB", Unit::Size, 1e9),
    ("KiB", Unit::Size, 1_024.0),
    ("MiB", Unit::Size, 1_048_576.0),
    ("GiB", Unit::Size, 1_073_741_824.0),
    ("/s", Unit::Rate, 1.0),
    ("/min", Unit::Rate, 1.0 / 60.0),
    ("/h", Unit::Rate, 1.0 / 3_600.0),
    ("%", Unit::Share, 0.01),
    ("/d", Unit::Rate, 1.0 / 86_400.0),
];

impl Unit {
    /// The name of the type in the language.
    pub fn name(self) -> &'static str {
        match self {
            Unit::Plain => "number",
            Unit::Time => "time",
            Unit::Size => "size",
            Unit::Rate => "rate",
            Unit::Share => "share",
        }
    }

    /// The accepted unit suffixes, for messages.
    pub fn examples(self) -> &'static str {
        match self {
            Unit::Plain => "no unit",
            Unit::Time => "ns, us, ms, s, min, h or d",
            Unit::Size => "B, KB, MB, GB, KiB, MiB or GiB",
            Unit::Rate => "/s, /min, /h or /d",
            Unit::Share => "%",
        }
    }
}

/// A number with its dimension.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity {
    /// The value in the base unit of its dimension.
    pub value: f64,
    /// The dimension.
    pub unit: Unit,
    /// Whether it was written without a decimal point.
    pub is_integer: bool,
}

/// Why a number cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NumberError {
    /// The suffix is not a known unit.
    UnknownUnit(String),
    /// The digits do not form a number.
    InvalidDigits,
}

/// Parses a number with an optional unit.
pub fn parse_number(text: &str) -> Result<Quantity, NumberError> {
    let end =
        text.find(|c: char| !(c.is_ascii_digit() || matches!(c, '-' | '_' | '.'))).unwrap_or(text.len());
    let digits: String = text[..end].chars().filter(|c| *c != '_').collect();
    let value: f64 = digits.parse().map_err(|_| NumberError::InvalidDigits)?;
    let is_integer = !digits.contains('.');
    let suffix = &text[end..];
    if suffix.is_empty() {
        return Ok(Quantity { value, unit: Unit::Plain, is_integer });
    }
    let found = UNITS.iter().find(|(name, ..)| *name == suffix);
    let (_, unit, factor) = found.ok_or_else(|| NumberError::UnknownUnit(suffix.to_owned()))?;
    Ok(Quantity { value: value * factor, unit: *unit, is_integer })
}

/// The unit most likely meant by an unknown suffix.
pub fn suggest_unit(suffix: &str) -> Option<&'static str> {
    let unit = match suffix.to_ascii_lowercase().as_str() {
        "sec" | "secs" | "second" | "seconds" => "s",
        "msec" | "msecs" | "millis" | "milliseconds" => "ms",
        "m" | "mins" | "minute" | "minutes" => "min",
        "hr" | "hrs" | "hour" | "hours" => "h",
        "day" | "days" => "d",
        "b" | "byte" | "bytes" => "B",
        "k" | "kb" => "KB",
        "mb" => "MB",
        "g" | "gb" => "GB",
        "kib" | "ki" => "KiB",
        "mib" | "mi" => "MiB",
        "gib" | "gi" => "GiB",
        "/sec" | "rps" | "qps" | "/second" => "/s",
        "/m" | "/minute" => "/min",
        _ => return None,
    };
    Some(unit)
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.unit == Unit::Plain {
            return write!(f, "{}", self.value);
        }
        // Prefers the largest unit that gives a whole number.
        let is_whole = |(_, unit, factor): &&(&str, Unit, f64)| {
            let amount = self.value / factor;
            *unit == self.unit && (amount.round() - amount).abs() < 1e-9 && amount.round() != 0.0
        };
        let scale = |(name, _, factor): &&(&str, Unit, f64)| {
            (factor * if name.contains("iB") { 0.999 } else { 1.0 }) as u64
        };
        let best = UNITS.iter().filter(is_whole).max_by_key(scale);
        let first = UNITS.iter().find(|(_, unit, _)| *unit == self.unit);
        match best.or(first) {
            Some((name, _, factor)) => {
                let amount = self.value / factor;
                let rounded = (amount * 1e6).round() / 1e6;
                write!(f, "{rounded}{name}")
            }
            None => write!(f, "{}", self.value),
        }
    }
}

/// A comparison operator of a bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Comparison {
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `!=`
    NotEqual,
}

impl Comparison {
    /// Whether a value satisfies the bound.
    pub fn holds(self, value: f64, bound: f64) -> bool {
        match self {
            Comparison::Less => value < bound,
            Comparison::LessOrEqual => value <= bound,
            Comparison::Greater => value > bound,
            Comparison::GreaterOrEqual => value >= bound,
            Comparison::NotEqual => value != bound,
        }
    }

    /// The operator as written in a file.
    pub fn symbol(self) -> &'static str {
        match self {
            Comparison::Less => "<",
            Comparison::LessOrEqual => "<=",
            Comparison::Greater => ">",
            Comparison::GreaterOrEqual => ">=",
            Comparison::NotEqual => "!=",
        }
    }
}

/// The basic types.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// Any value.
    Any,
    /// A number of a dimension; `true` restricts it to whole numbers.
    Number(Unit, bool),
    /// A string.
    Text,
    /// A boolean.
    Bool,
}

impl Type {
    /// Looks up a type by name.
    pub fn from_name(name: &str) -> Option<Type> {
        Some(match name {
            "any" => Type::Any,
            "int" => Type::Number(Unit::Plain, true),
            "number" => Type::Number(Unit::Plain, false),
            "time" => Type::Number(Unit::Time, false),
            "size" => Type::Number(Unit::Size, false),
            "rate" => Type::Number(Unit::Rate, false),
            "share" => Type::Number(Unit::Share, false),
            "text" => Type::Text,
            "bool" => Type::Bool,
            _ => return None,
        })
    }

    /// The name of the type in the language.
    pub fn name(self) -> &'static str {
        match self {
            Type::Any => "any",
            Type::Number(Unit::Plain, true) => "int",
            Type::Number(unit, _) => unit.name(),
            Type::Text => "text",
            Type::Bool => "bool",
        }
    }
}

/// A field of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldValue {
    /// The value, or the constraint on it.
    pub value: Value,
    /// Whether the field may be absent.
    pub optional: bool,
    /// Position of the field's name.
    pub span: Span,
}

/// A record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordValue {
    /// Fields by name.
    pub fields: BTreeMap<String, FieldValue>,
    /// Constraint on fields that are not listed (`...T`), if any.
    pub rest: Option<Box<Value>>,
    /// Whether unlisted fields are rejected, as in a definition.
    pub closed: bool,
}

/// A concrete value or a constraint.
#[derive(Clone, Debug, PartialEq)]
pub struct Value {
    /// The content or the constraint.
    pub kind: ValueKind,
    /// Position in the source.
    pub span: Span,
}

/// The content of a value.
#[derive(Clone, Debug, PartialEq)]
pub enum ValueKind {
    /// Any value of a type.
    Type(Type),
    /// Any number within bounds.
    Bounded(Type, Vec<(Comparison, f64)>),
    /// A number.
    Number(Quantity),
    /// A string.
    Text(String),
    /// A boolean.
    Bool(bool),
    /// A record.
    Record(RecordValue),
    /// Elements, and the constraint on further elements if more are allowed.
    List(Vec<Value>, Option<Box<Value>>),
    /// Alternatives, and the index of the default if there is one.
    Disjunction(Vec<Value>, Option<usize>),
    /// Could not be evaluated; the error has already been reported.
    Invalid,
}

impl Value {
    /// A value at a source position.
    pub fn new(kind: ValueKind, span: Span) -> Self {
        Value { kind, span }
    }

    /// A short description for messages.
    pub fn describe(&self) -> String {
        match &self.kind {
            ValueKind::Type(t) => t.name().to_owned(),
            ValueKind::Bounded(t, bounds) => {
                let unit = if let Type::Number(unit, _) = t { *unit } else { Unit::Plain };
                let bound = |(comparison, value): &(Comparison, f64)| {
                    format!("{}{}", comparison.symbol(), Quantity { value: *value, unit, is_integer: false })
                };
                let all: Vec<String> = bounds.iter().map(bound).collect();
                format!("{} {}", t.name(), all.join(" & "))
            }
            ValueKind::Number(q) => q.to_string(),
            ValueKind::Text(t) => format!("{t:?}"),
            ValueKind::Bool(b) => b.to_string(),
            ValueKind::Record(_) => "a record".to_owned(),
            ValueKind::List(..) => "a list".to_owned(),
            ValueKind::Disjunction(all, _) => {
                let all: Vec<String> = all.iter().map(Value::describe).collect();
                all.join(" or ")
            }
            ValueKind::Invalid => "an invalid value".to_owned(),
        }
    }
}
