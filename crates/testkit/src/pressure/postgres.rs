//! Messages of PostgreSQL clients that press on a router.

/// Protocol version 3.0.
const PROTOCOL: i32 = 196_608;
/// Bytes of the fields that precede the text of a query: its tag and its length.
const QUERY_HEAD: usize = 5;

/// Startup message of a session.
pub(super) fn startup() -> Vec<u8> {
    let parameters = b"user\0pressure\0\0";
    let length = 8 + parameters.len() as i32;
    [&length.to_be_bytes()[..], &PROTOCOL.to_be_bytes(), parameters].concat()
}

/// A simple query.
pub(super) fn query(text: &str) -> Vec<u8> {
    // The length counts itself and the terminator, not the tag.
    let length = (QUERY_HEAD + text.len()) as i32;
    [b"Q", &length.to_be_bytes()[..], text.as_bytes(), b"\0"].concat()
}

/// A request to end an extended query.
pub(super) fn sync() -> Vec<u8> {
    b"S\0\0\0\x04".to_vec()
}
