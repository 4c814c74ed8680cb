//! A router that knows no words asks a peer for all of them: at its start, and after a time alone that is longer than words are
//! remembered.
//!
//! Words come in parts; the peer that hands over the first part is asked for what is missing, another one where it hands over
//! nothing more.

use std::collections::BTreeSet;

use crate::message::{split_words, Message, Named};
use crate::words::Words;

/// Parts of all words that are asked for, or handed over, at once (count): more would not find room where they come in.
const PARTS_MOST: usize = 64;
/// Peers that are asked at once, where some have no words to hand over (count).
const ASKED_MOST: usize = 16;
/// A peer that handed over no part for so long is asked no more (ns).
const STUCK_NS: u64 = 1_000_000_000;

/// What has come of one ask.
#[derive(Clone, Debug, Default)]
struct Transfer {
    round: u32,
    peer: u32,
    /// When the last part came (ns), and how many there are in all.
    progress_ns: u64,
    parts: u16,
    missing: BTreeSet<u16>,
    words: Words,
}

/// Which part of all words, and how many there are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    pub(crate) round: u32,
    pub(crate) part: u16,
    pub(crate) parts: u16,
}

/// Where the router is in asking for all words.
#[derive(Clone, Debug)]
pub(crate) struct CatchUp {
    /// None once it has all words, or nobody has any.
    transfer: Option<Transfer>,
    /// Peers that were alone for too long too.
    doubters: BTreeSet<u32>,
}

impl CatchUp {
    /// Has to ask.
    pub(crate) fn begin() -> CatchUp {
        CatchUp { transfer: Some(Transfer::default()), doubters: BTreeSet::new() }
    }

    /// Has to ask again, where it does not ask already.
    pub(crate) fn restart(&mut self) {
        self.transfer.get_or_insert_with(Transfer::default);
    }

    /// Whether nothing is left to be asked for.
    pub(crate) fn is_done(&self) -> bool {
        self.transfer.is_none()
    }

    /// Asks the same peer for what is missing while it hands over something, else another; `peers` are in order.
    pub(crate) fn ask(&mut self, now: u64, me: u32, peers: &[u32]) -> Vec<(u32, Message)> {
        let Some(transfer) = &self.transfer else { return Vec::new() };
        let goes_on = !transfer.missing.is_empty()
            && now < transfer.progress_ns.saturating_add(STUCK_NS)
            && peers.binary_search(&transfer.peer).is_ok();
        if goes_on {
            let wants = transfer.missing.iter().take(PARTS_MOST).copied().collect();
            return vec![(transfer.peer, Message::AskAll { round: transfer.round, wants })];
        }
        let round = transfer.round + 1;
        let asked = self.next_peers(me, round, peers);
        // Whoever answers first is asked for what is missing.
        let peer = asked.first().copied().unwrap_or(me);
        self.transfer = Some(Transfer { round, peer, progress_ns: now, ..Transfer::default() });
        asked.into_iter().map(|peer| (peer, Message::AskAll { round, wants: Vec::new() })).collect()
    }

    /// The peers that are asked in a round.
    fn next_peers(&mut self, me: u32, round: u32, peers: &[u32]) -> Vec<u32> {
        // One after the other, and several at once where some have nothing to hand over: if none has, all have to say so.
        let count = if self.doubters.is_empty() { 1 } else { ASKED_MOST };
        let from = (me as usize + round as usize) % peers.len().max(1);
        let order = peers.iter().cycle().skip(from).take(peers.len());
        let asked: Vec<u32> =
            order.filter(|peer| !self.doubters.contains(peer)).take(count).copied().collect();
        if asked.is_empty() {
            // All of them doubted, and one may know more by now.
            self.doubters.clear();
        }
        asked
    }

    /// A peer has no words to hand over; whether all have said so, which ends the asking: the whole fleet has just started, or was
    /// down for so long, and what its routers kept is what there is.
    pub(crate) fn take_doubt(&mut self, from: u32, peers: &[u32]) -> bool {
        self.doubters.insert(from);
        let all = peers.iter().all(|peer| self.doubters.contains(peer));
        if all {
            self.transfer = None;
            self.doubters.clear();
        }
        all
    }

    /// Takes a part; gives all words once that was the last one.
    pub(crate) fn take_part(&mut self, now: u64, from: u32, of: Part, words: Vec<Named>) -> Option<Words> {
        let transfer = self.transfer.as_mut().filter(|transfer| transfer.round == of.round)?;
        if transfer.parts == 0 {
            transfer.peer = from;
        }
        if transfer.peer != from {
            return None;
        }
        let parts = of.parts.max(1);
        if transfer.parts != parts {
            // The first part, or its words have changed so much that parts are others: what came counts, and all are asked for again.
            transfer.parts = parts;
            transfer.missing = (0..parts).collect();
        }
        transfer.progress_ns = now;
        transfer.missing.remove(&of.part);
        for (name, word) in words {
            transfer.words.merge(&name, word);
        }
        if !transfer.missing.is_empty() {
            return None;
        }
        self.doubters.clear();
        self.transfer.take().map(|transfer| transfer.words)
    }
}

/// All words in parts, or those parts that a peer is still missing.
pub(crate) fn hand_over(words: &Words, round: u32, wants: &[u16]) -> Vec<Message> {
    let all = split_words(words.iter().map(|(name, word)| (name.to_owned(), word)).collect());
    let parts = all.len() as u16;
    let wanted = |(at, _): &(usize, Vec<Named>)| wants.is_empty() || wants.contains(&(*at as u16));
    let message = |(part, words)| Message::All { round, part: part as u16, parts, words };
    all.into_iter().enumerate().filter(wanted).take(PARTS_MOST).map(message).collect()
}
