//! Reading, diagnostics and formatting of valid and broken files.

use std::collections::BTreeMap;

use marljunction_language::diff::diff;
use marljunction_language::eval::{Loader, Sources};
use marljunction_language::format::format;
use marljunction_language::message::{format_line, format_report};
use marljunction_language::parser::{parse, MAX_DEPTH, MAX_FILE_BYTES};
use marljunction_language::value::{parse_number, Unit, ValueKind};
use marljunction_language::{read, Outcome};
use proptest::prelude::*;
use rstest::rstest;

const DEFINITIONS: &str = include_str!("definitions.txt");
const BROKEN: &str = include_str!("broken.txt");

fn files() -> BTreeMap<String, String> {
    let file = |name: &str, text: &str| (name.to_owned(), text.to_owned());
    BTreeMap::from([
        file("one.conf", "include \"two.conf\"\n"),
        file("two.conf", "include \"one.conf\"\n"),
        file(
            "pools.conf",
            "pools: { fast: #Fast, slow: #Fast & { concurrency: 8 } }\n#Fast: #Pool & { zones: [\"a\"] }\n",
        ),
    ])
}

fn read_main(text: &str) -> Outcome {
    read("main", text, &mut files(), DEFINITIONS, "#Main")
}

fn messages(outcome: &Outcome) -> Vec<String> {
    outcome.diagnostics.iter().map(|diagnostic| format_line(&outcome.sources, diagnostic)).collect()
}

fn at<'a>(outcome: &'a Outcome, path: &str) -> &'a ValueKind {
    let mut value = &outcome.value;
    for part in path.split('.') {
        value = match &value.kind {
            ValueKind::Record(record) => &record.fields[part].value,
            ValueKind::List(all, _) => &all[part.parse::<usize>().unwrap()],
            other => panic!("{path}: {other:?}"),
        };
    }
    &value.kind
}

#[test]
fn each_broken_file_reports_one_diagnostic_with_place_and_fix() {
    let mut count = 0;
    for case in BROKEN.split("\n== ").skip(1) {
        let (name, rest) = case.split_once('\n').unwrap();
        let (text, wanted) = rest.split_once("---\n").unwrap();
        let outcome = read_main(text);
        assert_eq!(messages(&outcome), [wanted.trim_end()], "{name}");
        let shown = format_report(&outcome.sources, &outcome.diagnostics[0]);
        assert!(
            shown.contains("help: ")
                && shown.contains(&outcome.sources.files[outcome.diagnostics[0].span.file].name),
            "{name}: {shown}"
        );
        count += 1;
    }
    assert!(count >= 25, "{count} cases");
}

#[test]
fn includes_definitions_references_and_defaults_are_resolved() {
    let outcome = read_main(
        "include \"pools.conf\"\n\nname: \"main\"\nusual: 20s\n\
         routes: [{ name: \"r\", pool: \"fast\", deadline: usual, share: 25% }]\n",
    );
    // A top-level field without `#` must be in the definition.
    assert_eq!(
        messages(&outcome),
        ["main:4:1: unknown field usual: use one of door, memory, name, pools, routes, or remove it"]
    );
    let outcome = read_main(
        "include \"pools.conf\"\n\nname: \"main\"\n#usual: 20s\n\
         routes: [{ name: \"r\", pool: \"fast\", deadline: #usual, share: 25% }]\n",
    );
    assert_eq!(messages(&outcome), Vec::<String>::new());
    let number = |path| match at(&outcome, path) {
        ValueKind::Number(q) => (q.value, q.unit),
        other => panic!("{other:?}"),
    };
    assert_eq!(number("routes.0.deadline"), (20e9, Unit::Time));
    assert_eq!(number("routes.0.share"), (0.25, Unit::Share));
    assert_eq!(number("pools.fast.concurrency"), (64.0, Unit::Plain));
    assert_eq!(number("pools.slow.concurrency"), (8.0, Unit::Plain));
    assert_eq!(number("memory"), (64e6, Unit::Size));
    assert_eq!(at(&outcome, "routes.0.when_full"), &ValueKind::Text("refuse".into()));
    let ValueKind::Record(main) = &outcome.value.kind else { panic!("a record") };
    assert!(!main.fields.contains_key("door"), "an optional field that is not set stays absent");
}

#[test]
fn independent_mistakes_are_reported_together() {
    let outcome = read_main("name: 5\nmemory: 6\npools: { p: { zones: [], engines: 0 } }\nroutes: [\n");
    assert_eq!(
        outcome.diagnostics.len(),
        1,
        "a file with a syntax error is not evaluated: {:?}",
        messages(&outcome)
    );
    let outcome = read_main("name: 5\nmemory: 6\npools: { p: { zones: [], engines: 0 } }\nroutes: []\n");
    assert_eq!(outcome.diagnostics.len(), 3, "{:?}", messages(&outcome));
}

#[rstest]
#[case("250ms", 250e6, Unit::Time)]
#[case("1.5s", 1.5e9, Unit::Time)]
#[case("2min", 120e9, Unit::Time)]
#[case("64KiB", 65_536.0, Unit::Size)]
#[case("10_000", 10_000.0, Unit::Plain)]
#[case("120/min", 2.0, Unit::Rate)]
#[case("12.5%", 0.125, Unit::Share)]
#[case("-3", -3.0, Unit::Plain)]
fn numbers_with_units_are_parsed_and_printed(#[case] text: &str, #[case] value: f64, #[case] unit: Unit) {
    let read = parse_number(text).unwrap();
    assert_eq!((read.value, read.unit), (value, unit));
    let again = parse_number(&read.to_string()).unwrap();
    assert!((again.value - value).abs() <= value.abs() * 1e-6 && again.unit == unit, "{read}");
}

#[test]
fn too_deep_or_too_long_input_is_reported() {
    let deep = format!("a: {}1{}", "[".repeat(MAX_DEPTH + 5), "]".repeat(MAX_DEPTH + 5));
    assert!(parse(&deep).diagnostics[0].message.contains("too deep"));
    let format_report = " ".repeat(MAX_FILE_BYTES + 1);
    assert!(parse(&format_report).diagnostics[0].message.contains("too long"));
}

#[rstest]
#[case("a:1", "a: 1\n")]
#[case("a :  { b:1 ,c : 2 }", "a: { b: 1, c: 2 }\n")]
#[case("a: {\nb: 1, c: 2\n}\n", "a: {\n  b: 1\n  c: 2\n}\n")]
#[case("// one\n\n\n\na: 1 // two\n", "// one\n\na: 1  // two\n")]
#[case("a: [ 1,2 , 3 ]", "a: [1, 2, 3]\n")]
#[case("a: {}\nb: [ ]", "a: {}\nb: []\n")]
#[case("a: int&>0|*64\n", "a: int & >0 | *64\n")]
#[case("a: b . c\n", "a: b.c\n")]
#[case("x: { ... #P }\n", "x: { ...#P }\n")]
fn formatting_is_canonical(#[case] text: &str, #[case] wanted: &str) {
    assert_eq!(format(text).as_deref(), Some(wanted));
    assert_eq!(format(wanted).as_deref(), Some(wanted));
}

/// Tokens of the language in random order.
fn arbitrary_tokens() -> impl Strategy<Value = String> {
    let word = proptest::sample::select(vec![
        "a", "b", "#P", ":", ": ", "{", "}", "[", "]", "(", ")", ",", "\n", "\n\n", " ", "1", "5ms", "\"t\"",
        "\"", "|", "&", "*", "<", ">=", "...", ".", "?", "// c\n", "include", "true", "ü", ";",
    ]);
    proptest::collection::vec(word, 0..60).prop_map(|words| words.concat())
}

/// Files without syntax errors.
fn valid_file() -> impl Strategy<Value = String> {
    let leaf = proptest::sample::select(vec!["1", "5ms", "\"t\"", "true", "int & >0 | *64", "#P.x"]);
    let value = leaf.prop_map(str::to_owned).prop_recursive(4, 24, 4, |inner| {
        let field = ("[a-z]{1,6}", inner.clone(), "( |\n|  // c\n)").prop_map(|(n, v, end)| {
            let comma = if end.contains('\n') { "" } else { "," };
            format!("{n}:{v}{comma}{end}")
        });
        prop_oneof![
            proptest::collection::vec(field, 0..4).prop_map(|f| format!("{{ {} }}", f.concat())),
            proptest::collection::vec(inner, 0..4).prop_map(|v| format!("[{}]", v.join(" ,"))),
        ]
    });
    let line = ("[a-z]{1,6}", value, "\n{1,3}").prop_map(|(n, v, end)| format!("{n} : {v}{end}"));
    proptest::collection::vec(line, 0..6).prop_map(|lines| lines.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// The tree contains the whole input, and each diagnostic has a fix and can be rendered.
    #[test]
    fn parsing_is_lossless_and_never_panics(text in arbitrary_tokens()) {
        prop_assert_eq!(parse(&text).root().to_string(), text.clone());
        let outcome = read_main(&text);
        for diagnostic in &outcome.diagnostics {
            prop_assert!(!diagnostic.fix.is_empty(), "{}", diagnostic.message);
            prop_assert!(!format_report(&outcome.sources, diagnostic).is_empty());
        }
    }

    /// Formatting twice equals formatting once, and keeps the value and its diagnostics.
    #[test]
    fn formatting_is_idempotent_and_preserves_meaning(text in valid_file()) {
        let once = format(&text).expect("a valid file");
        let twice = format(&once).expect("a formatted file");
        prop_assert_eq!(&once, &twice, "from {:?}", text);
        let significant = |t: &str| t.replace([' ', '\n', ','], "");
        prop_assert_eq!(significant(&once), significant(&text));
        let meaning = |t: &str| {
            let (mut diagnostics, mut none) = (Vec::new(), BTreeMap::<String, String>::new());
            let sources = Sources::read("f", t, &mut none as &mut dyn Loader, &mut diagnostics);
            let found: Vec<String> = diagnostics.iter().map(|d| d.message.clone()).collect();
            (found, sources.evaluate("#None", &mut diagnostics))
        };
        let ((found, value), (found_before, before)) = (meaning(&once), meaning(&text));
        prop_assert_eq!(found, found_before);
        prop_assert_eq!(diff(&before, &value), Vec::new());
    }
}
