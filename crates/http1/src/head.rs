//! Parser for the HTTP responses of engines and of the coordinator.

use marljunction_control::interface::{AttemptUpdate, LoadReport};

/// Largest response head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Largest response body: one result page.
const MAX_BODY_BYTES: usize = 6_000;
/// Most interim (1xx) responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Parsed head of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// `Content-Length`.
    pub length: Option<usize>,
    /// `Transfer-Encoding: chunked`.
    pub chunked: bool,
    /// `Connection: close`.
    pub connection_close: bool,
    /// `Chunks`: number of result pages.
    pub pages: Option<u32>,
    /// `Chunk`: zero-based number of this result page.
    pub page: Option<u32>,
    /// `Never-Ran`: the engine did not start the query.
    pub never_ran: bool,
    /// `Outcome` and `Reading`: progress of the query.
    pub note: Option<AttemptUpdate>,
    /// `Load-Report`: load of the engine.
    pub load_report: Option<LoadReport>,
    /// `X-Consul-Index`.
    pub consul_index: Option<u64>,
    /// `Retry-After`, if valid.
    pub retry_after: Option<RetryAfter>,
}

/// Value of a `Retry-After` header (RFC 9110, 10.2.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// Delay in nanoseconds.
    Delay(u64),
    /// Unix time in nanoseconds.
    Date(u64),
}

impl RetryAfter {
    /// Parses a number of seconds or an HTTP date.
    pub fn parse(value: &str) -> Option<RetryAfter> {
        if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) {
            // A number that overflows means the longest delay.
            let seconds: u64 = value.parse().unwrap_or(u64::MAX);
            return Some(RetryAfter::Delay(seconds.saturating_mul(1_000_000_000)));
        }
        let at = httpdate::parse_http_date(value).ok()?.duration_since(std::time::UNIX_EPOCH).ok()?;
        Some(RetryAfter::Date(at.as_secs().saturating_mul(1_000_000_000)))
    }

    /// Delay in nanoseconds from the Unix time `now` (ns); zero for a date in the past.
    pub fn delay_ns(self, now: u64) -> u64 {
        match self {
            RetryAfter::Delay(delay_ns) => delay_ns,
            RetryAfter::Date(unix_ns) => unix_ns.saturating_sub(now),
        }
    }
}

/// Parses a load report such as `inflight:7;util:0.61`; unknown fields are ignored.
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

fn parse_note(name: &str, value: Option<&str>) -> Option<AttemptUpdate> {
    let value: f64 = value.and_then(|v| v.trim().parse().ok()).filter(|v: &f64| v.is_finite())?;
    match name.trim() {
        "frac" => Some(AttemptUpdate::Progress(value)),
        "missing" => Some(AttemptUpdate::Spilling(value)),
        "parked" => Some(AttemptUpdate::Waiting),
        _ => None,
    }
}

/// Parses a response head. Returns it with its size in bytes, or nothing if it is incomplete.
///
/// # Errors
/// If the head is malformed or too large.
pub fn parse_response_head(input: &[u8]) -> Result<Option<(Head, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut answer = httparse::Response::new(&mut headers);
    let size = match answer.parse(input) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD_BYTES => size,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) => return Err("response head is too large".into()),
        Err(e) => return Err(format!("invalid response head: {e}")),
    };
    let mut head = Head { status: answer.code.unwrap_or(0), ..Head::default() };
    let (mut outcome, mut reading) = (None, None);
    for header in answer.headers.iter() {
        let Ok(value) = std::str::from_utf8(header.value) else { continue };
        let value = value.trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                // Conflicting or signed lengths are rejected: the end of the body would be
                // ambiguous.
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                let length = value.parse().ok().filter(|_| digits).ok_or("invalid Content-Length")?;
                if head.length.replace(length).is_some_and(|before| before != length) {
                    return Err("conflicting Content-Length headers".into());
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

/// Parses a response with a `Content-Length`, skipping interim (1xx) responses. Returns its head
/// and the start and end of its body in `input`, or nothing if it is incomplete.
///
/// # Errors
/// If the response is malformed, too large, or of unknown length.
pub fn parse_response(input: &[u8]) -> Result<Option<(Head, usize, usize)>, String> {
    let mut from = 0;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let Some((head, size)) = parse_response_head(&input[from..])? else { return Ok(None) };
        from += size;
        let length = match head.length {
            _ if head.status < 200 => continue,
            _ if head.status == 204 || head.status == 304 => 0,
            Some(_) if head.chunked => return Err("both Content-Length and chunked Transfer-Encoding".into()),
            Some(length) => length,
            None => return Err("missing Content-Length".into()),
        };
        if length > MAX_BODY_BYTES {
            return Err("response body is too large".into());
        }
        return Ok((input.len() >= from + length).then_some((head, from, from + length)));
    }
    Err("too many interim responses".into())
}

/// Whether a result page consists of complete rows of three tab-separated columns. Detects
/// truncated and corrupted pages.
pub fn has_complete_rows(body: &[u8]) -> bool {
    let columns = |row: &[u8]| row.iter().filter(|b| **b == b'\t').count() == 2;
    body.is_empty() || body.ends_with(b"\n") && body.split(|b| *b == b'\n').rev().skip(1).all(columns)
}
