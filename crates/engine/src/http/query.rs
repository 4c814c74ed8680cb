//! A query of an attempt, and its cancellation.

use std::net::SocketAddr;
use std::rc::Rc;

use marljunction_control::interface::{EngineId, LoadReport};
use marljunction_core::ClientRequest;

use crate::Context;

/// State of the cancellation of a query.
pub(super) struct Cancellation {
    pub(super) conn: Option<u64>,
    pub(super) retry_at_ns: u64,
    /// The engine has confirmed the DELETE.
    pub(super) acknowledged: bool,
}

/// A query of an attempt on an engine.
pub(super) struct Query {
    pub(super) engine: EngineId,
    /// Address that the POST was last sent to, and the connection that carried it.
    pub(super) sent_to: Option<(SocketAddr, u64)>,
    pub(super) client_request: Rc<ClientRequest>,
    pub(super) class: String,
    pub(super) timeout_ns: u64,
    pub(super) at_most_once: bool,
    pub(super) begin_by_ns: Option<u64>,
    /// The POST is fully written.
    pub(super) fully_written: bool,
    /// The engine has responded to the POST or to a poll.
    pub(super) is_known: bool,
    /// The fully written POST timed out; the engine may still read it after a later call.
    pub(super) post_timed_out: bool,
    pub(super) conn: Option<u64>,
    /// When a POST or a poll was last written.
    pub(super) last_call_ns: u64,
    /// When to poll again if no connection does.
    pub(super) retry_at_ns: u64,
    pub(super) disconnects: u32,
    pub(super) posts: u32,
    pub(super) invalid_responses: u32,
    pub(super) pages: u32,
    pub(super) next_page: u32,
    pub(super) rows: Vec<u8>,
    pub(super) load_report: Option<LoadReport>,
    pub(super) priority: u8,
    pub(super) sent_priority: u8,
    pub(super) priority_update_pending: bool,
    pub(super) cancellation: Option<Cancellation>,
}

/// Whether no byte of the POST was sent.
pub(super) fn is_unsent(cx: &Context, query: &Query) -> bool {
    !query.fully_written && query.conn.is_none_or(|conn| cx.net.has_unstarted_output(conn))
}
