//! Reads the settings object, which has the same form in the configuration file and in the
//! simulator's first message.

#![forbid(unsafe_code)]

pub mod atomic_file;

use marljunction_control::interface::*;
use serde::Deserialize;

#[derive(Deserialize)]
struct RawSettings {
    #[serde(default)]
    azs: Vec<String>,
    balancers: u32,
    request_classes: Vec<RawClass>,
    family_info: RawFamily,
    guarantees: RawGuarantees,
    #[serde(default)]
    kinds: Vec<String>,
    limits: RawLimits,
    load_report: Option<RawReport>,
    me: u32,
    membership_mode: Option<String>,
    over_share_worth: Option<f64>,
    #[serde(default)]
    realms: Vec<RawTenant>,
    zone: Option<String>,
}

#[derive(Deserialize)]
struct RawClass {
    name: String,
    #[serde(rename = "aim_ns")]
    target_latency_ns: u64,
    #[serde(rename = "aim_stretch")]
    target_latency_stretch: Option<f64>,
    give_up_ns: u64,
    effect: String,
    dedup_scope: Option<String>,
    dedup_window_ns: Option<u64>,
    serial_by_key: Option<bool>,
    late_worth: Option<f64>,
    worth: f64,
    runs_in: Option<Vec<String>>,
    served_on: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct RawFamily {
    #[serde(default)]
    cores_by_kind: Vec<f64>,
    cost_in_answers: Option<bool>,
    #[serde(default)]
    dop: Vec<f64>,
    grant_cap: Option<f64>,
    lanes_count: Option<bool>,
    out_of_memory: Option<String>,
    progress_pace_ns: Option<u64>,
    #[serde(default)]
    ram_of_kind_mb: Vec<f64>,
    takes_grants: Option<bool>,
    #[serde(default)]
    waits_for_loads: Vec<bool>,
    #[serde(default)]
    writes_tables: Vec<bool>,
}

#[derive(Deserialize)]
struct RawGuarantees {
    #[serde(rename = "cold_ns")]
    warmup_ns: Option<u64>,
    drain_grace_ns: Option<u64>,
    extra_floor: Option<f64>,
    extra_per_request: Option<f64>,
    extra_window_ns: Option<u64>,
    #[serde(rename = "fall_ns")]
    overload_window_ns: Option<u64>,
    order_pause_ns: Option<u64>,
    #[serde(rename = "start_capacity")]
    initial_capacity: Option<f64>,
    #[serde(rename = "tip_multiple")]
    overload_multiple: Option<f64>,
}

#[derive(Deserialize)]
struct RawLimits {
    cancelling: Option<bool>,
    #[serde(rename = "may_tell")]
    may_message_peers: Option<bool>,
    max_retry_after_ns: Option<u64>,
    probes: Option<bool>,
    retry_after: Option<bool>,
    #[serde(rename = "second_copies")]
    may_hedge: Option<bool>,
    send_cap: Option<u32>,
}

#[derive(Deserialize)]
struct RawReport {
    how: String,
}

#[derive(Deserialize)]
struct RawTenant {
    name: String,
    allowance_per_s: Option<f64>,
}

/// Names of the classes, tenants, zones and machine kinds that the settings refer to by index.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

/// Index of a name in a list.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Parses the settings object.
///
/// # Errors
/// If it is malformed, or an effect or deduplication scope is unknown.
pub fn read_settings(text: &str) -> Result<(Settings, Names), String> {
    let raw: RawSettings = serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?;
    let names = Names {
        classes: raw.request_classes.iter().map(|c| c.name.clone()).collect(),
        tenants: raw.realms.iter().map(|t| t.name.clone()).collect(),
        zones: raw.azs,
        kinds: raw.kinds,
    };
    let zones_of = |list: &Option<Vec<String>>| {
        list.as_ref().map(|l| l.iter().filter_map(|n| index_of(&names.zones, n).map(ZoneId)).collect())
    };
    let kinds_of = |list: &Option<Vec<String>>| {
        list.as_ref().map(|l| l.iter().filter_map(|n| index_of(&names.kinds, n).map(KindId)).collect())
    };
    let family = &raw.family_info;
    let mut classes = Vec::new();
    for (i, c) in raw.request_classes.iter().enumerate() {
        classes.push(ClassSettings {
            target_latency_ns: c.target_latency_ns,
            target_latency_stretch: c.target_latency_stretch.unwrap_or_default(),
            deadline_ns: c.give_up_ns,
            worth: c.worth,
            late_worth: c.late_worth.unwrap_or_default(),
            threads: family.dop.get(i).copied().filter(|t| *t > 0.0).unwrap_or(1.0),
            effect: match c.effect.as_str() {
                "idempotent" => Effect::Idempotent,
                "deduplicated" => Effect::Deduplicated,
                "at_most_once" => Effect::AtMostOnce,
                other => return Err(format!("settings: unknown effect {other}")),
            },
            dedup_scope: match c.dedup_scope.as_deref() {
                None | Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Cell,
                Some(other) => return Err(format!("settings: unknown dedup_scope {other}")),
            },
            dedup_window_ns: c.dedup_window_ns,
            serial_by_key: c.serial_by_key == Some(true),
            only_zones: zones_of(&c.runs_in),
            only_kinds: kinds_of(&c.served_on),
            is_load: family.writes_tables.get(i) == Some(&true),
            waits_for_loads: family.waits_for_loads.get(i) == Some(&true),
        });
    }
    let g = &raw.guarantees;
    let retry_budget = match (g.extra_per_request, g.extra_window_ns) {
        (Some(per_request), Some(window_ns)) => {
            Some(RetryBudget { floor: g.extra_floor.unwrap_or_default(), per_request, window_ns })
        }
        _ => None,
    };
    let settings = Settings {
        router_index: raw.me,
        router_count: raw.balancers,
        zone: raw.zone.and_then(|z| index_of(&names.zones, &z)).map(ZoneId),
        classes,
        kinds: (0..names.kinds.len())
            .map(|i| KindSettings {
                cores: family.cores_by_kind.get(i).copied(),
                memory_mb: family.ram_of_kind_mb.get(i).copied(),
            })
            .collect(),
        tenants: raw.realms.iter().map(|t| TenantSettings { allowance_per_s: t.allowance_per_s }).collect(),
        over_share_worth: raw.over_share_worth,
        max_attempts: raw.limits.send_cap,
        may_cancel: raw.limits.cancelling == Some(true),
        may_probe: raw.limits.probes == Some(true),
        may_message_peers: raw.limits.may_message_peers == Some(true),
        may_hedge: raw.limits.may_hedge == Some(true),
        max_retry_after_ns: raw.limits.max_retry_after_ns.filter(|_| raw.limits.retry_after == Some(true)),
        report_source: match raw.load_report.as_ref().map(|r| r.how.as_str()) {
            Some("answers") => ReportSource::Answers,
            Some("probe") => ReportSource::Probes,
            _ => ReportSource::None,
        },
        grants: family.takes_grants == Some(true),
        priorities: family.lanes_count == Some(true),
        max_grant_share: family.grant_cap,
        memory_shortage: match family.out_of_memory.as_deref() {
            Some("trim") => MemoryShortage::Shrink,
            Some("swap") => MemoryShortage::Page,
            _ => MemoryShortage::Wait,
        },
        answers_report_cost: family.cost_in_answers == Some(true),
        progress_interval_ns: family.progress_pace_ns.filter(|p| *p > 0),
        drain_grace_ns: g.drain_grace_ns,
        initial_capacity: g.initial_capacity,
        warmup_ns: g.warmup_ns,
        overload_multiple: g.overload_multiple,
        overload_window_ns: g.overload_window_ns,
        order_pause_ns: g.order_pause_ns.filter(|p| *p > 0),
        retry_budget,
        must_subscribe: raw.membership_mode.as_deref() == Some("subscribe"),
    };
    Ok((settings, names))
}
