//! Values, their types and their units.

use std::collections::BTreeMap;
use std::fmt;

use crate::diagnostic::Span;

/// What a number counts. A figure with no unit is a plain number, and only that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Unit {
    /// A plain number.
    Plain,
    /// A time, in nanoseconds.
    Time,
    /// A size, in bytes.
    Size,
    /// A rate, in events a second.
    Rate,
    /// A share, where 1 is all.
    Share,
}

/// Units by their name: what they count, and how much of it.
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
    /// The type's name in the language.
    pub fn name(self) -> &'static str {
        match self {
            Unit::Plain => "number",
            Unit::Time => "time",
            Unit::Size => "size",
            Unit::Rate => "rate",
            Unit::Share => "share",
        }
    }

    /// Units in which it may be written.
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

/// A number with what it counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity {
    /// In the unit's own measure.
    pub value: f64,
    /// What it counts.
    pub unit: Unit,
    /// It was written without a decimal point.
    pub is_integer: bool,
}

/// Why a number can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NumberError {
    /// What stands behind the digits is no unit.
    UnknownUnit(String),
    /// The digits are no number.
    InvalidDigits,
}

/// Reads a number with its unit.
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

/// The unit that somebody may have meant.
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
        // The largest unit in which the figure is whole, binary sizes only where decimal ones are not.
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

/// How a number is bounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Comparison {
    /// Under.
    Less,
    /// Up to.
    LessOrEqual,
    /// Over.
    Greater,
    /// From.
    GreaterOrEqual,
    /// Anything but.
    NotEqual,
}

impl Comparison {
    /// Whether a figure keeps to it.
    pub fn holds(self, value: f64, bound: f64) -> bool {
        match self {
            Comparison::Less => value < bound,
            Comparison::LessOrEqual => value <= bound,
            Comparison::Greater => value > bound,
            Comparison::GreaterOrEqual => value >= bound,
            Comparison::NotEqual => value != bound,
        }
    }

    /// As it is written.
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

/// The plain types.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// Any value.
    Any,
    /// A number in a unit; a whole one where told.
    Number(Unit, bool),
    /// A text.
    Text,
    /// True or false.
    Bool,
}

impl Type {
    /// A type by its name.
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

    /// Its name.
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
    /// Its value, or what its value must be.
    pub value: Value,
    /// It may be absent.
    pub optional: bool,
    /// Where it is named.
    pub span: Span,
}

/// A record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordValue {
    /// Its fields by name.
    pub fields: BTreeMap<String, FieldValue>,
    /// What fields with other names must be; absent where there may be none.
    pub rest: Option<Box<Value>>,
    /// It came from a definition, and takes only fields that it names.
    pub closed: bool,
}

/// A value, or what is known of one.
#[derive(Clone, Debug, PartialEq)]
pub struct Value {
    /// What it is.
    pub what: ValueKind,
    /// Where it was written.
    pub span: Span,
}

/// What a value is.
#[derive(Clone, Debug, PartialEq)]
pub enum ValueKind {
    /// One of a type.
    Type(Type),
    /// A number within bounds.
    Bounded(Type, Vec<(Comparison, f64)>),
    /// A number.
    Number(Quantity),
    /// A text.
    Text(String),
    /// True or false.
    Bool(bool),
    /// A record.
    Record(RecordValue),
    /// Elements, and what further ones must be, where there may be some.
    List(Vec<Value>, Option<Box<Value>>),
    /// One of several; the default, where there is one, by its place.
    Disjunction(Vec<Value>, Option<usize>),
    /// Nothing can be said, as it was wrong and has been told.
    Invalid,
}

impl Value {
    /// A value that was written somewhere.
    pub fn new(what: ValueKind, span: Span) -> Self {
        Value { what, span }
    }

    /// What is told of it in messages.
    pub fn describe(&self) -> String {
        match &self.what {
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
            ValueKind::Invalid => "something wrong".to_owned(),
        }
    }
}
