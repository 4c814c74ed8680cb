//! Operating requirements for clients: requests of clients that left are not sent, and idle clients
//! do not block others.

#[allow(dead_code)]
#[path = "common/harness.rs"]
mod harness;

use harness::Harness;
use rstest::rstest;

const REQUEST: &str = r"c > \x94\x00\x01\xacservice-load\x92\x83\xa3rid\xb09b1f03aa5c7e2d41\xa6budget\xa520000\xa4acct\xb2gulf-coast-comfort\xc4\x1dselect * from sales_17.orders";

fn run_script(name: &str, script: &[&str]) -> Harness {
    let mut harness = Harness::start(name, &script.join("\n"));
    script.iter().for_each(|line| harness.step(line));
    harness
}

/// A client leaves after a failed attempt, while the retry waits for its connection: the retry is
/// not sent.
#[rstest]
#[case::forgets(r"c > \x93\x02\xa6forget\x91\x01", "later")]
#[case::forgets_first(r"c > \x93\x02\xa6forget\x91\x01", "behind")]
#[case::forgets_last(r"c > \x93\x02\xa6forget\x91\x01", "before")]
#[case::closes("close c", "later")]
#[case::closes_first("close c", "behind")]
#[case::closes_last("close c", "before")]
fn no_retry_starts_after_the_client_leaves(
    #[case] departure: &str,
    #[case] connect_order: &str,
    #[values("", "with no cancelling")] option: &str,
) {
    let label = format!("further-{}-{connect_order}-{}", departure.len(), option.len());
    let refusal = "e > HTTP/1.1 503 Full\\r\\nContent-Length: 0\\r\\nNever-Ran: 1\\r\\n\\r\\n";
    let request_steps =
        ["with two engines", "with late connections", option, "fill e1", "open c msgpack", REQUEST];
    let first_attempt =
        ["accept e e2", r"e < POST /o HTTP/1.1\r\n{*}sales_17.orders", refusal, "await opened=2"];
    let cancelled = "await ended_withdrawn=1";
    let departure_steps = match connect_order {
        "later" => vec![departure, cancelled, "free e1"],
        "before" => vec!["freeze", "free e1", "accept f e1", departure, "thaw", cancelled],
        _ => vec!["freeze", departure, "free e1", "accept f e1", "thaw", cancelled],
    };
    let (counters, engines) =
        run_script(&label, &[&request_steps[..], &first_attempt, &departure_steps].concat()).stop();
    let posts = engines.windows(8).filter(|w| *w == b"POST /o ").count();
    assert_eq!((posts, counters["sent"], counters["left"]), (1, 2, 1), "{counters:?}");
}

/// Idle clients use all descriptors while the list service is down. Once it is back, the list is
/// fetched, its engine is reached, and a client that connected meanwhile is served.
#[test]
fn idle_clients_at_the_descriptor_limit_block_no_list_engine_or_client_connection() {
    let list_event = r#"t > HTTP/1.1 200 OK\r\n\r\n:hi\nid: 2\ndata: \{"index":2,"endpoints":\{"rev":2,"all":true,"targets":\[\{"uid":"e2","endpoint":"127.0.0.1:{address of e2}","az":"bldg-a","model":"std-12","state":"in_service","capacity_hint":1,"boot_ms":0\}\]\}\}\n\n"#;
    let script = [
        "with short descriptors",
        "with coordinator",
        "accept s coordinator",
        r"s < GET /v2/stream HTTP/1.1\r\n{*}\r\n\r\n",
        "fill coordinator",
        "close s",
        "crowd x 60",
        r"all x > \x94\x00\x01\xa6isWell\x91\x80",
        r"all x < \x94\x01\x01\xc0\x92\xc3\x80",
        "crowd y 60",
        "free coordinator",
        "accept t coordinator",
        r"t < GET /v2/stream HTTP/1.1\r\n{*}\r\n\r\n",
        list_event,
        "await membership=2",
        "open c msgpack",
        REQUEST,
        "accept e e2",
        r"e < POST /o HTTP/1.1\r\n{*}sales_17.orders",
        r"e > HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n",
        r"c < \x94\x01\x01\xc0\x92\xc4\x06a\tb\tc\n\x80",
    ];
    let (counters, _) = run_script("idle-fill", &script).stop();
    assert_eq!((counters["served"], counters["sent"]), (1, 1), "{counters:?}");
}
