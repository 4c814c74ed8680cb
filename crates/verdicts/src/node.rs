//! What one router keeps of words and evidence, what it says to its peers, and what it believes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::bound::{beat_ns, says, FANOUT};
use crate::evidence::{Evidence, Finding, Table};
use crate::judge::{judge, triers, tries, Judged, Judgement};
use crate::stamp::{Stamp, StampClock};
use crate::witness::{Went, Witness};
use crate::words::{Merged, Word, Words};
use crate::{mix, Terms};

/// Bytes that one message fills about (bytes): it fits a datagram.
const MESSAGE_BYTES: usize = 800;
/// Bytes of a piece of evidence, and of a word beside its name, as they are packed (bytes).
const EVIDENCE_BYTES: usize = 60;
const WORD_BYTES: usize = 32;
/// Messages of news that a router makes in one round (count).
const MESSAGES_MOST: usize = 2;
/// Buckets of a digest (count).
const BUCKETS: usize = 32;
/// Things that one comparison hands over at most (count).
pub const HANDED_MOST: usize = 64;
/// Parts of all words that are asked for, or handed over, at once (count): more would not find room where they come in.
const PARTS_MOST: usize = 64;
/// Peers that are asked at once, where some have no words to hand over (count).
const ASKED_MOST: usize = 16;
/// A peer that handed over no part for so long is asked no more (ns).
const STUCK_NS: u64 = 1_000_000_000;
/// Words whose hearers are counted (count).
const COUNTED_MOST: usize = 64;
/// How often one router praises one engine at most (ns).
const PRAISE_NS: u64 = 1_000_000_000;
/// Parts of the time that evidence lasts after which its witness says it again (count).
const RENEWALS: u64 = 3;

/// A word with the engine that it is about.
pub type Named = (String, Word);

/// What routers say to each other. Lost, doubled, late and reordered messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender has heard or seen of late.
    News {
        /// Words.
        words: Vec<Named>,
        /// Evidence.
        evidence: Vec<Evidence>,
    },
    /// Hashes of all that the sender holds, to be compared.
    Digest {
        /// Of words, by bucket.
        words: Vec<u32>,
        /// Of evidence, by bucket.
        evidence: Vec<u32>,
        /// It is an answer to one of the receiver's.
        answers: bool,
    },
    /// The sender has heard this word of the receiver's.
    Heard(Stamp),
    /// The sender has started, or was alone for longer than words are remembered, and wants all words.
    AskAll {
        /// Which of its asks.
        round: u32,
        /// The parts that are missing still; none for the first ones.
        wants: Vec<u16>,
    },
    /// The sender was alone for too long itself, and has no words to hand over.
    Doubts,
    /// All words, in parts.
    All {
        /// The ask's.
        round: u32,
        /// Which part.
        part: u16,
        /// Parts in all.
        parts: u16,
        /// Words.
        words: Vec<Named>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Item {
    Word(String),
    Bad(u64, u32),
    Well(u64, u32),
}

impl Item {
    /// How grave it is: the lowest is said first.
    fn gravity(&self) -> u8 {
        match self {
            Item::Word(_) => 0,
            Item::Bad(..) => 1,
            Item::Well(..) => 2,
        }
    }
}

/// Hashes of words and of evidence, by bucket.
type Sums = (Vec<u32>, Vec<u32>);

/// What was said to a router that wants all words.
#[derive(Clone, Debug, Default)]
struct Catching {
    round: u32,
    peer: u32,
    /// When the last part came (ns), and how many there are in all.
    progress_ns: u64,
    parts: u16,
    missing: BTreeSet<u16>,
    words: Words,
}

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
    /// What is to be said, and how often still.
    hot: BTreeMap<Item, u32>,
    peers: Vec<u32>,
    engines: Vec<(u64, u64)>,
    judged: Judged,
    stale: bool,
    draws: u64,
    ticked_ns: u64,
    beat_ns: u64,
    renewed_ns: u64,
    heard_ns: u64,
    /// Nobody to ask was found until then, and all words that it knows are its own (ns).
    alone_until_ns: u64,
    /// It has to ask for all words; what comes is put together here.
    catching: Option<Catching>,
    /// Its own words may have been ended while it was alone: they are nobody else's business.
    unsure: bool,
    /// Peers that were alone for too long too.
    doubters: BTreeSet<u32>,
    heard_by: BTreeMap<Stamp, BTreeSet<u32>>,
    praised: BTreeMap<u64, u64>,
    /// Grows as words change.
    revision: u64,
    /// What happened so far.
    pub counts: Counts,
}

fn name_hash(name: &str) -> u64 {
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)))
}

fn bucket(hash: u64) -> usize {
    (mix(hash) % BUCKETS as u64) as usize
}

/// Cuts words into parts that fit a datagram.
fn parts(words: Vec<Named>) -> Vec<Vec<Named>> {
    let (mut all, mut part, mut size) = (Vec::new(), Vec::new(), 0);
    for word in words {
        let bytes = word.0.len() + WORD_BYTES;
        if size + bytes > MESSAGE_BYTES && !part.is_empty() {
            all.push(std::mem::take(&mut part));
            size = 0;
        }
        size += bytes;
        part.push(word);
    }
    all.push(part);
    all
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
            hot: BTreeMap::new(),
            peers: Vec::new(),
            engines: Vec::new(),
            judged: Judged::default(),
            stale: false,
            draws: mix(life ^ u64::from(me).rotate_left(32)),
            ticked_ns: 0,
            beat_ns: now,
            renewed_ns: now,
            heard_ns,
            alone_until_ns: now + 2 * beat_ns(&terms),
            catching: Some(Catching::default()),
            doubters: BTreeSet::new(),
            heard_by: BTreeMap::new(),
            praised: BTreeMap::new(),
            revision: 1,
            counts: Counts::default(),
        }
    }

    /// Whether it knows what its fleet was told: it has all words of a peer, or there was nobody to ask.
    pub fn knows(&self, now: u64) -> bool {
        self.catching.is_none() || self.peers.is_empty() && now >= self.alone_until_ns
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
        self.hot.insert(Item::Word(name.to_owned()), says(self.terms.routers));
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
            self.heat(engine, witness, finding);
        }
    }

    fn heat(&mut self, engine: u64, witness: u32, finding: Finding) {
        let (new, other) = match finding.is_bad() {
            true => (Item::Bad(engine, witness), Item::Well(engine, witness)),
            false => (Item::Well(engine, witness), Item::Bad(engine, witness)),
        };
        self.hot.remove(&other);
        self.hot.insert(new, says(self.terms.routers));
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

    fn draw(&mut self, below: usize) -> usize {
        self.draws = mix(self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15));
        (self.draws % below.max(1) as u64) as usize
    }

    /// Whether it knows no word, and has not heard either that there is none.
    fn is_blank(&self) -> bool {
        self.catching.is_some() && self.words.is_empty()
    }

    /// A peer by chance.
    fn peer(&mut self) -> u32 {
        let at = self.draw(self.peers.len());
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
                self.catching.get_or_insert_with(Catching::default);
            }
            return out;
        }
        self.catch_up(now, &mut out);
        for _ in 0..MESSAGES_MOST {
            let Some(news) = self.news(now) else { break };
            let mut told = BTreeSet::new();
            while told.len() < FANOUT.min(self.peers.len()) {
                told.insert(self.peer());
            }
            out.extend(told.into_iter().map(|peer| (peer, news.clone())));
        }
        if now >= self.beat_ns.saturating_add(beat_ns(&self.terms)) {
            self.beat_ns = now;
            let peer = self.peer();
            let (words, evidence) = self.sums();
            out.push((peer, Message::Digest { words, evidence, answers: false }));
        }
        out
    }

    /// Asks a peer for all words: the same one for what is missing while it hands over something, else another.
    fn catch_up(&mut self, now: u64, out: &mut Vec<(u32, Message)>) {
        let Some(catching) = &self.catching else { return };
        let goes_on = !catching.missing.is_empty()
            && now < catching.progress_ns.saturating_add(STUCK_NS)
            && self.peers.binary_search(&catching.peer).is_ok();
        if goes_on {
            let wants = catching.missing.iter().take(PARTS_MOST).copied().collect();
            out.push((catching.peer, Message::AskAll { round: catching.round, wants }));
            return;
        }
        let round = catching.round + 1;
        // One after the other, and several at once where some have nothing to hand over: if none has, all have to say so.
        let count = if self.doubters.is_empty() { 1 } else { ASKED_MOST };
        let from = (self.me as usize + round as usize) % self.peers.len().max(1);
        let order = self.peers.iter().cycle().skip(from).take(self.peers.len());
        let asked: Vec<u32> =
            order.filter(|peer| !self.doubters.contains(peer)).take(count).copied().collect();
        if asked.is_empty() {
            // All of them doubted, and one may know more by now.
            self.doubters.clear();
        }
        // Whoever answers first is asked for what is missing.
        let peer = asked.first().copied().unwrap_or(self.me);
        self.catching = Some(Catching { round, peer, progress_ns: now, ..Catching::default() });
        out.extend(asked.into_iter().map(|peer| (peer, Message::AskAll { round, wants: Vec::new() })));
    }

    /// What is hot, up to a datagram; each thing that is said so often is said no more.
    fn news(&mut self, now: u64) -> Option<Message> {
        let (mut words, mut evidence, mut size) = (Vec::new(), Vec::new(), 0);
        let mut said = Vec::new();
        // Those that were said least come first among the equally grave: all get their turn.
        let mut order: Vec<(&Item, &u32)> = self.hot.iter().collect();
        order.sort_unstable_by_key(|(item, left)| (item.gravity(), std::cmp::Reverse(**left), *item));
        for (item, _) in order {
            let bytes = match item {
                Item::Word(name) => name.len() + WORD_BYTES,
                _ => EVIDENCE_BYTES,
            };
            if size + bytes > MESSAGE_BYTES {
                break;
            }
            match item {
                Item::Word(name) if !self.unsure => {
                    words.extend(self.words.get(name).map(|word| (name.clone(), word)));
                }
                Item::Word(_) => {}
                Item::Bad(engine, witness) | Item::Well(engine, witness) => {
                    evidence.extend(self.table.say(now, *engine, *witness));
                }
            }
            size += bytes;
            said.push(item.clone());
        }
        for item in said {
            if let Some(left) = self.hot.get_mut(&item) {
                *left -= 1;
                if *left == 0 {
                    self.hot.remove(&item);
                }
            }
        }
        (!words.is_empty() || !evidence.is_empty()).then_some(Message::News { words, evidence })
    }

    /// Hashes of all words and of all evidence, by bucket.
    fn sums(&self) -> Sums {
        let (mut words, mut evidence) = (vec![0u32; BUCKETS], vec![0u32; BUCKETS]);
        if !self.unsure {
            for (name, word) in self.words.iter() {
                let hash = name_hash(name);
                let of = mix(hash ^ mix(word.stamp.ms ^ u64::from(word.stamp.count) << 44))
                    ^ mix(u64::from(word.stamp.router) << 1 | u64::from(word.out));
                words[bucket(hash)] ^= of as u32;
            }
        }
        for (engine, witness, held) in self.table.iter() {
            let of = mix(engine ^ mix(u64::from(witness) ^ held.version.0)) ^ mix(u64::from(held.version.1));
            evidence[bucket(engine)] ^= mix(of) as u32;
        }
        (words, evidence)
    }

    /// What this router holds in the buckets in which a peer's sums differ from its own, in messages that fit datagrams.
    fn difference(&mut self, now: u64, own: &Sums, theirs: &Sums) -> Vec<Message> {
        let differs = |own: &[u32], their: &[u32], at: usize| own.get(at) != their.get(at);
        let in_words = |name: &str| differs(&own.0, &theirs.0, bucket(name_hash(name)));
        let all: Vec<Named> = self
            .words
            .iter()
            .filter(|(name, _)| in_words(name))
            .map(|(name, w)| (name.to_owned(), w))
            .collect();
        let all = if self.unsure { Vec::new() } else { all };
        // Another part each time, where there is more than one comparison hands over.
        let from = self.draw(all.len());
        let some: Vec<Named> =
            all.iter().cycle().skip(from).take(all.len().min(HANDED_MOST)).cloned().collect();
        let mut out: Vec<Message> = parts(some)
            .into_iter()
            .filter(|part| !part.is_empty())
            .map(|words| Message::News { words, evidence: Vec::new() })
            .collect();
        let of = self.table.iter().filter(|(engine, ..)| differs(&own.1, &theirs.1, bucket(*engine)));
        let all: Vec<(u64, u32)> = of.map(|(engine, witness, _)| (engine, witness)).collect();
        let from = self.draw(all.len());
        let some = all.iter().cycle().skip(from).take(all.len().min(HANDED_MOST));
        let said: Vec<Evidence> =
            some.filter_map(|(engine, witness)| self.table.say(now, *engine, *witness)).collect();
        out.extend(
            said.chunks(MESSAGE_BYTES / EVIDENCE_BYTES)
                .map(|part| Message::News { words: Vec::new(), evidence: part.to_vec() }),
        );
        out
    }

    /// Takes a message of a peer; gives what is to be said to it, or to others.
    pub fn hear(&mut self, now: u64, from: u32, message: Message) -> Vec<(u32, Message)> {
        self.heard_ns = now;
        let to_sender = |messages: Vec<Message>| messages.into_iter().map(|m| (from, m)).collect();
        match message {
            Message::News { words, evidence } => {
                for said in &evidence {
                    // What is said of this router's own sight comes from itself alone.
                    if said.witness != self.me && self.table.merge(now, said, self.terms.fade_ns) {
                        self.counts.news += 1;
                        self.stale = true;
                        self.heat(said.engine, said.witness, said.finding);
                    }
                }
                words.into_iter().filter_map(|(name, word)| self.take(now, &name, word)).collect()
            }
            Message::Digest { words, evidence, answers } => {
                let (own, theirs) = (self.sums(), (words, evidence));
                let mut out = self.difference(now, &own, &theirs);
                // Both hand over what the other lacks.
                if !answers && own != theirs {
                    let (words, evidence) = own;
                    out.push(Message::Digest { words, evidence, answers: true });
                }
                to_sender(out)
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
                self.doubters.insert(from);
                if self.peers.iter().all(|peer| self.doubters.contains(peer)) {
                    // The whole fleet has just started, or was down for so long: what they kept is what there is.
                    (self.unsure, self.catching) = (false, None);
                    self.doubters.clear();
                }
                Vec::new()
            }
            Message::AskAll { round, wants } => {
                let all = parts(self.words.iter().map(|(name, word)| (name.to_owned(), word)).collect());
                let count = all.len() as u16;
                let part = |(part, words)| Message::All { round, part: part as u16, parts: count, words };
                let wanted =
                    |(at, _): &(usize, Vec<Named>)| wants.is_empty() || wants.contains(&(*at as u16));
                to_sender(all.into_iter().enumerate().filter(wanted).take(PARTS_MOST).map(part).collect())
            }
            Message::All { round, part, parts, words } => {
                self.caught(now, (from, round), (part, parts), words);
                Vec::new()
            }
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
                self.hot.insert(Item::Word(name.to_owned()), says(self.terms.routers));
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

    /// Takes a part of all words.
    fn caught(&mut self, now: u64, (from, round): (u32, u32), (part, parts): (u16, u16), words: Vec<Named>) {
        let Some(catching) = self.catching.as_mut().filter(|c| c.round == round) else { return };
        if catching.parts == 0 {
            catching.peer = from;
        }
        if catching.peer != from {
            return;
        }
        if catching.parts != parts.max(1) {
            // The first part, or its words have changed so much that parts are others: what came counts, and all are asked for again.
            catching.parts = parts.max(1);
            catching.missing = (0..catching.parts).collect();
        }
        catching.progress_ns = now;
        catching.missing.remove(&part);
        for (name, word) in words {
            catching.words.merge(&name, word);
        }
        if !catching.missing.is_empty() {
            return;
        }
        let Some(Catching { words, .. }) = self.catching.take() else { return };
        self.doubters.clear();
        if std::mem::take(&mut self.unsure) {
            // What nobody else knows has ended, and its end is forgotten.
            self.words = Words::default();
            self.revision += 1;
            self.hot.retain(|item, _| !matches!(item, Item::Word(_)));
        }
        for (name, word) in words.iter() {
            self.take(now, name, word);
        }
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
