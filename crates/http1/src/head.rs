//! Heads and bodies of HTTP answers, as engines and the coordinator send them.

use marljunction_control::interface::{LoadReport, Note};

/// Largest head that is read (bytes).
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Largest body that is read (bytes): the most that a page holds.
const MAX_BODY_BYTES: usize = 6_000;
/// Interim answers ahead of one (count).
const MAX_INTERIM_RESPONSES: usize = 8;

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// Length of the body; absent where it is not told.
    pub length: Option<usize>,
    /// The body comes in chunks.
    pub chunked: bool,
    /// The connection ends behind the answer.
    pub connection_close: bool,
    /// `Chunks`: number of all pages.
    pub pages: Option<u32>,
    /// `Chunk`: number of this page.
    pub page: Option<u32>,
    /// `Never-Ran`: the query never ran.
    pub never_ran: bool,
    /// A note: `Outcome` and `Reading`.
    pub note: Option<Note>,
    /// The load report.
    pub load_report: Option<LoadReport>,
    /// Consul's index of the answer.
    pub consul_index: Option<u64>,
    /// `Retry-After`, where it can be read.
    pub retry_after: Option<RetryAfter>,
}

/// When a service that turned a call away wants to be asked again (RFC 9110, 10.2.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// After so long (ns).
    Delay(u64),
    /// At this Unix time (ns).
    Date(u64),
}

impl RetryAfter {
    /// Reads the field's value: seconds, or a date; nothing else.
    pub fn parse(value: &str) -> Option<RetryAfter> {
        if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) {
            // More digits than fit are a long time too.
            let seconds: u64 = value.parse().unwrap_or(u64::MAX);
            return Some(RetryAfter::Delay(seconds.saturating_mul(1_000_000_000)));
        }
        let at = httpdate::parse_http_date(value).ok()?.duration_since(std::time::UNIX_EPOCH).ok()?;
        Some(RetryAfter::Date(at.as_secs().saturating_mul(1_000_000_000)))
    }

    /// How long to stay away for, from Unix time `now` on (ns): a date that has passed asks for nothing.
    pub fn delay_ns(self, now: u64) -> u64 {
        match self {
            RetryAfter::Delay(delay_ns) => delay_ns,
            RetryAfter::Date(unix_ns) => unix_ns.saturating_sub(now),
        }
    }
}

/// Reads a load report such as `inflight:7;util:0.61`; unknown fields are passed over.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut load_report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "inflight" | "rif" => load_report.in_flight = value,
            "util" | "busy" => load_report.busy_share = value,
            "queue" | "q" => load_report.queued = value,
            "x0" => load_report.memory_share = value,
            "x1" => load_report.disk_share = value,
            _ => {}
        }
    }
    (load_report != LoadReport::default()).then_some(load_report)
}

fn parse_note(name: &str, value: Option<&str>) -> Option<Note> {
    let value: f64 = value.and_then(|v| v.trim().parse().ok()).filter(|v: &f64| v.is_finite())?;
    match name.trim() {
        "frac" => Some(Note::Progress(value)),
        "missing" => Some(Note::Spills(value)),
        "parked" => Some(Note::Waits),
        _ => None,
    }
}

/// Reads the head of an answer with its size in bytes; nothing where it has not come whole.
pub fn parse_response_head(input: &[u8]) -> Result<Option<(Head, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut answer = httparse::Response::new(&mut headers);
    let size = match answer.parse(input) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD_BYTES => size,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) => return Err("the head is too long".into()),
        Err(e) => return Err(format!("bad head: {e}")),
    };
    let mut head = Head { status: answer.code.unwrap_or(0), ..Head::default() };
    let (mut outcome, mut reading) = (None, None);
    for header in answer.headers.iter() {
        let Ok(value) = std::str::from_utf8(header.value) else { continue };
        let value = value.trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                // Guards against two lengths, or one with a sign: where the answer ends would be a guess.
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                let length = value.parse().ok().filter(|_| digits).ok_or("bad length")?;
                if head.length.replace(length).is_some_and(|before| before != length) {
                    return Err("two lengths".into());
                }
            }
            "transfer-encoding" => head.chunked = value.eq_ignore_ascii_case("chunked"),
            "connection" => head.connection_close = value.eq_ignore_ascii_case("close"),
            "chunks" => head.pages = value.parse().ok(),
            "chunk" => head.page = value.parse().ok(),
            "never-ran" => head.never_ran = value == "1",
            "outcome" => outcome = Some(value.to_owned()),
            "reading" => reading = Some(value.to_owned()),
            "load-report" => head.load_report = parse_load_report(value),
            "retry-after" => head.retry_after = RetryAfter::parse(value),
            "x-consul-index" => head.consul_index = value.parse().ok(),
            _ => {}
        }
    }
    head.note = outcome.and_then(|name| parse_note(&name, reading.as_deref()));
    Ok(Some((head, size)))
}

/// Reads a whole answer of known length: its head, and where its body starts and ends in `input`. Interim
/// answers (1xx) ahead of it are passed over.
pub fn parse_response(input: &[u8]) -> Result<Option<(Head, usize, usize)>, String> {
    let mut from = 0;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let Some((head, size)) = parse_response_head(&input[from..])? else { return Ok(None) };
        from += size;
        let length = match head.length {
            _ if head.status < 200 => continue,
            _ if head.status == 204 || head.status == 304 => 0,
            Some(_) if head.chunked => return Err("both a length and chunks".into()),
            Some(length) => length,
            None => return Err("the body's length is not told".into()),
        };
        if length > MAX_BODY_BYTES {
            return Err("the body is too long".into());
        }
        return Ok((input.len() >= from + length).then_some((head, from, from + length)));
    }
    Err("interim answers without end".into())
}

/// Whether a body is whole rows of three columns, as every page is. Guards against a page whose length was
/// told too short, or that has noise in it.
pub fn has_complete_rows(body: &[u8]) -> bool {
    let columns = |row: &[u8]| row.iter().filter(|b| **b == b'\t').count() == 2;
    body.is_empty() || body.ends_with(b"\n") && body.split(|b| *b == b'\n').rev().skip(1).all(columns)
}
