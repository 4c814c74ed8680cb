//! From trees to one value: includes, scopes, references, definitions.

use std::collections::{BTreeMap, HashMap};

use crate::fault::{Fault, Span};
use crate::parser::parse;
use crate::syntax::{Kind, Node, Token};
use crate::unify::{distance, unify};
use crate::value::{read_number, unit_like, FieldValue, NumberFault, Order, RecordValue, Type, Value, What};

/// Files that may be included in all (count).
const FILES_MOST: usize = 64;
/// Deepest chain of references.
const CHAIN_MOST: usize = 64;

/// Where included files come from.
pub trait Loader {
    /// The text of a file that `from` names; the name by which it is known from then on.
    fn load(&mut self, from: &str, name: &str) -> Result<(String, String), String>;
}

/// Files that are already there.
impl Loader for BTreeMap<String, String> {
    fn load(&mut self, _from: &str, name: &str) -> Result<(String, String), String> {
        let text = self.get(name).ok_or("there is no such file")?;
        Ok((name.to_owned(), text.clone()))
    }
}

/// A file that was read.
#[derive(Clone, Debug)]
pub struct Source {
    /// Its name.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// A file with all that it includes.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The files, by number.
    pub files: Vec<Source>,
    roots: Vec<Node>,
}

impl Sources {
    /// Reads a file and what it includes. A file that is included twice is read once.
    pub fn read(name: &str, text: &str, loader: &mut dyn Loader, faults: &mut Vec<Fault>) -> Sources {
        let mut sources = Sources::default();
        let mut chain = Vec::new();
        sources.add(name.to_owned(), text.to_owned(), loader, &mut chain, faults);
        sources
    }

    /// Reads one more beside them, such as the definitions that all files are held against.
    pub fn add_text(&mut self, name: &str, text: &str, faults: &mut Vec<Fault>) {
        let mut none = BTreeMap::new();
        self.add(name.to_owned(), text.to_owned(), &mut none, &mut Vec::new(), faults);
    }

    fn add(
        &mut self,
        name: String,
        text: String,
        loader: &mut dyn Loader,
        chain: &mut Vec<String>,
        faults: &mut Vec<Fault>,
    ) {
        let file = self.files.len();
        let parsed = parse(&text);
        faults.extend(parsed.faults.iter().cloned().map(|f| Fault { span: f.span.within(file), ..f }));
        let root = parsed.root();
        self.files.push(Source { name: name.clone(), text });
        self.roots.push(root.clone());
        chain.push(name.clone());
        for line in root.children().filter(|n| n.kind() == Kind::IncludeLine) {
            let Some(token) = tokens(&line).find(|t| t.kind() == Kind::Text) else { continue };
            let (span, wanted) = (span_of(&token, file), unquote(token.text()));
            match loader.load(&name, &wanted) {
                Err(why) => {
                    let fault = Fault::new(span, format!("{wanted} can't be included: {why}"));
                    faults.push(fault.fix("name a file below the search root"));
                }
                Ok((found, _)) if chain.contains(&found) => {
                    let from = chain.iter().position(|n| *n == found).unwrap_or(0);
                    let round: Vec<&str> =
                        chain[from..].iter().map(String::as_str).chain([found.as_str()]).collect();
                    let fault = Fault::new(span, format!("includes go round: {}", round.join(" includes ")));
                    faults.push(fault.fix("take one of these includes out"));
                }
                Ok((found, _)) if self.files.iter().any(|s| s.name == found) => {}
                Ok(_) if self.files.len() >= FILES_MOST => {
                    let fault = Fault::new(span, format!("more than {FILES_MOST} files are included"));
                    faults.push(fault.fix("put files together"));
                }
                Ok((found, text)) => self.add(found, text, loader, chain, faults),
            }
        }
        chain.pop();
    }

    /// What all files say together, held against a definition of theirs.
    pub fn value_of(&self, main: &str, faults: &mut Vec<Fault>) -> Value {
        let mut evaluator = Evaluator {
            sources: self,
            names: HashMap::new(),
            faults: Vec::new(),
            depth: 0,
            path: Vec::new(),
        };
        let written = evaluator.top();
        let wanted = evaluator.named(main, None).map(|(value, ..)| value);
        faults.append(&mut evaluator.faults);
        match wanted {
            Some(wanted) => unify(&wanted, &written, "", faults),
            None => written,
        }
    }
}

fn tokens(node: &Node) -> impl Iterator<Item = Token> {
    node.children_with_tokens().filter_map(rowan::NodeOrToken::into_token).filter(|t| !is_blank(t.kind()))
}

fn is_blank(kind: Kind) -> bool {
    matches!(kind, Kind::Space | Kind::Newline | Kind::Comment)
}

fn span_of(token: &Token, file: usize) -> Span {
    let range = token.text_range();
    Span::new(range.start().into(), range.end().into()).within(file)
}

/// A node's part of its file, without the blanks round it.
fn span_of_node(node: &Node, file: usize) -> Span {
    let solid = |t: &Token| !is_blank(t.kind());
    let all = || node.descendants_with_tokens().filter_map(rowan::NodeOrToken::into_token).filter(solid);
    match (all().next(), all().last()) {
        (Some(first), Some(last)) => {
            Span::new(first.text_range().start().into(), last.text_range().end().into()).within(file)
        }
        _ => Span::new(node.text_range().start().into(), node.text_range().end().into()).within(file),
    }
}

/// A text without its quotes; `\n`, `\t`, `\"` and `\\` stand for themselves.
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

/// The fields of a record or file: name, whether optional, where named, and the value's node.
fn fields(node: &Node, file: usize) -> Vec<(String, bool, Span, Option<Node>)> {
    let of = |field: Node| {
        let label = field.children().find(|n| n.kind() == Kind::Label)?;
        let name = tokens(&label).next()?;
        let optional = tokens(&label).any(|t| t.kind() == Kind::Question);
        let value = field.children().find(|n| n.kind() != Kind::Label);
        let plain = if name.kind() == Kind::Text { unquote(name.text()) } else { name.text().to_owned() };
        Some((plain, optional, span_of(&name, file), value))
    };
    node.children().filter(|n| n.kind() == Kind::Field).filter_map(of).collect()
}

/// The records round a place, the innermost last, each with its file.
type Scope = Vec<(usize, Node)>;

enum Named {
    UnderWay,
    Known(Value),
}

struct Evaluator<'a> {
    sources: &'a Sources,
    /// Names of the top by what they stand for.
    names: HashMap<String, Named>,
    faults: Vec<Fault>,
    depth: usize,
    /// The field that is being evaluated, for messages.
    path: Vec<String>,
}

impl Evaluator<'_> {
    fn fault(&mut self, span: Span, what: impl Into<String>, fix: impl Into<String>) -> Value {
        self.faults.push(Fault::new(span, what).fix(fix));
        Value::new(What::Wrong, span)
    }

    /// All top fields that are no definitions, as one record.
    fn top(&mut self) -> Value {
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
            let Some((value, optional, span)) = self.named(&name, None) else { continue };
            if !name.starts_with('#') {
                record.fields.insert(name, FieldValue { value, optional, span });
            }
        }
        Value::new(What::Record(record), Span::default())
    }

    /// What a name of the top stands for: what all files say of it together.
    fn named(&mut self, name: &str, from: Option<Span>) -> Option<(Value, bool, Span)> {
        let mut found = Vec::new();
        for (file, root) in self.sources.roots.iter().enumerate() {
            let own = fields(root, file).into_iter().filter(|(n, ..)| n == name);
            found.extend(own.map(|field| (file, root.clone(), field)));
        }
        let (_, _, (_, _, first, _)) = found.first()?;
        let (first, optional) = (*first, found.iter().all(|(_, _, (_, optional, ..))| *optional));
        match self.names.get(name) {
            Some(Named::Known(value)) => return Some((value.clone(), optional, first)),
            Some(Named::UnderWay) => {
                let value = self.fault(
                    from.unwrap_or(first),
                    format!("{name} stands for itself"),
                    "break the circle: give one of these names a value of its own",
                );
                return Some((value, optional, first));
            }
            None => {}
        }
        self.names.insert(name.to_owned(), Named::UnderWay);
        let outer = std::mem::replace(&mut self.path, vec![name.to_owned()]);
        let mut value: Option<Value> = None;
        for (file, root, (_, _, label, node)) in found {
            let scope = vec![(file, root)];
            let own = match node {
                Some(node) => self.value(&node, &scope),
                None => Value::new(What::Wrong, label),
            };
            value = Some(match value {
                None => own,
                Some(before) => unify(&before, &own, name, &mut self.faults),
            });
        }
        self.path = outer;
        let mut value = value?;
        if name.starts_with('#') {
            close(&mut value);
        }
        self.names.insert(name.to_owned(), Named::Known(value.clone()));
        Some((value, optional, first))
    }

    fn value(&mut self, node: &Node, scope: &Scope) -> Value {
        let file = scope.last().map_or(0, |(file, _)| *file);
        let at = span_of_node(node, file);
        if self.depth >= CHAIN_MOST {
            return self.fault(
                at,
                "references go too deep",
                format!("refer through no more than {CHAIN_MOST} names"),
            );
        }
        self.depth += 1;
        let value = self.value_within(node, scope, file, at);
        self.depth -= 1;
        value
    }

    fn value_within(&mut self, node: &Node, scope: &Scope, file: usize, at: Span) -> Value {
        let what = match node.kind() {
            Kind::Literal => return self.literal(node, at),
            Kind::Group => match node.children().next() {
                Some(inner) => return self.value(&inner, scope),
                None => What::Wrong,
            },
            Kind::Default => match node.children().next() {
                Some(inner) => return self.value(&inner, scope),
                None => What::Wrong,
            },
            Kind::Reference => return self.reference(node, scope, file, at),
            Kind::Bound => return self.bound(node, scope, at),
            Kind::Conjunction => {
                let mut all: Option<Value> = None;
                for part in node.children() {
                    let own = self.value(&part, scope);
                    all = Some(match all {
                        None => own,
                        Some(before) => {
                            let mut both = unify(&before, &own, &self.path.join("."), &mut self.faults);
                            both.span = at;
                            both
                        }
                    });
                }
                return all.unwrap_or(Value::new(What::Wrong, at));
            }
            Kind::Disjunction => {
                let (mut all, mut default) = (Vec::new(), None);
                for part in node.children() {
                    if part.kind() == Kind::Default {
                        default = Some(all.len());
                    }
                    all.push(self.value(&part, scope));
                }
                What::OneOf(all, default)
            }
            Kind::List => {
                let (mut all, mut more) = (Vec::new(), None);
                for part in node.children() {
                    if part.kind() == Kind::Open {
                        let any = Value::new(What::Type(Type::Any), at);
                        let of = part.children().next().map(|inner| self.value(&inner, scope));
                        more = Some(Box::new(of.unwrap_or(any)));
                    } else {
                        all.push(self.value(&part, scope));
                    }
                }
                What::List(all, more)
            }
            Kind::Record => What::Record(self.record(node, scope, file)),
            _ => What::Wrong,
        };
        Value::new(what, at)
    }

    fn record(&mut self, node: &Node, scope: &Scope, file: usize) -> RecordValue {
        let mut inner = scope.clone();
        inner.push((file, node.clone()));
        let mut record = RecordValue::default();
        for (name, optional, span, value) in fields(node, file) {
            self.path.push(name.clone());
            let value = value.map_or(Value::new(What::Wrong, span), |v| self.value(&v, &inner));
            self.path.pop();
            let field = match record.fields.remove(&name) {
                None => FieldValue { value, optional, span },
                Some(before) => FieldValue {
                    value: unify(&before.value, &value, &name, &mut self.faults),
                    optional: before.optional && optional,
                    span,
                },
            };
            record.fields.insert(name, field);
        }
        if let Some(open) = node.children().find(|n| n.kind() == Kind::Open) {
            let any = Value::new(What::Type(Type::Any), span_of_node(&open, file));
            let of = open.children().next().map(|v| self.value(&v, &inner));
            record.others = Some(Box::new(of.unwrap_or(any)));
        }
        record
    }

    fn literal(&mut self, node: &Node, at: Span) -> Value {
        let Some(token) = tokens(node).next() else { return Value::new(What::Wrong, at) };
        let what = match token.kind() {
            Kind::True => What::Bool(true),
            Kind::False => What::Bool(false),
            Kind::Text => What::Text(unquote(token.text())),
            Kind::Number => {
                match read_number(token.text()) {
                    Ok(quantity) => What::Number(quantity),
                    Err(NumberFault::Unit(unit)) => {
                        let digits = token.text().strip_suffix(unit.as_str()).unwrap_or("");
                        let fix = match unit_like(&unit) {
                        Some(like) => format!("did you mean {digits}{like}?"),
                        None => "the units are ns us ms s min h d, B KB MB GB KiB MiB GiB, /s /min /h /d, and %".to_owned(),
                    };
                        return self.fault(at, format!("{unit} is no unit"), fix);
                    }
                    Err(NumberFault::Digits) => {
                        return self.fault(at, format!("{} is no number", token.text()), "write digits")
                    }
                }
            }
            _ => What::Wrong,
        };
        Value::new(what, at)
    }

    fn bound(&mut self, node: &Node, scope: &Scope, at: Span) -> Value {
        let order = tokens(node).find_map(|t| {
            Some(match t.kind() {
                Kind::Below => Order::Below,
                Kind::AtMost => Order::AtMost,
                Kind::Above => Order::Above,
                Kind::AtLeast => Order::AtLeast,
                Kind::Not => Order::Not,
                _ => return None,
            })
        });
        let inner = node.children().next().map(|v| self.value(&v, scope));
        match (order, inner.map(|v| v.what)) {
            (Some(order), Some(What::Number(q))) => {
                Value::new(What::Bounded(Type::Number(q.unit, false), vec![(order, q.value)]), at)
            }
            (_, Some(What::Wrong)) => Value::new(What::Wrong, at),
            _ => self.fault(at, "only a number can be a bound", "write the bound as a number with its unit"),
        }
    }

    fn reference(&mut self, node: &Node, scope: &Scope, file: usize, at: Span) -> Value {
        let path: Vec<Token> = tokens(node).filter(|t| matches!(t.kind(), Kind::Name | Kind::Text)).collect();
        let Some(first) = path.first() else { return Value::new(What::Wrong, at) };
        let name = first.text().to_owned();
        // Types are the language's own words: a field of such a name is not meant.
        let mut value = match Type::named(&name).map(|known| Value::new(What::Type(known), at)) {
            Some(known) => known,
            None => match self.find(&name, scope, at) {
                Some(value) => value,
                None => {
                    let near = self.near(&name, scope);
                    let fix = near.map_or("define it, or put a text in quotes".to_owned(), |n| {
                        format!("did you mean {n}?")
                    });
                    return self.fault(span_of(first, file), format!("nothing is called {name}"), fix);
                }
            },
        };
        for token in &path[1..] {
            let part =
                if token.kind() == Kind::Text { unquote(token.text()) } else { token.text().to_owned() };
            let next = match &value.what {
                What::Record(record) => record.fields.get(&part).map(|f| f.value.clone()),
                What::Wrong => return value,
                _ => None,
            };
            match next {
                Some(next) => value = next,
                None => {
                    let fix = "name a field that the record has";
                    return self.fault(span_of(token, file), format!("{name} has no field {part}"), fix);
                }
            }
        }
        Value { span: at, ..value }
    }

    /// The innermost field of a name round a place.
    fn find(&mut self, name: &str, scope: &Scope, from: Span) -> Option<Value> {
        for depth in (1..scope.len()).rev() {
            let (file, node) = scope[depth].clone();
            let own = fields(&node, file).into_iter().find(|(n, ..)| n == name);
            if let Some((.., Some(value))) = own {
                return Some(self.value(&value, &scope[..=depth].to_vec()));
            }
        }
        self.named(name, Some(from)).map(|(value, ..)| value)
    }

    fn near(&self, name: &str, scope: &Scope) -> Option<String> {
        let tops = self.sources.roots.iter().enumerate().map(|(file, root)| (file, root.clone()));
        let all = tops.chain(scope.iter().skip(1).cloned()).flat_map(|(file, node)| fields(&node, file));
        let types = ["int", "number", "time", "size", "rate", "share", "text", "bool", "any"];
        let names = all.map(|(n, ..)| n).chain(types.map(str::to_owned));
        names.map(|n| (distance(name, &n), n)).min().filter(|(far, _)| *far <= 2).map(|(_, n)| n)
    }
}

/// A definition's records take no other fields than it names, at any depth.
fn close(value: &mut Value) {
    match &mut value.what {
        What::Record(record) => {
            record.closed = record.others.is_none();
            record.fields.values_mut().for_each(|field| close(&mut field.value));
            record.others.iter_mut().for_each(|other| close(other));
        }
        What::List(all, more) => {
            all.iter_mut().for_each(close);
            more.iter_mut().for_each(|more| close(more));
        }
        What::OneOf(all, _) => all.iter_mut().for_each(close),
        _ => {}
    }
}

/// What is left of a value once defaults are taken: something definite, or a fault that says what is
/// missing. `round` is the record or list round it, where what is missing would stand.
pub fn settle(value: &Value, path: &str, round: Span, faults: &mut Vec<Fault>) -> Value {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    let what = match &value.what {
        What::OneOf(all, Some(default)) => return settle(&all[*default], path, round, faults),
        What::Type(_) | What::Bounded(..) | What::OneOf(..) => {
            let fault = Fault::new(round, format!("{path} is missing"));
            faults.push(fault.fix(format!("write {path}: {}", value.told())));
            What::Wrong
        }
        What::Record(record) => {
            let mut out = RecordValue { others: None, ..RecordValue::default() };
            for (name, field) in &record.fields {
                // Whoever wrote the field made it count; a definition alone does not.
                if field.optional {
                    continue;
                }
                let value = settle(&field.value, &join(name), value.span, faults);
                out.fields.insert(name.clone(), FieldValue { value, ..field.clone() });
            }
            What::Record(out)
        }
        What::List(all, _) => {
            let settled =
                all.iter().enumerate().map(|(i, v)| settle(v, &format!("{path}[{i}]"), value.span, faults));
            What::List(settled.collect(), None)
        }
        other => other.clone(),
    };
    Value::new(what, value.span)
}
