//! Ends of connections: what they were used for is retried or ends.

use log::debug;
use marljunction_core::end_reason::EndReason;
use marljunction_core::Attempt;

use super::connections::Role;
use super::{HttpBackend, RETRY_DELAY_NS, UNPOLLED_EXPIRY_NS};
use crate::Context;

/// Most times that the POST of a query is written, each time to another connection.
const MAX_POSTS: u32 = 3;

impl HttpBackend {
    /// Handles the end of a connection.
    pub(super) fn connection_lost(&mut self, cx: &mut Context, conn: u64, end_reason: EndReason) {
        let Some(connection) = self.connections.get(&conn) else { return };
        let (role, up) = (connection.role, connection.up);
        self.engines.connection_ended(cx.now, connection.engine, up, end_reason);
        self.close(cx, conn);
        self.handle_disconnect(cx, role, up, end_reason);
    }

    /// Retries or ends what the connection was used for.
    pub(super) fn handle_disconnect(
        &mut self,
        cx: &mut Context,
        role: Role,
        up: bool,
        end_reason: EndReason,
    ) {
        debug!("{role:?}: {} connection ended: {end_reason:?}", if up { "established" } else { "pending" });
        match role {
            Role::Idle | Role::Discard => {}
            Role::SetPriority(attempt) => {
                self.queries.entry(attempt).and_modify(|q| q.priority_update_pending = false);
            }
            Role::Cancel(attempt) => {
                if !up && end_reason == EndReason::Refused && !self.has_open_call(attempt) {
                    return self.end_attempt(cx, attempt, EndReason::Abandoned);
                }
                let last_call_ns = self.queries.get(&attempt).map_or(0, |q| q.last_call_ns);
                if cx.now >= last_call_ns + UNPOLLED_EXPIRY_NS {
                    return self.end_attempt(cx, attempt, EndReason::Abandoned);
                }
                if let Some(cancellation) =
                    self.queries.get_mut(&attempt).and_then(|q| q.cancellation.as_mut())
                {
                    (cancellation.conn, cancellation.retry_at_ns) =
                        (None, if up { cx.now } else { cx.now + RETRY_DELAY_NS / 2 });
                }
            }
            Role::Post(attempt) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return };
                query.conn = None;
                if let Some(cancellation) = &mut query.cancellation {
                    cancellation.retry_at_ns = cancellation.retry_at_ns.min(cx.now + RETRY_DELAY_NS / 2);
                    return;
                }
                let may_retry = query.posts < MAX_POSTS;
                match end_reason {
                    EndReason::Reset if !up && !may_retry => {
                        self.end_attempt(cx, attempt, EndReason::Refused)
                    }
                    EndReason::Reset if !up => self.post(cx, attempt, true),
                    _ if !up => self.end_attempt(cx, attempt, end_reason),
                    // The POST was cut off, so the query did not start.
                    _ if !query.fully_written && may_retry => self.post(cx, attempt, true),
                    _ if !query.fully_written => self.end_attempt(cx, attempt, EndReason::Unsent),
                    _ => {
                        query.last_call_ns = cx.now;
                        self.poll_again(cx, attempt);
                    }
                }
            }
            Role::Poll(attempt) | Role::FetchPage(attempt, _) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return };
                query.conn = None;
                if query.cancellation.is_some() {
                    return;
                }
                if !up && end_reason == EndReason::Refused {
                    // The engine process has exited, and the query may have run.
                    self.end_attempt(cx, attempt, EndReason::Cut);
                } else if !up && end_reason != EndReason::Reset {
                    query.retry_at_ns = cx.now + RETRY_DELAY_NS;
                } else {
                    self.poll_again(cx, attempt);
                }
            }
        }
    }

    /// Polls on a new connection, at once after the first disconnect and delayed after further
    /// ones.
    pub(super) fn poll_again(&mut self, cx: &mut Context, attempt: Attempt) {
        let Some(query) = self.queries.get_mut(&attempt) else { return };
        query.disconnects += 1;
        if query.disconnects > 1 {
            query.retry_at_ns = cx.now + RETRY_DELAY_NS;
        } else {
            self.poll(cx, attempt, None);
        }
    }
}
