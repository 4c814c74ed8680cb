//! Tests the adapter's line protocol: requests, lists, instances and malformed input.

use marljunction_adapter::wire::Host;

const SETTINGS: &str = r#"{"azs":["a","b"],"balancers":1,"me":0,"zone":"a","kinds":["k"],"novel_key":3,
"family_info":{"cores_by_kind":[8],"dop":[1],"ram_of_kind_mb":[16384.0],"takes_grants":true,"lanes_count":true},
"guarantees":{"cold_ns":15000000000,"drain_grace_ns":500000000},
"limits":{"cancelling":true,"probes":true,"retry_after":true,"max_retry_after_ns":500000000,"send_cap":5},
"load_report":{"fields":["rif"],"how":"answers"},"realms":[{"name":"t","allowance_per_s":9.5}],
"request_classes":[{"name":"look","aim_ns":600000000,"aim_stretch":2.0,"give_up_ns":3000000000,
"effect":"idempotent","worth":1.0,"late_worth":0.1}]}"#;

fn send_lines(host: &mut Host, text: &str) -> Result<String, String> {
    let mut reply = String::new();
    for line in text.lines() {
        if let Some(part) = host.handle_line(line).map_err(|e| e.to_string())? {
            reply.push_str(&part);
        }
    }
    Ok(reply)
}

fn start(name: &str) -> String {
    let settings = SETTINGS.replace('\n', "");
    format!(
        "FRAME 1000000000\nTARGET_INSTANCE {name}\nPOWER_ON 7 {settings}\nDIRECTORY 0 1\n\
         ROW 10.18.74.7:5003 a k 0 in_service 1 -\nREGISTRY warm_copy 1 0\nFLUSH\n"
    )
}

fn started() -> Host {
    let mut host = Host::new();
    assert_eq!(send_lines(&mut host, &start("controller-0")).unwrap(), "OK\n");
    host
}

const REQ: &str = "REQ 11 3 2000000000 look - 384 t 100000000 1";

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(send_lines(&mut Host::new(), "FRAME 5\nFLUSH\n").unwrap(), "OK\n");
}

#[test]
fn requests_outcomes_and_unknown_fields_are_accepted() {
    let mut host = started();
    let reply =
        send_lines(&mut host, &format!("FRAME 2000000000\nTARGET_INSTANCE controller-0\n{REQ}\nFLUSH\n"))
            .unwrap();
    assert!(reply.starts_with("SPEAKING controller-0\n"), "{reply}");
    assert!(reply.contains("SUBMIT_TO 11 10.18.74.7:5003 2000000000\n"), "{reply}");
    assert!(reply.ends_with("OK\n"));
    let rest = "FRAME 2100000000\nTARGET_INSTANCE controller-0\nCHANGE 11 0 10.18.74.7:5003 1 0.5\n\
        CHANGE 11 0 10.18.74.7:5003 9 0.5\nOUTCOME 11 0 10.18.74.7:5003 done 100000000 1 69728 rif:7,novel:x\n\
        LEFT 11\nWAKEUP 99\nMEMO 1 aGkgNw==\nMEMO 1 -\nCHECK_RESULT 10.18.74.7:5003 done 1000 rif:1\n\
        REGISTRY lost - -\nDETACH\nFLUSH\n";
    assert_eq!(send_lines(&mut host, rest).unwrap(), "OK\n");
    let after_detach = format!("FRAME 2200000000\nTARGET_INSTANCE controller-0\n{REQ}\nFLUSH\n");
    assert!(
        send_lines(&mut host, &after_detach).unwrap_err().contains("not running"),
        "DETACH removes the instance"
    );
}

#[test]
fn reused_list_number_refers_to_the_latest_list() {
    let mut host = started();
    let batch = format!(
        "FRAME 2000000000\nTARGET_INSTANCE controller-0\nDIRECTORY 0 1\nROW 10.0.0.1:1 a k 0 in_service 1 -\n\
         REGISTRY total 2 0\nDIRECTORY 0 1\nROW 10.0.0.2:2 a k 0 in_service 1 -\nREGISTRY total 3 0\n{REQ}\nFLUSH\n"
    );
    let reply = send_lines(&mut host, &batch).unwrap();
    assert!(reply.contains("SUBMIT_TO 11 10.0.0.2:2 "), "{reply}");
}

#[test]
fn instances_do_not_share_state() {
    let mut alone = started();
    let mut both = started();
    send_lines(&mut both, &start("controller-1")).unwrap();
    let mine = format!("FRAME 2000000000\nTARGET_INSTANCE controller-0\n{REQ}\nFLUSH\n");
    let theirs =
        format!("FRAME 1500000000\nTARGET_INSTANCE controller-1\n{}\nFLUSH\n", REQ.replace("11", "12"));
    send_lines(&mut both, &theirs).unwrap();
    assert_eq!(send_lines(&mut alone, &mine), send_lines(&mut both, &mine));
}

#[test]
fn malformed_input_reports_the_line_and_the_error() {
    let at = "FRAME 2000000000\nTARGET_INSTANCE controller-0\n";
    let cases = [
        ("NOVEL 1\nFLUSH", "outside a batch"),
        ("FRAME x", "bad number"),
        ("FRAME 1 2", "too many parts"),
        ("FRAME 1\nFRAME 2", "inside a batch"),
        ("FRAME 1\nREQ 1", "no instance named"),
        ("FRAME 1\nTARGET_INSTANCE controller-9\nLEFT 1", "not running"),
        ("FRAME 1\nTARGET_INSTANCE controller-9\nPOWER_ON 1 {\"azs\":", "settings"),
        ("FRAME 1\nTARGET_INSTANCE controller-9\nPOWER_ON 1 {}", "settings"),
        ("@NOVEL 1", "unknown message"),
        ("@LEFT", "too few parts"),
        ("@LEFT -", "missing"),
        ("@LEFT 1 2", "too many parts"),
        ("@MEMO 1 *?*", "base64"),
        ("@REGISTRY total 1 9", "no list 9"),
        ("@REGISTRY total 1 -", "names no list"),
        ("@REGISTRY novel 1 0", "unknown form"),
        ("@DIRECTORY 0 2\nROW 10.0.0.1:1 a k 0 in_service 1 -\nFLUSH", "lacks 1 rows"),
        ("@DIRECTORY 0 1\nROW nowhere a k 0 in_service 1 -", "bad executor"),
        ("@DIRECTORY 0 1\nROW 10.0.0.1:1 a k 0 novel 1 -", "unknown mode"),
        ("@ROW 10.0.0.1:1 a k 0 in_service 1 -", "outside a list"),
        ("@REQ 1 3 2000 novel - 384 t 100 1", "unknown class"),
        ("@REQ 1 3 2000 look - nan t 100 1", "bad number"),
        ("@OUTCOME 1 0 10.0.0.1:1 novel 1 1 0 -", "unknown outcome"),
        ("@OUTCOME 1 0 10.0.0.1:1 done 1 7 0 -", "bad bool"),
        ("@OUTCOME 1 0 10.0.0.1:1 done 1 1 0 rif", "bad report"),
        ("@OUTCOME 1 0 10.0.0.1:1 done 1 1 0 rif:x", "bad report value"),
    ];
    for (text, message) in cases {
        let text = text.replace('@', at);
        let error = send_lines(&mut started(), &text).unwrap_err();
        assert!(error.contains(message) && error.starts_with("line "), "{text}: {error}");
    }
}

#[test]
fn missing_optional_setting_is_none_not_zero() {
    // Without send_cap further attempts are allowed; without cold_ns a new engine has no warm-up.
    let bare = SETTINGS.replace(",\"send_cap\":5", "").replace("\"cold_ns\":15000000000,", "");
    let text = start("controller-0").replace(&SETTINGS.replace('\n', ""), &bare.replace('\n', ""));
    let mut host = Host::new();
    send_lines(&mut host, &text.replace("in_service 1 -", "in_service 1 900000000")).unwrap();
    let reply =
        send_lines(&mut host, &format!("FRAME 1000000001\nTARGET_INSTANCE controller-0\n{REQ}\nFLUSH\n"))
            .unwrap();
    assert!(reply.contains("SUBMIT_TO"), "{reply}");
}

#[test]
fn process_fails_on_malformed_input_and_exits_at_end_of_input() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    for (input, ok) in [("FRAME 1\nFLUSH\n", true), ("FRAME 1\nNOVEL\n", false)] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_marljunction-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
        let out = child.wait_with_output().unwrap();
        assert_eq!(out.status.success(), ok);
        assert_eq!(out.stdout, if ok { b"OK\n".to_vec() } else { Vec::new() });
        assert_eq!(String::from_utf8_lossy(&out.stderr).contains("line 2"), !ok);
    }
}
