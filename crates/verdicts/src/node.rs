//! What one router keeps of words and evidence, what it says to its peers, and what it believes.

use std::collections::{BTreeMap, BTreeSet};

use crate::bound::{beat_ns, says, FANOUT};
use crate::catch_up::{hand_over, CatchUp, Part};
use crate::digest::Digest;
use crate::draws::Draws;
use crate::evidence::{Evidence, Finding, Table};
use crate::hot::HotNews;
use crate::judge::{judge, triers, tries, Judged, Judgement};
use crate::message::Message;
use crate::stamp::{Stamp, StampClock};
use crate::terms::Terms;
use crate::witness::{Went, Witness};
use crate::words::{Merged, Word, Words};

/// Messages of news that a router makes in one round (count).
const MESSAGES_MOST: usize = 2;
/// Words whose hearers are counted (count).
const COUNTED_MOST: usize = 64;
/// How often one router praises one engine at most (ns).
const PRAISE_NS: u64 = 1_000_000_000;
/// Parts of the time that evidence lasts after which its witness says it again (count).
const RENEWALS: u64 = 3;

/// What happened so far, for counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Words and pieces of evidence that were news.
    pub news: u64,
    /// Words of a clock too far ahead, of a bad name, or without room.
    pub refused: u64,
    /// Times that this router was found to be the suspect.
    pub suspected: u64,
}

/// One router's part in the verdicts of its fleet.
#[derive(Clone, Debug)]
pub struct Node {
    me: u32,
    life: u64,
    zone: u64,
    terms: Terms,
    clock: StampClock,
    words: Words,
    table: Table,
    witness: Witness,
    number: u32,
    /// What is to be said.
    hot: HotNews,
    peers: Vec<u32>,
    engines: Vec<(u64, u64)>,
    judged: Judged,
    stale: bool,
    draws: Draws,
    ticked_ns: u64,
    beat_ns: u64,
    renewed_ns: u64,
    heard_ns: u64,
    /// Nobody to ask was found until then, and all words that it knows are its own (ns).
    alone_until_ns: u64,
    /// Its asking for all words.
    catch_up: CatchUp,
    /// Its own words may have been ended while it was alone: they are nobody else's business.
    unsure: bool,
    heard_by: BTreeMap<Stamp, BTreeSet<u32>>,
    praised: BTreeMap<u64, u64>,
    /// Grows as words change.
    revision: u64,
    /// What happened so far.
    pub counts: Counts,
}

impl Node {
    /// A router that has just started, with words that it kept and when it had last heard a peer then ([`Node::heard_ns`]).
    pub fn new(now: u64, (me, life, zone): (u32, u64, u64), terms: Terms, kept: (Words, u64)) -> Node {
        let (words, heard_ns) = kept;
        let heard_ns = heard_ns.min(now);
        let mut clock = StampClock::new(me);
        for (_, word) in words.iter() {
            clock.heard(now, word.stamp);
        }
        Node {
            me,
            life,
            zone,
            terms,
            clock,
            unsure: !words.is_empty() && now.saturating_sub(heard_ns) >= terms.remember_ns,
            words,
            table: Table::default(),
            witness: Witness::default(),
            number: 0,
            hot: HotNews::new(says(terms.routers)),
            peers: Vec::new(),
            engines: Vec::new(),
            judged: Judged::default(),
            stale: false,
            draws: Draws::new(life ^ u64::from(me).rotate_left(32)),
            ticked_ns: 0,
            beat_ns: now,
            renewed_ns: now,
            heard_ns,
            alone_until_ns: now + 2 * beat_ns(&terms),
            catch_up: CatchUp::begin(),
            heard_by: BTreeMap::new(),
            praised: BTreeMap::new(),
            revision: 1,
            counts: Counts::default(),
        }
    }

    /// Whether it knows what its fleet was told: it has all words of a peer, or there was nobody to ask.
    pub fn knows(&self, now: u64) -> bool {
        self.catch_up.is_done() || self.peers.is_empty() && now >= self.alone_until_ns
    }

    /// The peers that can be reached.
    pub fn set_peers(&mut self, peers: Vec<u32>) {
        let me = self.me;
        self.peers = peers.into_iter().filter(|peer| *peer != me).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
    }

    /// The engines that the list has: the hash of each one's name, and when it started (ms).
    pub fn set_engines(&mut self, engines: Vec<(u64, u64)>) {
        if engines != self.engines {
            self.witness.keep(|engine| engines.iter().any(|(id, _)| *id == engine));
            self.engines = engines;
            self.stale = true;
        }
    }

    /// When a peer was last heard (ns), of earlier lives too: words are as old as that, however often they were kept since.
    pub fn heard_ns(&self) -> u64 {
        self.heard_ns
    }

    /// Another number for each state of the words: whoever keeps or follows them need not look at all of them each time.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All words.
    pub fn words(&self) -> &Words {
        &self.words
    }

    /// All evidence.
    pub fn evidence(&self) -> &Table {
        &self.table
    }

    /// An operator says that an engine is out, or back; gives the word's stamp, or nothing where it can't be kept.
    pub fn say(&mut self, now: u64, name: &str, out: bool) -> Option<Stamp> {
        let stamp = self.clock.next(now);
        if self.words.merge(name, Word { stamp, out }) != Merged::News {
            return None;
        }
        self.revision += 1;
        self.hot.add_word(name);
        if self.heard_by.len() >= COUNTED_MOST {
            self.heard_by.pop_first();
        }
        self.heard_by.insert(stamp, BTreeSet::new());
        Some(stamp)
    }

    /// Routers that have said that they heard a word of this router's, itself left out (count).
    pub fn heard_by(&self, stamp: Stamp) -> usize {
        self.heard_by.get(&stamp).map_or(0, BTreeSet::len)
    }

    /// Peers that can be reached (count).
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// An attempt of this router's has ended.
    pub fn ended(&mut self, now: u64, engine: (u64, u64), class: usize, sent_ns: u64, went: Went) {
        let said = self.witness.ended(now, engine, class, sent_ns, went);
        let praise = matches!(went, Went::Served(_)) && said.is_none() && self.doubted(engine) && {
            let last = self.praised.get(&engine.0).copied().unwrap_or(0);
            now >= last.saturating_add(PRAISE_NS) && self.witness.bad(engine.0).is_none()
        };
        match said {
            Some((finding, since)) => self.find(now, engine, finding, since),
            None if praise => self.find(now, engine, Finding::Well, now),
            None => {}
        }
    }

    /// Whether others find an engine bad.
    fn doubted(&self, (engine, started_ms): (u64, u64)) -> bool {
        self.table.of(engine).any(|(_, held)| held.finding.is_bad() && held.started_ms == started_ms)
    }

    fn find(&mut self, now: u64, (engine, started_ms): (u64, u64), finding: Finding, since_ns: u64) {
        if finding == Finding::Well {
            self.praised.insert(engine, now);
            self.praised.retain(|_, at| now < at.saturating_add(10 * PRAISE_NS));
        }
        self.number += 1;
        let since_ms = (now.saturating_sub(since_ns) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        let (witness, life, number, zone) = (self.me, self.life, self.number, self.zone);
        let said = Evidence { engine, started_ms, witness, life, number, zone, finding, since_ms, age_ms: 0 };
        if self.table.merge(now, &said, self.terms.fade_ns) {
            self.stale = true;
            self.hot.add_evidence(engine, witness, finding);
        }
    }

    /// Says again what this router still holds against engines.
    fn renew(&mut self, now: u64) {
        if now < self.renewed_ns.saturating_add(self.terms.fade_ns / RENEWALS) {
            return;
        }
        self.renewed_ns = now;
        for engine in self.engines.clone() {
            if let Some((finding, since)) = self.witness.bad(engine.0) {
                self.find(now, engine, finding, since);
            }
        }
    }

    /// Whether it knows no word, and has not heard either that there is none.
    fn is_blank(&self) -> bool {
        !self.catch_up.is_done() && self.words.is_empty()
    }

    /// A peer by chance.
    fn peer(&mut self) -> u32 {
        let at = self.draws.below(self.peers.len());
        self.peers.get(at).copied().unwrap_or(self.me)
    }

    /// Passes time; gives what is to be said, and to whom.
    pub fn tick(&mut self, now: u64) -> Vec<(u32, Message)> {
        let mut out = Vec::new();
        if now < self.ticked_ns.saturating_add(self.terms.round_ns) {
            return out;
        }
        self.ticked_ns = now;
        let before = self.table.len();
        self.table.forget(now, self.terms.fade_ns);
        self.stale |= self.table.len() != before;
        let words = self.words.len();
        self.words.forget(now, self.terms.remember_ns);
        self.revision += u64::from(self.words.len() != words);
        self.renew(now);
        if self.peers.is_empty() {
            if now.saturating_sub(self.heard_ns) >= self.terms.remember_ns {
                // What ended meanwhile may be forgotten elsewhere: it may not come back through this router.
                self.unsure = !self.words.is_empty();
                self.catch_up.restart();
            }
            return out;
        }
        out.extend(self.catch_up.ask(now, self.me, &self.peers));
        self.spread(now, &mut out);
        if now >= self.beat_ns.saturating_add(beat_ns(&self.terms)) {
            self.beat_ns = now;
            let peer = self.peer();
            let Digest { words, evidence } = self.digest();
            out.push((peer, Message::Digest { words, evidence, answers: false }));
        }
        out
    }

    /// Tells a few peers what is hot.
    fn spread(&mut self, now: u64, out: &mut Vec<(u32, Message)>) {
        for _ in 0..MESSAGES_MOST {
            let words = (!self.unsure).then_some(&self.words);
            let Some(news) = self.hot.next(now, words, &self.table) else { break };
            let mut told = BTreeSet::new();
            while told.len() < FANOUT.min(self.peers.len()) {
                told.insert(self.peer());
            }
            out.extend(told.into_iter().map(|peer| (peer, news.clone())));
        }
    }

    /// Hashes of all that this router holds and may say.
    fn digest(&self) -> Digest {
        Digest::of((!self.unsure).then_some(&self.words), &self.table)
    }

    /// Answers a peer's digest: what differs, and this router's own digest where the peer has not seen it.
    fn compare(&mut self, now: u64, theirs: &Digest, answers: bool) -> Vec<Message> {
        let own = self.digest();
        let words = (!self.unsure).then_some(&self.words);
        let mut out = own.differing_words(theirs, words, &mut self.draws);
        out.extend(own.differing_evidence(now, theirs, &self.table, &mut self.draws));
        // Both hand over what the other lacks.
        if !answers && own != *theirs {
            let Digest { words, evidence } = own;
            out.push(Message::Digest { words, evidence, answers: true });
        }
        out
    }

    /// Takes a message of a peer; gives what is to be said to it, or to others.
    pub fn hear(&mut self, now: u64, from: u32, message: Message) -> Vec<(u32, Message)> {
        self.heard_ns = now;
        let to_sender = |messages: Vec<Message>| messages.into_iter().map(|m| (from, m)).collect();
        match message {
            Message::News { words, evidence } => {
                evidence.iter().for_each(|said| self.take_evidence(now, said));
                words.into_iter().filter_map(|(name, word)| self.take(now, &name, word)).collect()
            }
            Message::Digest { words, evidence, answers } => {
                to_sender(self.compare(now, &Digest { words, evidence }, answers))
            }
            Message::Heard(stamp) => {
                if let Some(by) = self.heard_by.get_mut(&stamp) {
                    by.insert(from);
                }
                Vec::new()
            }
            // One that does not know itself has nothing to hand over.
            Message::AskAll { .. } if self.unsure || self.is_blank() => to_sender(vec![Message::Doubts]),
            Message::Doubts => {
                if self.catch_up.take_doubt(from, &self.peers) {
                    self.unsure = false;
                }
                Vec::new()
            }
            Message::AskAll { round, wants } => to_sender(hand_over(&self.words, round, &wants)),
            Message::All { round, part, parts, words } => {
                if let Some(words) = self.catch_up.take_part(now, from, Part { round, part, parts }, words) {
                    self.take_all(now, &words);
                }
                Vec::new()
            }
        }
    }

    fn take_evidence(&mut self, now: u64, said: &Evidence) {
        // What is said of this router's own sight comes from itself alone.
        if said.witness != self.me && self.table.merge(now, said, self.terms.fade_ns) {
            self.counts.news += 1;
            self.stale = true;
            self.hot.add_evidence(said.engine, said.witness, said.finding);
        }
    }

    /// Takes all words of a peer.
    fn take_all(&mut self, now: u64, words: &Words) {
        if std::mem::take(&mut self.unsure) {
            // What nobody else knows has ended, and its end is forgotten.
            self.words = Words::default();
            self.revision += 1;
            self.hot.forget_words();
        }
        for (name, word) in words.iter() {
            self.take(now, name, word);
        }
    }

    /// Takes one word; gives the answer to whoever said it first.
    fn take(&mut self, now: u64, name: &str, word: Word) -> Option<(u32, Message)> {
        // A word that ended longer ago than is remembered may have been forgotten by others.
        let ended = !word.out && word.stamp.ms + self.terms.remember_ns / 1_000_000 <= now / 1_000_000;
        if ended || !self.clock.heard(now, word.stamp) {
            self.counts.refused += u64::from(!ended);
            return None;
        }
        match self.words.merge(name, word) {
            Merged::News => {
                self.counts.news += 1;
                self.revision += 1;
                self.hot.add_word(name);
            }
            Merged::Known => {}
            Merged::Older => return None,
            Merged::Refused => {
                self.counts.refused += 1;
                return None;
            }
        }
        let own = word.stamp.router == self.me;
        (!own).then_some((word.stamp.router, Message::Heard(word.stamp)))
    }

    /// What is believed now, judged anew where something has changed.
    pub fn judged(&mut self) -> &Judged {
        if std::mem::take(&mut self.stale) {
            let judged = judge(&self.table, &self.engines, &self.terms, self.zone);
            let newly = judged.suspects.contains(&self.me) && !self.judged.suspects.contains(&self.me);
            self.counts.suspected += u64::from(newly);
            self.judged = judged;
        }
        &self.judged
    }

    /// Whether this router is the suspect: it finds engines bad that serve the others.
    pub fn is_suspect(&self) -> bool {
        self.judged.suspects.contains(&self.me)
    }

    /// Whether it is this router's turn to try an engine that is out.
    pub fn tries(&self, now: u64, engine: u64) -> bool {
        let out = self.judged.engines.get(&engine) == Some(&Judgement::Out);
        let started_ms = self.engines.iter().find(|(id, _)| *id == engine).map_or(0, |(_, at)| *at);
        let triers = triers(&self.table, (engine, started_ms), now);
        out && tries(engine, now / 1_000_000, self.me, self.peers.iter().copied(), triers)
    }
}
