//! Renders `docs/CAPACITY.md` from the measurement file and the template `page.md`.

use std::fmt::Write;

use crate::measured::{Measured, MissingCost, Series, MAX_PREDICTION_ERROR};
use crate::rows::cells::with_cells;
use crate::rows::{rows, Ratio, Role, Row, Usage};
use crate::rule::rank;
use crate::size::{self, Constant};
use crate::text::{number, plain};

const TEMPLATE: &str = include_str!("page.md");

/// A key and value of the scale test's result file.
pub type ScaleFigure = (String, String);

/// Renders the page. `scale` has the figures of the scale test; it is empty if the test has not
/// been run.
///
/// # Errors
/// If a cost was not measured.
pub fn page(measured: &Measured, scale: &[ScaleFigure]) -> Result<String, MissingCost> {
    let rows = rows(measured)?;
    let cells = with_cells(measured, &rows)?;
    let parts = [
        ("{{command}}", measured.command.clone()),
        ("{{checksum}}", format!("{:016x}", measured.checksum())),
        ("{{size}}", sizes()),
        ("{{rows}}", role_tables(&rows)),
        ("{{cells}}", cells.as_ref().map_or("Not measured yet.".into(), |cells| changed_rows(&rows, cells))),
        ("{{ratio_table}}", ratio_table(&rows, cells.as_deref())),
        ("{{chosen}}", over_budget_summary(&rows)),
        ("{{costs}}", costs(measured)),
        ("{{inaccurate_models}}", inaccurate_models(measured)),
        ("{{after_cells}}", cells.as_ref().map_or(String::new(), |cells| after_cells(&rows, cells))),
        ("{{derivation}}", derivation(&rows, cells.as_deref())),
        ("{{primary}}", primary()),
        ("{{scale}}", scale_table(scale)),
        ("{{error}}", share(MAX_PREDICTION_ERROR)),
    ];
    Ok(parts.iter().fold(TEMPLATE.to_owned(), |text, (mark, part)| text.replace(mark, part.trim_end())))
}

fn share(value: f64) -> String {
    format!("{}%", number(value * 100.0))
}

fn value_with_unit(constant: &Constant) -> String {
    let unit =
        if constant.unit.starts_with('/') { constant.unit.into() } else { format!(" {}", constant.unit) };
    format!("{}{}", plain(constant.value), unit.trim_end())
}

fn sizes() -> String {
    let mut text = String::from("| constant | value | source |\n| --- | --- | --- |\n");
    for constant in size::ALL {
        let _ =
            writeln!(text, "| {} | {} | {} |", constant.name, value_with_unit(&constant), constant.source);
    }
    text
}

fn usage(usage: &Usage) -> String {
    let amount = |value: Option<f64>, unit: &str| value.map(|v| format!("{}{unit}", number(v)));
    let parts = [
        amount(usage.messages_s, " messages/s"),
        amount(usage.bytes_s, " bytes/s"),
        usage.cores.map(|c| format!("{} of a core", share(c))),
        amount(usage.memory_mb, " MB"),
        amount(usage.seconds, " s"),
        amount(usage.held, " held"),
    ];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    if parts.is_empty() {
        return "-".into();
    }
    parts.join("; ")
}

fn ratio_text(ratio: Option<Ratio>) -> String {
    ratio.map_or("-".into(), |ratio| {
        let when = if ratio.ordinary { "ordinary day" } else { "worst minute" };
        format!("**{}** ({}, {when})", number(ratio.value), ratio.resource)
    })
}

fn role_tables(rows: &[Row]) -> String {
    let mut text = String::new();
    for role in Role::ALL {
        let of_role: Vec<&Row> = rows.iter().filter(|row| row.role == role).collect();
        if of_role.is_empty() {
            continue;
        }
        let _ = writeln!(text, "### {}\n", role.name());
        text.push_str(
            "| activity | state held | ordinary day | worst minute | budget | ratio | mechanism |\n",
        );
        text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
        for row in of_role {
            let worst = match row.worst_minute {
                "" => usage(&row.worst),
                when => format!("{when}: {}", usage(&row.worst)),
            };
            let _ = writeln!(
                text,
                "| {} (`{}`) | {} | {} | {worst} | {} | {} | {} |",
                row.activity,
                row.id,
                row.state,
                usage(&row.ordinary),
                usage(&row.budget),
                ratio_text(row.ratio()),
                row.mechanism.unwrap_or("**none**"),
            );
        }
        text.push('\n');
    }
    text
}

/// The rows that are new or different with cells and relays.
fn changed_rows(rows: &[Row], cells: &[Row]) -> String {
    let others: Vec<Row> = cells.iter().filter(|row| !rows.contains(row)).cloned().collect();
    role_tables(&others)
}

/// The ratio of the row with this id, as text.
fn ratio_of(rows: &[Row], id: &str) -> String {
    let row = rows.iter().find(|row| row.id == id);
    row.and_then(Row::ratio).map_or("-".into(), |ratio| number(ratio.value))
}

fn ratio_table(rows: &[Row], cells: Option<&[Row]>) -> String {
    let mut text = String::from(
        "| row | whole list | resource | cells and relays | rows that depend on it |\n| --- | --- | --- | --- | --- |\n",
    );
    let new: Vec<Row> =
        cells.into_iter().flatten().filter(|row| !rows.iter().any(|r| r.id == row.id)).cloned().collect();
    let sorted = rank(rows).sorted.into_iter().map(|(row, ratio)| (row, ratio, number(ratio.value)));
    let added = rank(&new).sorted.into_iter().map(|(row, ratio)| (row, ratio, "-".to_owned()));
    for (row, ratio, whole) in sorted.chain(added) {
        let when = if ratio.ordinary { "ordinary day" } else { "worst minute" };
        let needed = match row.needed_by.is_empty() {
            true => "-".to_owned(),
            false => row.needed_by.join(", "),
        };
        let with = cells.map_or("-".into(), |cells| ratio_of(cells, row.id));
        let _ = writeln!(
            text,
            "| {}: {} (`{}`) | {whole} | {}, {when} | {with} | {needed} |",
            row.role.name(),
            row.activity,
            row.id,
            ratio.resource
        );
    }
    text
}

/// The ratio of the highest-ranked row with cells and relays, and the next rows over budget.
fn after_cells(rows: &[Row], cells: &[Row]) -> String {
    let Some((chosen, ratio)) = rank(rows).needed_over_budget().next() else { return String::new() };
    let next: Vec<String> = rank(cells)
        .needed_over_budget()
        .take(2)
        .map(|(row, ratio)| {
            format!("`{}`, {} ({}: {})", row.id, number(ratio.value), row.role.name(), row.activity)
        })
        .collect();
    format!(
        "With cells and relays the ratio of `{}` is {} instead of {}. The rows that rank first then: {}.",
        chosen.id,
        ratio_of(cells, chosen.id),
        number(ratio.value),
        next.join("; ")
    )
}

fn over_budget_summary(rows: &[Row]) -> String {
    let ranking = rank(rows);
    let first: Vec<(&Row, Ratio)> = ranking.needed_over_budget().take(3).collect();
    let name = |(row, ratio): &(&Row, Ratio)| {
        format!("`{}`, {} ({}: {})", row.id, number(ratio.value), row.role.name(), row.activity)
    };
    let Some((chosen, next)) = first.split_first() else {
        return "No row that others depend on is over its budget.".into();
    };
    let next: Vec<String> = next.iter().map(name).collect();
    format!("First: {}.\n\nThe next two: {}.", name(chosen), next.join("; "))
}

fn costs(measured: &Measured) -> String {
    let mut text = String::from(
        "| cost | unit, by | measured | constant | slope | exponent | model | residual | spread | error at largest count |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (name, series) in &measured.series {
        let _ = writeln!(text, "{}", cost(name, series));
    }
    text
}

fn cost(name: &str, series: &Series) -> String {
    let points: Vec<String> =
        series.points().iter().map(|p| format!("{}: {}", plain(p.count), number(p.value))).collect();
    let head =
        format!("| `{name}`: {} | {}, {} | {}", series.what, series.unit, series.by, points.join("; "));
    let repeats = series.samples.iter().map(|s| s.values.len()).max().unwrap_or(0);
    let spread = if repeats > 1 { share(series.spread()) } else { "once".into() };
    match series.fit() {
        Ok(fit) => {
            let model = match fit.model {
                crate::Model::Linear => "line",
                crate::Model::Power => "power",
            };
            format!(
                "{head} | {} | {} | {:.2} | {model}, {} to {} | {} | {spread} | {} |",
                number(fit.constant),
                number(fit.slope),
                fit.exponent,
                plain(fit.from),
                plain(fit.to),
                share(fit.residual),
                share(series.prediction_error()),
            )
        }
        Err(fault) => format!("{head} | - | - | - | {fault} | - | {spread} | - |"),
    }
}

/// Costs whose model has too large an error at the largest count.
fn inaccurate_models(measured: &Measured) -> String {
    let misses = |series: &&Series| series.prediction_error() > MAX_PREDICTION_ERROR;
    let names: Vec<String> = measured
        .series
        .iter()
        .filter(|(_, series)| misses(series))
        .map(|(name, series)| {
            let largest = series.points().last().map_or(0.0, |p| p.count);
            format!("- `{name}`: error {} at {}", share(series.prediction_error()), plain(largest))
        })
        .collect();
    match names.is_empty() {
        true => "None.".into(),
        false => names.join("\n"),
    }
}

fn derivation(rows: &[Row], cells: Option<&[Row]>) -> String {
    let others = cells.into_iter().flatten().filter(|row| !rows.contains(row));
    let lines = rows.iter().chain(others).filter(|row| !row.derivation.is_empty());
    let lines = lines.map(|row| {
        let costs: Vec<String> = row.costs.iter().map(|cost| format!("`{cost}`")).collect();
        let from = if costs.is_empty() { "none".into() } else { costs.join(", ") };
        let state = if rows.contains(row) { "" } else { ", with cells" };
        format!("| `{}`{state} | {from} | {} |", row.id, row.derivation)
    });
    let lines: Vec<String> = lines.collect();
    format!("| row | measured costs | derivation |\n| --- | --- | --- |\n{}", lines.join("\n"))
}

fn primary() -> String {
    let entries = size::PRIMARY_CHANGES.value * size::PRIMARY_ENTRIES;
    format!(
        "{} entries a day for {} changes, of {} entries a day in total",
        number(entries),
        plain(size::PRIMARY_CHANGES.value),
        number(size::entries_per_s() * size::DAY_S)
    )
}

/// The rows of the page that a figure of the scale test confirms, by key prefix.
const ROWS_OF_FIGURES: [(&str, &str); 13] = [
    ("control_core_share", "`list-changes`, `membership`, `limits`, `verdicts`"),
    ("control_mb", "`list-start`, `membership`"),
    ("control_bytes_per_s", "`list-changes`, `membership`, `limits`, `verdicts`"),
    ("worst_", "the same in the worst minute"),
    ("list_learned_s", "`list-start`, `service-start`"),
    ("list_bytes", "`list-start`, `service-start`"),
    ("change_everywhere", "`list-changes`, `primary`"),
    ("config_everywhere", "`configuration`, `tools-configuration`"),
    ("decision_us", "`deciding`"),
    ("largest_over_budget", "the ranking"),
    ("mechanism_", "the first row of the ranking"),
    ("prediction_error", "the model"),
    ("", "-"),
];

fn scale_table(figures: &[ScaleFigure]) -> String {
    if figures.is_empty() {
        return "`docs/capacity/scale.json` does not exist yet: `marljunction-lab scale --json docs/capacity/scale.json` writes it.".into();
    }
    let mut text = String::from("| figure | value | rows that it confirms |\n| --- | --- | --- |\n");
    for (name, value) in figures {
        let backed = ROWS_OF_FIGURES
            .iter()
            .find(|(prefix, _)| name.starts_with(prefix))
            .map_or("-", |(_, backed)| backed);
        let _ = writeln!(text, "| `{name}` | {value} | {backed} |");
    }
    text
}
