//! The configuration of a small deployment: six to eight engines, classes as in its brief.

use std::net::SocketAddr;

/// Classes with shorter deadlines or other effects than the site's, where a case needs them.
pub struct Classes {
    /// Deadline of `service-load` (ms).
    pub load_deadline_ms: u64,
    /// Effect and order of `service-load` as JSON fields.
    pub load_effect: &'static str,
}

impl Default for Classes {
    fn default() -> Self {
        Classes { load_deadline_ms: 20_000, load_effect: r#""effect":"at_most_once""# }
    }
}

/// The settings object as JSON.
fn settings(classes: &Classes) -> String {
    let Classes { load_deadline_ms, load_effect } = classes;
    format!(
        r#"{{"azs":["bldg-a"],"balancers":1,"me":0,"zone":"bldg-a","kinds":["std-12"],"membership_mode":"automatic",
"load_report":{{"fields":["util","inflight"],"how":"answers"}},
"realms":[{{"allowance_per_s":100.0,"fraction":1.0,"name":"gulf-coast-comfort"}}],
"family_info":{{"cores_by_kind":[12],"dop":[1,4,2],"lanes_count":true,"out_of_memory":"swap","progress_pace_ns":500000000,
"ram_of_kind_mb":[24576.0],"takes_grants":false,"waits_for_loads":[false,false,false],"writes_tables":[false,false,true]}},
"guarantees":{{"ask_every_ns":10000000000,"cold_ns":15000000000,"drain_grace_ns":500000000,"fall_ns":1000000000,
"grace_to_answer_ns":20000000,"order_pause_ns":100000000,"start_capacity":0.32,"tip_multiple":2.5}},
"limits":{{"cancelling":true,"conn_idle_ns":30000000000,"connect_timeout_ns":250000000,"max_retry_after_ns":1000000000,
"retry_after":true,"second_copies":false,"may_tell":false,"probes":false,"send_cap":4}},
"request_classes":[
{{"aim_ns":1200000000,"aim_stretch":1.5,"effect":"idempotent","give_up_ns":6000000000,"late_worth":0.0,"name":"lookup","worth":1.0}},
{{"aim_ns":2000000000,"aim_stretch":2.5,"effect":"idempotent","give_up_ns":25000000000,"late_worth":0.3,"name":"report","worth":7.5}},
{{"aim_ns":3000000000,"aim_stretch":3.0,{load_effect},"give_up_ns":{load_deadline_ms}000000,"late_worth":0.6,"name":"service-load","worth":4.0}}]}}"#
    )
}

/// The configuration as JSON. `known` is the event of the whole list, if there is one.
pub fn config(
    listen: &str,
    coordinator: Option<SocketAddr>,
    known: Option<&str>,
    classes: &Classes,
) -> String {
    let coordinator = coordinator.map_or(String::new(), |at| format!(r#""coordinator":"{at}","#));
    let index = u8::from(known.is_some());
    let known = known.unwrap_or("");
    format!(
        r#"{{"name":"n1","listen":"{listen}","operator":"127.0.0.1:0","seed":"8c1f30d27a5be964",{coordinator}
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"index":{index},"updates":[{known}]}},"settings":{}}}"#,
        settings(classes)
    )
}

/// The fields of a call.
pub fn fields(id: u64, budget_ms: u64, work_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("rid", format!("{id:016x}")),
        ("budget", budget_ms.to_string()),
        ("acct", "gulf-coast-comfort".into()),
        ("est", format!("{work_ms}.0")),
        ("mem", "96".into()),
    ]
}
