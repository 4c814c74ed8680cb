//! Evaluates syntax trees to one value: includes, scopes, references and definitions.

use std::collections::{BTreeMap, HashMap};

use crate::diagnostic::{Diagnostic, Span};
use crate::parser::parse;
use crate::syntax::{Node, SyntaxKind, Token};
use crate::unify::{edit_distance, unify};
use crate::value::{
    parse_number, suggest_unit, Comparison, FieldValue, NumberError, RecordValue, Type, Value, ValueKind,
};

/// Files in one configuration, the main file included.
const MAX_FILES: usize = 64;
/// Deepest nesting of references and values during evaluation.
const MAX_REFERENCE_DEPTH: usize = 64;

/// Loads included files.
pub trait Loader {
    /// The canonical name and the text of the file `name` that `from` includes.
    ///
    /// # Errors
    /// A reason for the operator if the file cannot be read.
    fn load(&mut self, from: &str, name: &str) -> Result<(String, String), String>;
}

/// Files held in memory.
impl Loader for BTreeMap<String, String> {
    fn load(&mut self, _from: &str, name: &str) -> Result<(String, String), String> {
        let text = self.get(name).ok_or("no such file")?;
        Ok((name.to_owned(), text.clone()))
    }
}

/// A source file.
#[derive(Clone, Debug)]
pub struct Source {
    /// Canonical name.
    pub name: String,
    /// Content.
    pub text: String,
}

/// A file and its includes.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The files; [`Span::file`] is an index into them.
    pub files: Vec<Source>,
    roots: Vec<Node>,
}

impl Sources {
    /// Reads a file and its includes. A file that is included twice is read once.
    pub fn read(
        name: &str,
        text: &str,
        loader: &mut dyn Loader,
        diagnostics: &mut Vec<Diagnostic>,
    ) -> Sources {
        let mut sources = Sources::default();
        let mut chain = Vec::new();
        sources.add(name.to_owned(), text.to_owned(), loader, &mut chain, diagnostics);
        sources
    }

    /// Adds another text without includes, such as the definitions.
    pub fn add_text(&mut self, name: &str, text: &str, diagnostics: &mut Vec<Diagnostic>) {
        let mut none = BTreeMap::new();
        self.add(name.to_owned(), text.to_owned(), &mut none, &mut Vec::new(), diagnostics);
    }

    fn add(
        &mut self,
        name: String,
        text: String,
        loader: &mut dyn Loader,
        chain: &mut Vec<String>,
        diagnostics: &mut Vec<Diagnostic>,
    ) {
        let file = self.files.len();
        let parsed = parse(&text);
        diagnostics.extend(
            parsed.diagnostics.iter().cloned().map(|f| Diagnostic { span: f.span.in_file(file), ..f }),
        );
        let root = parsed.root();
        self.files.push(Source { name: name.clone(), text });
        self.roots.push(root.clone());
        chain.push(name.clone());
        for line in root.children().filter(|n| n.kind() == SyntaxKind::IncludeStatement) {
            let Some(token) = tokens(&line).find(|t| t.kind() == SyntaxKind::Text) else { continue };
            let (span, path) = (token_span(&token, file), unquote(token.text()));
            match loader.load(&name, &path) {
                Err(reason) => {
                    let diagnostic = Diagnostic::new(span, format!("{path} can't be included: {reason}"));
                    diagnostics.push(diagnostic.fix("name a file below the search root"));
                }
                Ok((found, _)) if chain.contains(&found) => {
                    let from = chain.iter().position(|n| *n == found).unwrap_or(0);
                    let cycle: Vec<&str> =
                        chain[from..].iter().map(String::as_str).chain([found.as_str()]).collect();
                    let diagnostic =
                        Diagnostic::new(span, format!("include cycle: {}", cycle.join(" includes ")));
                    diagnostics.push(diagnostic.fix("remove one of these includes"));
                }
                Ok((found, _)) if self.files.iter().any(|s| s.name == found) => {}
                Ok(_) if self.files.len() >= MAX_FILES => {
                    let diagnostic =
                        Diagnostic::new(span, format!("more than {MAX_FILES} files are included"));
                    diagnostics.push(diagnostic.fix("merge some of the files"));
                }
                Ok((found, text)) => self.add(found, text, loader, chain, diagnostics),
            }
        }
        chain.pop();
    }

    /// Evaluates all files together and unifies the result with the definition `main`.
    pub fn evaluate(&self, main: &str, diagnostics: &mut Vec<Diagnostic>) -> Value {
        let mut evaluator = Evaluator {
            sources: self,
            names: HashMap::new(),
            diagnostics: Vec::new(),
            depth: 0,
            path: Vec::new(),
        };
        let written = evaluator.top_level();
        let definition = evaluator.resolve_name(main, None).map(|(value, ..)| value);
        diagnostics.append(&mut evaluator.diagnostics);
        match definition {
            Some(definition) => unify(&definition, &written, "", diagnostics),
            None => written,
        }
    }
}

fn tokens(node: &Node) -> impl Iterator<Item = Token> {
    node.children_with_tokens().filter_map(rowan::NodeOrToken::into_token).filter(|t| !is_trivia(t.kind()))
}

fn is_trivia(kind: SyntaxKind) -> bool {
    matches!(kind, SyntaxKind::Whitespace | SyntaxKind::Newline | SyntaxKind::Comment)
}

fn token_span(token: &Token, file: usize) -> Span {
    let range = token.text_range();
    Span::new(range.start().into(), range.end().into()).in_file(file)
}

/// The span of a node without surrounding trivia.
fn node_span(node: &Node, file: usize) -> Span {
    let significant = |t: &Token| !is_trivia(t.kind());
    let all =
        || node.descendants_with_tokens().filter_map(rowan::NodeOrToken::into_token).filter(significant);
    match (all().next(), all().last()) {
        (Some(first), Some(last)) => {
            Span::new(first.text_range().start().into(), last.text_range().end().into()).in_file(file)
        }
        _ => Span::new(node.text_range().start().into(), node.text_range().end().into()).in_file(file),
    }
}

/// Removes the quotes and resolves escapes: `\n`, `\t`, and a backslash before any other character.
pub fn unquote(text: &str) -> String {
    let inner = text.strip_prefix('"').unwrap_or(text);
    let inner = inner.strip_suffix('"').unwrap_or(inner);
    let (mut out, mut chars) = (String::with_capacity(inner.len()), inner.chars());
    while let Some(c) = chars.next() {
        match c {
            '\\' => out.push(match chars.next() {
                Some('n') => '\n',
                Some('t') => '\t',
                Some(other) => other,
                None => '\\',
            }),
            other => out.push(other),
        }
    }
    out
}

/// The fields of a record or file: name, whether optional, span of the name, and node of the value.
fn fields(node: &Node, file: usize) -> Vec<(String, bool, Span, Option<Node>)> {
    let of = |field: Node| {
        let label = field.children().find(|n| n.kind() == SyntaxKind::Label)?;
        let name = tokens(&label).next()?;
        let optional = tokens(&label).any(|t| t.kind() == SyntaxKind::Question);
        let value = field.children().find(|n| n.kind() != SyntaxKind::Label);
        let plain =
            if name.kind() == SyntaxKind::Text { unquote(name.text()) } else { name.text().to_owned() };
        Some((plain, optional, token_span(&name, file), value))
    };
    node.children().filter(|n| n.kind() == SyntaxKind::Field).filter_map(of).collect()
}

/// The enclosing records with their files, innermost last.
type Scope = Vec<(usize, Node)>;

enum Resolution {
    InProgress,
    Done(Value),
}

struct Evaluator<'a> {
    sources: &'a Sources,
    /// Top-level names that are resolved or being resolved.
    names: HashMap<String, Resolution>,
    diagnostics: Vec<Diagnostic>,
    depth: usize,
    /// Path of the field being evaluated, for messages.
    path: Vec<String>,
}

impl Evaluator<'_> {
    fn report(&mut self, span: Span, message: impl Into<String>, fix: impl Into<String>) -> Value {
        self.diagnostics.push(Diagnostic::new(span, message).fix(fix));
        Value::new(ValueKind::Invalid, span)
    }

    /// All top-level fields except definitions, as one record.
    fn top_level(&mut self) -> Value {
        let mut names: Vec<String> = Vec::new();
        for (file, root) in self.sources.roots.iter().enumerate() {
            for (name, ..) in fields(root, file) {
                if !names.contains(&name) {
                    names.push(name);
                }
            }
        }
        let mut record = RecordValue::default();
        for name in names {
            let Some((value, optional, span)) = self.resolve_name(&name, None) else { continue };
            if !name.starts_with('#') {
                record.fields.insert(name, FieldValue { value, optional, span });
            }
        }
        Value::new(ValueKind::Record(record), Span::default())
    }

    /// Resolves a top-level name: the unification of its values in all files.
    fn resolve_name(&mut self, name: &str, from: Option<Span>) -> Option<(Value, bool, Span)> {
        let mut found = Vec::new();
        for (file, root) in self.sources.roots.iter().enumerate() {
            let matching = fields(root, file).into_iter().filter(|(n, ..)| n == name);
            found.extend(matching.map(|field| (file, root.clone(), field)));
        }
        let (_, _, (_, _, first, _)) = found.first()?;
        let (first, optional) = (*first, found.iter().all(|(_, _, (_, optional, ..))| *optional));
        match self.names.get(name) {
            Some(Resolution::Done(value)) => return Some((value.clone(), optional, first)),
            Some(Resolution::InProgress) => {
                let value = self.report(
                    from.unwrap_or(first),
                    format!("{name} refers to itself"),
                    "break the cycle: give one of these names a value of its own",
                );
                return Some((value, optional, first));
            }
            None => {}
        }
        self.names.insert(name.to_owned(), Resolution::InProgress);
        let outer = std::mem::replace(&mut self.path, vec![name.to_owned()]);
        let mut value: Option<Value> = None;
        for (file, root, (_, _, label, node)) in found {
            let scope = vec![(file, root)];
            let file_value = match node {
                Some(node) => self.value(&node, &scope),
                None => Value::new(ValueKind::Invalid, label),
            };
            value = Some(match value {
                None => file_value,
                Some(before) => unify(&before, &file_value, name, &mut self.diagnostics),
            });
        }
        self.path = outer;
        let mut value = value?;
        if name.starts_with('#') {
            close(&mut value);
        }
        self.names.insert(name.to_owned(), Resolution::Done(value.clone()));
        Some((value, optional, first))
    }

    fn value(&mut self, node: &Node, scope: &Scope) -> Value {
        let file = scope.last().map_or(0, |(file, _)| *file);
        let at = node_span(node, file);
        if self.depth >= MAX_REFERENCE_DEPTH {
            return self.report(
                at,
                "references are nested too deeply",
                format!("nest at most {MAX_REFERENCE_DEPTH} references"),
            );
        }
        self.depth += 1;
        let value = self.value_within(node, scope, file, at);
        self.depth -= 1;
        value
    }

    fn value_within(&mut self, node: &Node, scope: &Scope, file: usize, at: Span) -> Value {
        let kind = match node.kind() {
            SyntaxKind::Literal => return self.literal(node, at),
            SyntaxKind::Group => match node.children().next() {
                Some(inner) => return self.value(&inner, scope),
                None => ValueKind::Invalid,
            },
            SyntaxKind::Default => match node.children().next() {
                Some(inner) => return self.value(&inner, scope),
                None => ValueKind::Invalid,
            },
            SyntaxKind::Reference => return self.reference(node, scope, file, at),
            SyntaxKind::Bound => return self.bound(node, scope, at),
            SyntaxKind::Conjunction => {
                let mut all: Option<Value> = None;
                for part in node.children() {
                    let operand = self.value(&part, scope);
                    all = Some(match all {
                        None => operand,
                        Some(before) => {
                            let mut both =
                                unify(&before, &operand, &self.path.join("."), &mut self.diagnostics);
                            both.span = at;
                            both
                        }
                    });
                }
                return all.unwrap_or(Value::new(ValueKind::Invalid, at));
            }
            SyntaxKind::Disjunction => {
                let (mut all, mut default) = (Vec::new(), None);
                for part in node.children() {
                    if part.kind() == SyntaxKind::Default {
                        default = Some(all.len());
                    }
                    all.push(self.value(&part, scope));
                }
                ValueKind::Disjunction(all, default)
            }
            SyntaxKind::List => {
                let (mut all, mut rest) = (Vec::new(), None);
                for part in node.children() {
                    if part.kind() == SyntaxKind::Rest {
                        let any = Value::new(ValueKind::Type(Type::Any), at);
                        let of = part.children().next().map(|inner| self.value(&inner, scope));
                        rest = Some(Box::new(of.unwrap_or(any)));
                    } else {
                        all.push(self.value(&part, scope));
                    }
                }
                ValueKind::List(all, rest)
            }
            SyntaxKind::Record => ValueKind::Record(self.record(node, scope, file)),
            _ => ValueKind::Invalid,
        };
        Value::new(kind, at)
    }

    fn record(&mut self, node: &Node, scope: &Scope, file: usize) -> RecordValue {
        let mut inner = scope.clone();
        inner.push((file, node.clone()));
        let mut record = RecordValue::default();
        for (name, optional, span, value) in fields(node, file) {
            self.path.push(name.clone());
            let value = value.map_or(Value::new(ValueKind::Invalid, span), |v| self.value(&v, &inner));
            self.path.pop();
            let field = match record.fields.remove(&name) {
                None => FieldValue { value, optional, span },
                Some(before) => FieldValue {
                    value: unify(&before.value, &value, &name, &mut self.diagnostics),
                    optional: before.optional && optional,
                    span,
                },
            };
            record.fields.insert(name, field);
        }
        if let Some(rest) = node.children().find(|n| n.kind() == SyntaxKind::Rest) {
            let any = Value::new(ValueKind::Type(Type::Any), node_span(&rest, file));
            let of = rest.children().next().map(|v| self.value(&v, &inner));
            record.rest = Some(Box::new(of.unwrap_or(any)));
        }
        record
    }

    fn literal(&mut self, node: &Node, at: Span) -> Value {
        let Some(token) = tokens(node).next() else { return Value::new(ValueKind::Invalid, at) };
        let kind = match token.kind() {
            SyntaxKind::True => ValueKind::Bool(true),
            SyntaxKind::False => ValueKind::Bool(false),
            SyntaxKind::Text => ValueKind::Text(unquote(token.text())),
            SyntaxKind::Number => {
                match parse_number(token.text()) {
                    Ok(quantity) => ValueKind::Number(quantity),
                    Err(NumberError::UnknownUnit(unit)) => {
                        let digits = token.text().strip_suffix(unit.as_str()).unwrap_or("");
                        let fix = match suggest_unit(&unit) {
                        Some(like) => format!("did you mean {digits}{like}?"),
                        None => "the units are ns us ms s min h d, B KB MB GB KiB MiB GiB, /s /min /h /d, and %".to_owned(),
                    };
                        return self.report(at, format!("unknown unit {unit}"), fix);
                    }
                    Err(NumberError::InvalidDigits) => {
                        return self.report(
                            at,
                            format!("invalid number {}", token.text()),
                            "write decimal digits",
                        )
                    }
                }
            }
            _ => ValueKind::Invalid,
        };
        Value::new(kind, at)
    }

    fn bound(&mut self, node: &Node, scope: &Scope, at: Span) -> Value {
        let comparison = tokens(node).find_map(|t| {
            Some(match t.kind() {
                SyntaxKind::Less => Comparison::Less,
                SyntaxKind::LessOrEqual => Comparison::LessOrEqual,
                SyntaxKind::Greater => Comparison::Greater,
                SyntaxKind::GreaterOrEqual => Comparison::GreaterOrEqual,
                SyntaxKind::NotEqual => Comparison::NotEqual,
                _ => return None,
            })
        });
        let inner = node.children().next().map(|v| self.value(&v, scope));
        match (comparison, inner.map(|v| v.kind)) {
            (Some(comparison), Some(ValueKind::Number(q))) => {
                Value::new(ValueKind::Bounded(Type::Number(q.unit, false), vec![(comparison, q.value)]), at)
            }
            (_, Some(ValueKind::Invalid)) => Value::new(ValueKind::Invalid, at),
            _ => self.report(at, "only a number can be a bound", "write the bound as a number with its unit"),
        }
    }

    fn reference(&mut self, node: &Node, scope: &Scope, file: usize, at: Span) -> Value {
        let path: Vec<Token> =
            tokens(node).filter(|t| matches!(t.kind(), SyntaxKind::Name | SyntaxKind::Text)).collect();
        let Some(first) = path.first() else { return Value::new(ValueKind::Invalid, at) };
        let name = first.text().to_owned();
        // Type names take precedence over fields of the same name.
        let mut value = match Type::from_name(&name).map(|known| Value::new(ValueKind::Type(known), at)) {
            Some(known) => known,
            None => match self.lookup(&name, scope, at) {
                Some(value) => value,
                None => {
                    let closest = self.closest_name(&name, scope);
                    let fix = closest.map_or("define it, or quote it if it is a text".to_owned(), |n| {
                        format!("did you mean {n}?")
                    });
                    return self.report(token_span(first, file), format!("unknown name {name}"), fix);
                }
            },
        };
        for token in &path[1..] {
            let part = if token.kind() == SyntaxKind::Text {
                unquote(token.text())
            } else {
                token.text().to_owned()
            };
            let next = match &value.kind {
                ValueKind::Record(record) => record.fields.get(&part).map(|f| f.value.clone()),
                ValueKind::Invalid => return value,
                _ => None,
            };
            match next {
                Some(next) => value = next,
                None => {
                    let fix = "use a field of the record";
                    return self.report(token_span(token, file), format!("{name} has no field {part}"), fix);
                }
            }
        }
        Value { span: at, ..value }
    }

    /// Finds a name in the innermost enclosing record that has it, else at the top level.
    fn lookup(&mut self, name: &str, scope: &Scope, from: Span) -> Option<Value> {
        for depth in (1..scope.len()).rev() {
            let (file, node) = scope[depth].clone();
            let field = fields(&node, file).into_iter().find(|(n, ..)| n == name);
            if let Some((.., Some(value))) = field {
                return Some(self.value(&value, &scope[..=depth].to_vec()));
            }
        }
        self.resolve_name(name, Some(from)).map(|(value, ..)| value)
    }

    fn closest_name(&self, name: &str, scope: &Scope) -> Option<String> {
        let tops = self.sources.roots.iter().enumerate().map(|(file, root)| (file, root.clone()));
        let all = tops.chain(scope.iter().skip(1).cloned()).flat_map(|(file, node)| fields(&node, file));
        let types = ["int", "number", "time", "size", "rate", "share", "text", "bool", "any"];
        let names = all.map(|(n, ..)| n).chain(types.map(str::to_owned));
        names.map(|n| (edit_distance(name, &n), n)).min().filter(|(edits, _)| *edits <= 2).map(|(_, n)| n)
    }
}

/// Closes all records of a definition, at any depth: fields that it does not list are rejected.
fn close(value: &mut Value) {
    match &mut value.kind {
        ValueKind::Record(record) => {
            record.closed = record.rest.is_none();
            record.fields.values_mut().for_each(|field| close(&mut field.value));
            record.rest.iter_mut().for_each(|other| close(other));
        }
        ValueKind::List(all, rest) => {
            all.iter_mut().for_each(close);
            rest.iter_mut().for_each(|rest| close(rest));
        }
        ValueKind::Disjunction(all, _) => all.iter_mut().for_each(close),
        _ => {}
    }
}

/// Applies defaults and reports each value that is not concrete as missing, at the span `enclosing`
/// of its record or list.
pub fn resolve_defaults(
    value: &Value,
    path: &str,
    enclosing: Span,
    diagnostics: &mut Vec<Diagnostic>,
) -> Value {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    let kind = match &value.kind {
        ValueKind::Disjunction(all, Some(default)) => {
            return resolve_defaults(&all[*default], path, enclosing, diagnostics)
        }
        ValueKind::Type(_) | ValueKind::Bounded(..) | ValueKind::Disjunction(..) => {
            let diagnostic = Diagnostic::new(enclosing, format!("{path} is missing"));
            diagnostics.push(diagnostic.fix(format!("write {path}: {}", value.describe())));
            ValueKind::Invalid
        }
        ValueKind::Record(record) => {
            let mut out = RecordValue { rest: None, ..RecordValue::default() };
            for (name, field) in &record.fields {
                // An optional field that no file sets is left out.
                if field.optional {
                    continue;
                }
                let value = resolve_defaults(&field.value, &join(name), value.span, diagnostics);
                out.fields.insert(name.clone(), FieldValue { value, ..field.clone() });
            }
            ValueKind::Record(out)
        }
        ValueKind::List(all, _) => {
            let resolved = all
                .iter()
                .enumerate()
                .map(|(i, v)| resolve_defaults(v, &format!("{path}[{i}]"), value.span, diagnostics));
            ValueKind::List(resolved.collect(), None)
        }
        other => other.clone(),
    };
    Value::new(kind, value.span)
}
