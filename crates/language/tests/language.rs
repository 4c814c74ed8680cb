//! The language on files that are right and files that are wrong.

use std::collections::BTreeMap;

use marljunction_language::diff::diff;
use marljunction_language::eval::{Loader, Sources};
use marljunction_language::format::format;
use marljunction_language::message::{long, short};
use marljunction_language::parser::{parse, DEEPEST, LONGEST};
use marljunction_language::value::{read_number, Unit, What};
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

fn held(text: &str) -> Outcome {
    read("main", text, &mut files(), DEFINITIONS, "#Main")
}

fn messages(outcome: &Outcome) -> Vec<String> {
    outcome.faults.iter().map(|fault| short(&outcome.sources, fault)).collect()
}

fn at<'a>(outcome: &'a Outcome, path: &str) -> &'a What {
    let mut value = &outcome.value;
    for part in path.split('.') {
        value = match &value.what {
            What::Record(record) => &record.fields[part].value,
            What::List(all, _) => &all[part.parse::<usize>().unwrap()],
            other => panic!("{path}: {other:?}"),
        };
    }
    &value.what
}

#[test]
fn each_broken_file_draws_one_clear_message() {
    let mut count = 0;
    for case in BROKEN.split("\n== ").skip(1) {
        let (name, rest) = case.split_once('\n').unwrap();
        let (text, wanted) = rest.split_once("---\n").unwrap();
        let outcome = held(text);
        assert_eq!(messages(&outcome), [wanted.trim_end()], "{name}");
        let shown = long(&outcome.sources, &outcome.faults[0]);
        assert!(
            shown.contains("help: ")
                && shown.contains(&outcome.sources.files[outcome.faults[0].span.file].name),
            "{name}: {shown}"
        );
        count += 1;
    }
    assert!(count >= 25, "{count} cases");
}

#[test]
fn a_file_with_includes_definitions_and_references_is_read() {
    let outcome = held(
        "include \"pools.conf\"\n\nname: \"main\"\nusual: 20s\n\
         routes: [{ name: \"r\", pool: \"fast\", deadline: usual, share: 25% }]\n",
    );
    // `usual` is a name of the operator's own that no definition knows.
    assert_eq!(
        messages(&outcome),
        ["main:4:1: there is no usual: use one of door, memory, name, pools, routes, or leave it out"]
    );
    let outcome = held(
        "include \"pools.conf\"\n\nname: \"main\"\n#usual: 20s\n\
         routes: [{ name: \"r\", pool: \"fast\", deadline: #usual, share: 25% }]\n",
    );
    assert_eq!(messages(&outcome), Vec::<String>::new());
    let number = |path| match at(&outcome, path) {
        What::Number(q) => (q.value, q.unit),
        other => panic!("{other:?}"),
    };
    assert_eq!(number("routes.0.deadline"), (20e9, Unit::Time));
    assert_eq!(number("routes.0.share"), (0.25, Unit::Share));
    assert_eq!(number("pools.fast.concurrency"), (64.0, Unit::Plain));
    assert_eq!(number("pools.slow.concurrency"), (8.0, Unit::Plain));
    assert_eq!(number("memory"), (64e6, Unit::Size));
    assert_eq!(at(&outcome, "routes.0.when_full"), &What::Text("refuse".into()));
    let What::Record(main) = &outcome.value.what else { panic!("a record") };
    assert!(!main.fields.contains_key("door"), "what nobody wrote is absent");
}

#[test]
fn several_faults_are_told_at_once() {
    let outcome = held("name: 5\nmemory: 6\npools: { p: { zones: [], engines: 0 } }\nroutes: [\n");
    assert_eq!(outcome.faults.len(), 1, "what follows from the syntax is not told: {:?}", messages(&outcome));
    let outcome = held("name: 5\nmemory: 6\npools: { p: { zones: [], engines: 0 } }\nroutes: []\n");
    assert_eq!(outcome.faults.len(), 3, "{:?}", messages(&outcome));
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
fn numbers_have_units(#[case] text: &str, #[case] value: f64, #[case] unit: Unit) {
    let read = read_number(text).unwrap();
    assert_eq!((read.value, read.unit), (value, unit));
    let again = read_number(&read.to_string()).unwrap();
    assert!((again.value - value).abs() <= value.abs() * 1e-6 && again.unit == unit, "{read}");
}

#[test]
fn what_is_too_deep_or_too_long_is_told() {
    let deep = format!("a: {}1{}", "[".repeat(DEEPEST + 5), "]".repeat(DEEPEST + 5));
    assert!(parse(&deep).faults[0].what.contains("too deep"));
    let long = " ".repeat(LONGEST + 1);
    assert!(parse(&long).faults[0].what.contains("too long"));
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
fn the_formatter_has_one_way(#[case] text: &str, #[case] wanted: &str) {
    assert_eq!(format(text).as_deref(), Some(wanted));
    assert_eq!(format(wanted).as_deref(), Some(wanted));
}

/// Words of the language in any order, more or less like a file.
fn anything() -> impl Strategy<Value = String> {
    let word = proptest::sample::select(vec![
        "a", "b", "#P", ":", ": ", "{", "}", "[", "]", "(", ")", ",", "\n", "\n\n", " ", "1", "5ms", "\"t\"",
        "\"", "|", "&", "*", "<", ">=", "...", ".", "?", "// c\n", "include", "true", "ü", ";",
    ]);
    proptest::collection::vec(word, 0..60).prop_map(|words| words.concat())
}

/// Files that can be read.
fn sound() -> impl Strategy<Value = String> {
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

    /// Nothing that anybody writes ends the program, and the tree holds all of it.
    #[test]
    fn any_text_is_read_and_kept(text in anything()) {
        prop_assert_eq!(parse(&text).root().to_string(), text.clone());
        let outcome = held(&text);
        for fault in &outcome.faults {
            prop_assert!(!fault.fix.is_empty(), "{}", fault.what);
            prop_assert!(!long(&outcome.sources, fault).is_empty());
        }
    }

    /// Formatting what was formatted changes nothing, and formatting never changes what a file says.
    #[test]
    fn formatting_is_done_once(text in sound()) {
        let once = format(&text).expect("a sound file");
        let twice = format(&once).expect("a formatted file");
        prop_assert_eq!(&once, &twice, "from {:?}", text);
        let solid = |t: &str| t.replace([' ', '\n', ','], "");
        prop_assert_eq!(solid(&once), solid(&text));
        let meaning = |t: &str| {
            let (mut faults, mut none) = (Vec::new(), BTreeMap::<String, String>::new());
            let sources = Sources::read("f", t, &mut none as &mut dyn Loader, &mut faults);
            let told: Vec<String> = faults.iter().map(|f| f.what.clone()).collect();
            (told, sources.value_of("#None", &mut faults))
        };
        let ((told, value), (told_before, before)) = (meaning(&once), meaning(&text));
        prop_assert_eq!(told, told_before);
        prop_assert_eq!(diff(&before, &value), Vec::new());
    }
}
