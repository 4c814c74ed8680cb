//! Responses of engines.

use log::debug;
use marljunction_core::end_reason::EndReason;
use marljunction_core::Attempt;
use marljunction_http1::head::{has_complete_rows, Head};

use super::connections::Role;
use super::{HttpBackend, RETRY_DELAY_NS};
use crate::Context;

/// Largest result.
const MAX_RESULT_BYTES: usize = 48_000;
/// Most invalid responses to one query before the attempt fails.
const MAX_INVALID_RESPONSES: u32 = 5;

impl HttpBackend {
    /// Handles a complete response. `conn` is absent if the connection cannot be reused.
    /// `is_from_query_process` is false if another process at the query's address may have sent it.
    pub(super) fn handle_response(
        &mut self,
        cx: &mut Context,
        conn: Option<u64>,
        role: Role,
        is_from_query_process: bool,
        head: Head,
        body: Vec<u8>,
    ) {
        match role {
            Role::Idle => {}
            Role::Discard => self.release(cx, conn),
            // Another status belongs to an earlier call, and would count as a confirmed
            // cancellation while the query runs.
            Role::Cancel(_) | Role::SetPriority(_) if !matches!(head.status, 204 | 500) => {
                self.invalid_response(cx, conn, role, "unexpected status");
            }
            Role::Cancel(attempt) => {
                self.release(cx, conn);
                // After a stall the engine may have processed the DELETE before the POST, and start
                // the query afterwards. The DELETE is repeated once the POST has had time to be
                // read.
                let open_call = self.has_open_call(attempt);
                let Some(query) = self.queries.get_mut(&attempt) else { return };
                match query
                    .cancellation
                    .as_mut()
                    .filter(|cancellation| !query.is_known && (open_call || !cancellation.acknowledged))
                {
                    Some(cancellation) => {
                        (cancellation.conn, cancellation.acknowledged) = (None, true);
                        cancellation.retry_at_ns =
                            if open_call { u64::MAX } else { cx.now + RETRY_DELAY_NS / 2 };
                    }
                    None => self.end_attempt(cx, attempt, EndReason::GivenUp),
                }
            }
            Role::SetPriority(attempt) => {
                self.queries.entry(attempt).and_modify(|q| q.priority_update_pending = false);
                self.release(cx, conn);
                self.send_priority(cx, attempt);
            }
            Role::Post(attempt) | Role::Poll(attempt) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return self.release(cx, conn) };
                // Page 0 carries the number of pages; any other page belongs to another call.
                let is_result = head.status == 200;
                if is_result
                    && (head.pages.is_none_or(|n| n == 0) || head.page.is_some() || !has_complete_rows(&body))
                {
                    return self.invalid_response(cx, conn, role, "not a valid first page");
                }
                // After a stall the engine may still read the POST of a query that it does not know
                // yet. Polls once more before the attempt fails.
                if head.status == 500
                    && std::mem::take(&mut query.post_timed_out)
                    && query.cancellation.is_none()
                {
                    (query.conn, query.retry_at_ns) = (None, cx.now + RETRY_DELAY_NS / 2);
                    return self.release(cx, conn);
                }
                let is_first_response = !std::mem::replace(&mut query.is_known, true);
                (query.fully_written, query.disconnects, query.post_timed_out) = (true, 0, false);
                query.load_report = head.load_report.or(query.load_report);
                match (head.status, head.never_ran) {
                    (202, _) => {
                        if let Some(note) = head.note {
                            cx.router.attempt_update(attempt, note);
                        }
                        // The pending DELETE may have been processed before the POST; it is sent
                        // again.
                        let pending = query
                            .cancellation
                            .as_mut()
                            .filter(|_| is_first_response)
                            .and_then(|c| c.conn.take());
                        pending.into_iter().for_each(|conn| self.discard(cx, conn));
                        self.poll(cx, attempt, conn);
                        self.send_priority(cx, attempt);
                    }
                    (200, _) => {
                        (query.pages, query.next_page, query.rows) = (head.pages.unwrap_or(1), 1, body);
                        self.fetch_next_page_or_end(cx, attempt, conn);
                    }
                    (503, true) if is_from_query_process => self.finish(cx, attempt, conn, EndReason::Full),
                    (504, true) if is_from_query_process => self.finish(cx, attempt, conn, EndReason::Over),
                    // It never ran at the process that says so, which may not be the one that had it.
                    (503 | 504, true) | (500, _) => self.finish(cx, attempt, conn, EndReason::EngineError),
                    _ => self.invalid_response(cx, conn, role, "unexpected status"),
                }
            }
            Role::FetchPage(attempt, number) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return self.release(cx, conn) };
                if head.status == 500 {
                    return self.finish(cx, attempt, conn, EndReason::EngineError);
                }
                let fits = head.status == 200 && head.page == Some(number) && has_complete_rows(&body);
                if !fits || query.rows.len() + body.len() > MAX_RESULT_BYTES {
                    return self.invalid_response(cx, conn, role, "unexpected or oversized page");
                }
                query.load_report = head.load_report.or(query.load_report);
                query.rows.extend_from_slice(&body);
                (query.next_page, query.disconnects, query.invalid_responses) = (query.next_page + 1, 0, 0);
                self.fetch_next_page_or_end(cx, attempt, conn);
            }
        }
    }

    pub(super) fn fetch_next_page_or_end(&mut self, cx: &mut Context, attempt: Attempt, conn: Option<u64>) {
        let Some(query) = self.queries.get(&attempt) else { return };
        if query.next_page >= query.pages {
            self.finish(cx, attempt, conn, EndReason::Served);
        } else {
            self.poll(cx, attempt, conn);
        }
    }

    pub(super) fn finish(
        &mut self,
        cx: &mut Context,
        attempt: Attempt,
        conn: Option<u64>,
        end_reason: EndReason,
    ) {
        self.release(cx, conn);
        // The open POST or poll of a cancelled query gets a 500 before the DELETE gets its response;
        // that is no failure of the engine.
        let was_cancelled = end_reason == EndReason::EngineError
            && self.queries.get(&attempt).is_some_and(|q| q.cancellation.is_some());
        self.end_attempt(cx, attempt, if was_cancelled { EndReason::GivenUp } else { end_reason });
    }

    /// Closes the connection of a response that is malformed or belongs to another call. The engine
    /// still has the query, so it is polled on a new connection, up to a limit.
    pub(super) fn invalid_response(&mut self, cx: &mut Context, conn: Option<u64>, role: Role, reason: &str) {
        debug!("invalid engine response to {role:?}: {reason}");
        cx.router.counters.spoilt += 1;
        conn.into_iter().for_each(|conn| self.close(cx, conn));
        if let Role::Post(attempt) | Role::Poll(attempt) | Role::FetchPage(attempt, _) = role {
            let Some(query) = self.queries.get_mut(&attempt) else { return };
            // A response means that the engine has the query.
            (query.invalid_responses, query.fully_written) = (query.invalid_responses + 1, true);
            if query.invalid_responses > MAX_INVALID_RESPONSES {
                return self.end_attempt(cx, attempt, EndReason::Garbled);
            }
        }
        self.handle_disconnect(cx, role, true, EndReason::Garbled);
    }
}
