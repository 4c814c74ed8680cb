//! Heads and bodies of HTTP answers, as engines and the coordinator send them.

use marljunction_control::interface::{AttemptUpdate, LoadReport};

/// Largest head that is read (bytes).
const HEAD_MOST: usize = 8 << 10;
/// Largest body that is read (bytes): the most that a page holds.
const BODY_MOST: usize = 6_000;
/// Interim answers ahead of one (count).
const INTERIM_MOST: usize = 8;

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
    pub closes: bool,
    /// `Chunks`: number of all pages.
    pub pages: Option<u32>,
    /// `Chunk`: number of this page.
    pub page: Option<u32>,
    /// `Never-Ran`: the query never ran.
    pub never_ran: bool,
    /// A note: `Outcome` and `Reading`.
    pub note: Option<AttemptUpdate>,
    /// The load report.
    pub report: Option<LoadReport>,
    /// Consul's index of the answer.
    pub consul_index: Option<u64>,
    /// `Retry-After`, where it can be read.
    pub retry_after: Option<RetryAfter>,
}

/// When a service that turned a call away wants to be asked again (RFC 9110, 10.2.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// After so long (ns).
    Wait(u64),
    /// At this Unix time (ns).
    At(u64),
}

impl RetryAfter {
    /// Reads the field's value: seconds, or a date; nothing else.
    pub fn read(value: &str) -> Option<RetryAfter> {
        if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) {
            // More digits than fit are a long time too.
            let seconds: u64 = value.parse().unwrap_or(u64::MAX);
            return Some(RetryAfter::Wait(seconds.saturating_mul(1_000_000_000)));
        }
        let at = httpdate::parse_http_date(value).ok()?.duration_since(std::time::UNIX_EPOCH).ok()?;
        Some(RetryAfter::At(at.as_secs().saturating_mul(1_000_000_000)))
    }

    /// How long to stay away for, from Unix time `now` on (ns): a date that has passed asks for nothing.
    pub fn from(self, now: u64) -> u64 {
        match self {
            RetryAfter::Wait(wait) => wait,
            RetryAfter::At(at) => at.saturating_sub(now),
        }
    }
}

/// Reads a load report such as `inflight:7;util:0.61`; unknown fields are passed over.
pub fn read_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "inflight" | "rif" => report.in_flight = value,
            "util" | "busy" => report.busy_share = value,
            "queue" | "q" => report.queued = value,
            "x0" => report.memory_share = value,
            "x1" => report.disk_share = value,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

fn read_note(name: &str, value: Option<&str>) -> Option<AttemptUpdate> {
    let value: f64 = value.and_then(|v| v.trim().parse().ok()).filter(|v: &f64| v.is_finite())?;
    match name.trim() {
        "frac" => Some(AttemptUpdate::Progress(value)),
        "missing" => Some(AttemptUpdate::Spilling(value)),
        "parked" => Some(AttemptUpdate::Waiting),
        _ => None,
    }
}

/// Reads the head of an answer with its size in bytes; nothing where it has not come whole.
pub fn read_head(input: &[u8]) -> Result<Option<(Head, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut answer = httparse::Response::new(&mut headers);
    let size = match answer.parse(input) {
        Ok(httparse::Status::Complete(size)) if size <= HEAD_MOST => size,
        Ok(httparse::Status::Partial) if input.len() <= HEAD_MOST => return Ok(None),
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
            "connection" => head.closes = value.eq_ignore_ascii_case("close"),
            "chunks" => head.pages = value.parse().ok(),
            "chunk" => head.page = value.parse().ok(),
            "never-ran" => head.never_ran = value == "1",
            "outcome" => outcome = Some(value.to_owned()),
            "reading" => reading = Some(value.to_owned()),
            "load-report" => head.report = read_report(value),
            "retry-after" => head.retry_after = RetryAfter::read(value),
            "x-consul-index" => head.consul_index = value.parse().ok(),
            _ => {}
        }
    }
    head.note = outcome.and_then(|name| read_note(&name, reading.as_deref()));
    Ok(Some((head, size)))
}

/// Reads a whole answer of known length: its head, and where its body starts and ends in `input`. Interim
/// answers (1xx) ahead of it are passed over.
pub fn read_answer(input: &[u8]) -> Result<Option<(Head, usize, usize)>, String> {
    let mut from = 0;
    for _ in 0..=INTERIM_MOST {
        let Some((head, size)) = read_head(&input[from..])? else { return Ok(None) };
        from += size;
        let length = match head.length {
            _ if head.status < 200 => continue,
            _ if head.status == 204 || head.status == 304 => 0,
            Some(_) if head.chunked => return Err("both a length and chunks".into()),
            Some(length) => length,
            None => return Err("the body's length is not told".into()),
        };
        if length > BODY_MOST {
            return Err("the body is too long".into());
        }
        return Ok((input.len() >= from + length).then_some((head, from, from + length)));
    }
    Err("interim answers without end".into())
}

/// Whether a body is whole rows of three columns, as every page is. Guards against a page whose length was
/// told too short, or that has noise in it.
pub fn whole_rows(body: &[u8]) -> bool {
    let columns = |row: &[u8]| row.iter().filter(|b| **b == b'\t').count() == 2;
    body.is_empty() || body.ends_with(b"\n") && body.split(|b| *b == b'\n').rev().skip(1).all(columns)
}
