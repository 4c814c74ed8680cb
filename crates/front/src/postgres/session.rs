//! The state of a session: its parameters, prepared statements and portals.

use std::collections::{BTreeMap, VecDeque};

use super::codec::{fault, Bind, SqlFault};
use crate::Directory;
use marljunction_control::interface::{ClassId, TenantId};
use marljunction_core::statement::{param_count, split, Param, Statement};
use marljunction_core::{Column, Row};

/// Maximum number of prepared statements, of portals and of other parameters, each.
const MAX_OBJECTS: usize = 64;
/// Maximum size of a session's statements and portals together.
const MAX_OBJECT_BYTES: usize = 512 << 10;

/// Returns whether a type is textual, so that its text and binary formats have the same bytes.
pub fn is_text(type_id: u32) -> bool {
    matches!(type_id, 18 | 19 | 25 | 705 | 1042 | 1043)
}

/// How the router handles a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// An empty statement.
    Empty,
    /// Sent to an engine: whether it returns rows, and its command tag.
    Routed(bool, String),
    /// Sets a session parameter; without a value, resets it (`all` for all of them).
    Set(String, Option<String>),
    /// Shows a session parameter.
    Show(String),
}

/// A prepared statement.
#[derive(Clone, Debug)]
pub struct Prepared {
    /// The statement's text.
    pub text: Vec<u8>,
    /// Parameter types; 0 if the client leaves the type to the engine.
    pub types: Vec<u32>,
    /// How the statement is handled.
    pub kind: StatementKind,
    /// The configured columns were sent to the client.
    pub described: bool,
}

/// A portal.
#[derive(Clone, Debug)]
pub struct Portal {
    /// The statement and its parameters.
    pub statement: Statement,
    /// How the statement is handled.
    pub kind: StatementKind,
    /// Whether result columns are requested in binary format.
    pub results: Vec<bool>,
    /// The configured columns were sent to the client, which would misread others.
    pub described: bool,
    /// Columns of the result, if the engine reported them.
    pub columns: Vec<Column>,
    /// After execution: the rows left to send, and the number of rows sent.
    pub rows: Option<(VecDeque<Row>, usize)>,
}

/// Session parameters.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Class of the session's requests.
    pub class: Option<ClassId>,
    /// Tenant of the session's requests.
    pub tenant: Option<TenantId>,
    /// `statement_timeout`; 0 for none.
    pub timeout_ms: u64,
    /// Estimated work per request.
    pub cost_ms: Option<f64>,
    /// Estimated memory per request.
    pub memory_mb: Option<f64>,
    /// Other parameters, stored for `SHOW` and to identify clients.
    pub other_params: BTreeMap<String, String>,
}

/// Parses a PostgreSQL duration: milliseconds, or a number with a unit.
fn milliseconds(text: &str) -> Option<u64> {
    let text = text.trim();
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let number: u64 = text[..digits].parse().ok()?;
    match text[digits..].trim() {
        "" | "ms" => Some(number),
        "s" => number.checked_mul(1_000),
        "min" => number.checked_mul(60_000),
        "h" => number.checked_mul(3_600_000),
        _ => None,
    }
}

impl Settings {
    /// Sets a parameter.
    pub fn set(&mut self, directory: &Directory, name: &str, value: &str) -> Result<(), SqlFault> {
        let bad = || fault("22023", format!("invalid value for parameter \"{name}\": \"{value}\""));
        let number = || match value.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => Ok(Some(n).filter(|n| *n > 0.0)),
            _ => Err(bad()),
        };
        match name {
            "marljunction.class" => self.class = Some(directory.class(value).ok_or_else(bad)?),
            "marljunction.tenant" => self.tenant = Some(directory.tenant(value).ok_or_else(bad)?),
            "statement_timeout" => self.timeout_ms = milliseconds(value).ok_or_else(bad)?,
            "marljunction.cost_ms" => self.cost_ms = number()?,
            "marljunction.memory_mb" => self.memory_mb = number()?,
            _ if name.starts_with("marljunction.") => {
                return Err(fault("42704", format!("unrecognized configuration parameter \"{name}\"")))
            }
            _ => {
                // Bounds the memory of a session.
                if self.other_params.len() >= MAX_OBJECTS && !self.other_params.contains_key(name) {
                    return Err(fault("54000", "too many parameters are set"));
                }
                self.other_params.insert(name.to_owned(), value.chars().take(1_000).collect());
            }
        }
        Ok(())
    }

    /// Returns a parameter's value as text.
    pub fn show(&self, directory: &Directory, name: &str) -> Result<String, SqlFault> {
        Ok(match name {
            "marljunction.class" => self.class.map_or("", |c| directory.class_name(c)).to_owned(),
            "marljunction.tenant" => self.tenant.map_or("", |t| directory.tenant_name(t)).to_owned(),
            "statement_timeout" => self.timeout_ms.to_string(),
            "marljunction.cost_ms" => self.cost_ms.unwrap_or(0.0).to_string(),
            "marljunction.memory_mb" => self.memory_mb.unwrap_or(0.0).to_string(),
            "server_version" => super::SERVER_VERSION.to_owned(),
            "transaction_isolation" | "transaction" => "read committed".to_owned(),
            _ => {
                self.other_params.get(name).cloned().ok_or_else(|| {
                    fault("42704", format!("unrecognized configuration parameter \"{name}\""))
                })?
            }
        })
    }
}

/// Parses `SET [SESSION] name {= | TO} value` into name and value; `None` for `DEFAULT`.
fn read_set(text: &str) -> Option<(String, Option<String>)> {
    let rest = text.trim().get(3..)?.trim_start();
    let first = rest.split_whitespace().next()?;
    let session = first.eq_ignore_ascii_case("session");
    let rest = if session { rest[first.len()..].trim_start() } else { rest };
    let end = rest.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_' || c == '.'))?;
    let (name, value) = (rest[..end].to_ascii_lowercase(), rest[end..].trim_start());
    let to = value.get(..2).is_some_and(|w| w.eq_ignore_ascii_case("to"));
    let value = value.strip_prefix('=').or(value.get(2..).filter(|_| to))?.trim();
    let quoted = value.strip_prefix('\'').and_then(|v| v.strip_suffix('\''));
    let value = quoted.map_or(value.to_owned(), |v| v.replace("''", "'"));
    Some((name, Some(value).filter(|v| !v.eq_ignore_ascii_case("default"))))
}

/// Determines how to handle a statement's text.
///
/// # Errors
/// Returns an error for commands that the router does not support, before anything runs.
pub fn classify(text: &[u8]) -> Result<StatementKind, SqlFault> {
    let statements = split(text);
    let (statement, words) = match &statements[..] {
        [] => return Ok(StatementKind::Empty),
        [one] => one,
        _ => return Err(fault("0A000", "several statements in one query are not supported")),
    };
    let word = |n: usize| words.get(n).map_or("", String::as_str);
    let text = String::from_utf8_lossy(statement);
    match word(0) {
        "set" if word(1) == "local" || word(1) == "transaction" => {
            Err(fault("0A000", "explicit transactions are not supported"))
        }
        "set" => match read_set(&text) {
            Some((name, value)) => Ok(StatementKind::Set(name, value)),
            None => Err(fault("42601", "cannot read this SET")),
        },
        "reset" | "discard" if word(1) == "all" => Ok(StatementKind::Set("all".into(), None)),
        "reset" | "show" => {
            let name = text.split_whitespace().nth(1).unwrap_or("").to_ascii_lowercase();
            Ok(if word(0) == "show" { StatementKind::Show(name) } else { StatementKind::Set(name, None) })
        }
        "begin" | "start" | "commit" | "rollback" | "end" | "abort" | "savepoint" | "release" => {
            Err(fault("0A000", "explicit transactions are not supported"))
        }
        "copy" | "prepare" | "execute" | "deallocate" | "declare" | "fetch" | "move" | "close" | "listen"
        | "notify" | "unlisten" | "lock" | "discard" => {
            Err(fault("0A000", format!("{} is not supported", word(0).to_ascii_uppercase())))
        }
        first => {
            let is_query = !matches!(first, "insert" | "update" | "delete" | "merge");
            let has_returning = text.to_ascii_lowercase().contains("returning");
            let rows = is_query
                && !matches!(first, "create" | "alter" | "drop" | "truncate" | "call" | "do" | "refresh")
                || has_returning;
            let command_tag = match first {
                "insert" => "INSERT 0".to_owned(),
                "update" | "delete" | "merge" => first.to_ascii_uppercase(),
                _ => "SELECT".to_owned(),
            };
            Ok(StatementKind::Routed(rows, command_tag))
        }
    }
}

/// The prepared statements and portals of a session, within limits.
#[derive(Default)]
pub struct SessionObjects {
    statements: BTreeMap<String, Prepared>,
    portals: BTreeMap<String, Portal>,
    bytes: usize,
}

impl SessionObjects {
    /// Prepares a statement.
    pub fn parse(&mut self, name: String, text: Vec<u8>, types: Vec<u32>) -> Result<(), SqlFault> {
        if !name.is_empty() && self.statements.contains_key(&name) {
            return Err(fault("42P05", format!("prepared statement \"{name}\" already exists")));
        }
        let kind = classify(&text)?;
        let count = param_count(&text).max(types.len());
        if count > 1_000 {
            return Err(fault("54000", "too many parameters"));
        }
        let types = (0..count).map(|i| types.get(i).copied().unwrap_or(0)).collect();
        self.remove(true, &name);
        self.check_capacity(self.statements.len(), text.len())?;
        self.bytes += text.len();
        self.statements.insert(name, Prepared { text, types, kind, described: false });
        Ok(())
    }

    /// Returns an error if another statement or portal would exceed a session's limits.
    fn check_capacity(&self, count: usize, bytes: usize) -> Result<(), SqlFault> {
        let full = count >= MAX_OBJECTS || self.bytes + bytes > MAX_OBJECT_BYTES;
        if full {
            Err(fault("54000", "too many statements or portals are open"))
        } else {
            Ok(())
        }
    }

    /// Creates a portal. With `inline_params`, parameters must be in text form, to be inlined.
    pub fn bind(&mut self, bind: Bind, inline_params: bool) -> Result<(), SqlFault> {
        let statement = self.statement(&bind.statement)?.clone();
        if !bind.portal.is_empty() && self.portals.contains_key(&bind.portal) {
            return Err(fault("42P03", format!("portal \"{}\" already exists", bind.portal)));
        }
        let (supplied, required) = (bind.params.len(), statement.types.len());
        if supplied != required || bind.formats.len() > 1 && bind.formats.len() != supplied {
            return Err(fault(
                "08P01",
                format!("bind gives {supplied} parameters, the statement has {required}"),
            ));
        }
        let format = |i: usize| bind.formats.get(i).or(bind.formats.first()).copied().unwrap_or(false);
        let mut params = Vec::new();
        for (i, (value, type_id)) in bind.params.into_iter().zip(&statement.types).enumerate() {
            let binary = format(i) && !is_text(*type_id);
            if binary && inline_params {
                return Err(fault("0A000", "binary parameters are supported for text types only"));
            }
            params.push(Param { type_id: *type_id, binary, value });
        }
        let bytes = statement.text.len() + params.iter().flat_map(|p| &p.value).map(Vec::len).sum::<usize>();
        self.remove(false, &bind.portal);
        self.check_capacity(self.portals.len(), bytes)?;
        self.bytes += bytes;
        let statement_of = Statement { text: statement.text, params, results: bind.results.clone() };
        let portal = Portal {
            statement: statement_of,
            kind: statement.kind,
            results: bind.results,
            described: statement.described,
            columns: Vec::new(),
            rows: None,
        };
        self.portals.insert(bind.portal, portal);
        Ok(())
    }

    /// Looks up a statement by name.
    pub fn statement(&mut self, name: &str) -> Result<&mut Prepared, SqlFault> {
        let missing = || fault("26000", format!("prepared statement \"{name}\" does not exist"));
        self.statements.get_mut(name).ok_or_else(missing)
    }

    /// Looks up a portal by name.
    pub fn portal(&mut self, name: &str) -> Result<&mut Portal, SqlFault> {
        let missing = || fault("34000", format!("portal \"{name}\" does not exist"));
        self.portals.get_mut(name).ok_or_else(missing)
    }

    /// Closes a statement (true) or a portal (false), if it exists.
    pub fn remove(&mut self, statement: bool, name: &str) {
        if statement {
            self.bytes -= self.statements.remove(name).map_or(0, |s| s.text.len());
        } else {
            self.bytes -= self.portals.remove(name).map_or(0, |p| portal_bytes(&p));
        }
    }

    /// Closes all portals; they last until the next `Sync`.
    pub fn clear_portals(&mut self) {
        let bytes: usize = std::mem::take(&mut self.portals).values().map(portal_bytes).sum();
        self.bytes -= bytes;
    }
}

fn portal_bytes(portal: &Portal) -> usize {
    portal.statement.text.len()
        + portal.statement.params.iter().flat_map(|p| &p.value).map(Vec::len).sum::<usize>()
}
