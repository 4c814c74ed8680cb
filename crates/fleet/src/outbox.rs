//! Packs messages for peers into datagrams.
//!
//! Messages for one peer share datagrams and keep their order. Messages for an unknown peer number
//! are dropped.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use marljunction_peers::datagram::Kind;
use marljunction_peers::Members;
use serde::Serialize;

/// Size of the messages in one datagram, in bytes; the rest holds the sender's name and the seal.
const MAX_MESSAGE_BYTES: usize = 900;

/// Sends messages to peers by their numbers.
pub(crate) fn send_to_numbers<M: Serialize>(members: &mut Members, kind: Kind, messages: Vec<(u32, M)>) {
    let mut by_peer = BTreeMap::<u32, Vec<M>>::new();
    for (number, message) in messages {
        by_peer.entry(number).or_default().push(message);
    }
    if by_peer.is_empty() {
        return;
    }
    let addresses: BTreeMap<u32, SocketAddr> = members.up().map(|peer| (peer.number, peer.address)).collect();
    for (number, messages) in by_peer {
        if let Some(address) = addresses.get(&number) {
            send_to_address(members, *address, kind, messages);
        }
    }
}

/// Sends messages to one address, in as few datagrams as possible.
pub(crate) fn send_to_address<M: Serialize>(
    members: &mut Members,
    to: SocketAddr,
    kind: Kind,
    messages: Vec<M>,
) {
    let mut batch: Vec<M> = Vec::new();
    let mut batch_bytes = 0;
    for message in messages {
        let bytes = rmp_serde::to_vec(&message).map_or(0, |packed| packed.len());
        if batch_bytes + bytes > MAX_MESSAGE_BYTES && !batch.is_empty() {
            send_batch(members, to, kind, &std::mem::take(&mut batch));
            batch_bytes = 0;
        }
        batch_bytes += bytes;
        batch.push(message);
    }
    if !batch.is_empty() {
        send_batch(members, to, kind, &batch);
    }
}

fn send_batch<M: Serialize>(members: &mut Members, to: SocketAddr, kind: Kind, batch: &[M]) {
    if let Ok(bytes) = rmp_serde::to_vec(batch) {
        members.send_payload(to, kind, &bytes);
    }
}
