//! Converts calls into requests.

use marljunction_core::statement::Statement;
use marljunction_core::ClientRequest;
use marljunction_fair_queue::settings::ClientKey;

use super::codec::Call;
use crate::{Directory, ANSWER_MARGIN_NS};

/// Maximum length of a deduplication token.
const MAX_TOKEN_BYTES: usize = 64;
/// A client's time budget may exceed its class's deadline by this factor, because clients round it.
const DEADLINE_TOLERANCE: f64 = 1.01;
/// Fields of a call that every deployment may use.
const FIELDS: [&str; 7] = ["rid", "budget", "acct", "est", "mem", "token", "obj"];

impl Directory {
    /// Returns whether a request depends on the field with this name.
    pub(super) fn is_request_field(&self, name: &str) -> bool {
        FIELDS.contains(&name) || matches!(&self.client_key, ClientKey::Field(field) if field == name)
    }

    /// Converts a call into a request of the client with the id `peer`.
    ///
    /// # Errors
    /// Returns the reason why the call is no valid request.
    pub(super) fn parse_request(&self, peer: u64, call: Call) -> Result<ClientRequest, String> {
        let Call { method, fields, body, .. } = call;
        let class = self.class(&method).ok_or_else(|| format!("unknown class {method:?}"))?;
        let field = |name: &str| fields.iter().find(|(k, _)| k == name).map(|(_, v)| v.as_str());
        let number = |name: &str| match field(name) {
            None => Ok(None),
            Some(v) => match v.parse::<f64>() {
                Ok(n) if n.is_finite() && n >= 0.0 => Ok(Some(n)),
                _ => Err(format!("bad {name}")),
            },
        };
        let name = field("rid").ok_or("no rid")?;
        if name.len() != 16 || !name.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err("bad rid".into());
        }
        // No client of a class waits longer than the class's deadline.
        let max_budget = self.deadline_ns(class) as f64 * DEADLINE_TOLERANCE;
        let budget = number("budget")?.ok_or("no budget")? * 1e6;
        let budget_ns = Some(budget).filter(|b| *b > 0.0 && *b <= max_budget).ok_or("bad budget")? as u64;
        let token = field("token").map(str::to_owned);
        // The token is sent to engines as an HTTP header.
        let is_valid = |t: &String| {
            (1..=MAX_TOKEN_BYTES).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_alphanumeric())
        };
        if !token.iter().all(is_valid) {
            return Err("bad token".into());
        }
        // Engines cannot recognise a repeat without a token; all attempts have the request's id.
        let token = token.or_else(|| self.deduplicates(class).then(|| name.to_owned()));
        let hex = |v: &str| (1..=16).contains(&v.len()) && v.bytes().all(|b| b.is_ascii_hexdigit());
        let key = |v: &str| u64::from_str_radix(v, 16).ok().filter(|_| hex(v)).ok_or("bad obj");
        let order_key = field("obj").map(key).transpose()?;
        let work = number("est")?.map(|ms| (ms * 1e6) as u64);
        if work == Some(0) {
            return Err("bad est".into());
        }
        let tenant = match field("acct") {
            None => None,
            Some(name) => Some(self.tenant(name).ok_or_else(|| format!("unknown tenant {name:?}"))?),
        };
        Ok(ClientRequest {
            name: name.to_owned(),
            token,
            class,
            order_key,
            tenant,
            client: self.client(peer, |client_key| {
                if let ClientKey::Field(name) = client_key {
                    field(name)
                } else {
                    None
                }
            }),
            time_left_ns: budget_ns.saturating_sub(ANSWER_MARGIN_NS),
            work_estimate_ns: work,
            memory_estimate_mb: number("mem")?.filter(|m| *m > 0.0),
            statement: Statement::plain(body.ok_or("no statement")?),
        })
    }
}
