//! A small world in stepped time: a module that takes so many threads at once, and requests that hold them.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};

use marljunction_fair_queue::settings::DoorSettings;
use marljunction_fair_queue::{Advice, Arrival, Door, Site, Verdict};

pub const MS: u64 = 1_000_000;
pub const S: u64 = 1_000 * MS;
pub const T0: u64 = 1_700_000_000 * S;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Served,
    /// By the door, or by the module once it was shown.
    Refused(Advice),
}

pub struct World {
    pub door: Door,
    pub now: u64,
    /// Threads that the module takes at once.
    pub capacity: f64,
    pub used: f64,
    running: BTreeMap<(u64, u64), f64>,
    holds: HashMap<u64, (u64, f64)>,
    next: u64,
    /// Each request's end and when it came.
    pub ends: HashMap<u64, (u64, End)>,
    /// The order in which requests were shown.
    pub shown: Vec<u64>,
}

impl World {
    pub fn new(weights: &[f64], capacity: f64, settings: DoorSettings) -> World {
        let site = Site {
            weights: weights.to_vec(),
            classes: 2,
            longest_ns: Some(2 * S),
            bytes_most: 64 << 20,
            seed: 7,
        };
        World {
            door: Door::new(T0, settings, site),
            now: T0,
            capacity,
            used: 0.0,
            running: BTreeMap::new(),
            holds: HashMap::new(),
            next: 0,
            ends: HashMap::new(),
            shown: Vec::new(),
        }
    }

    /// A request that says it needs `said_ms` and holds one thread for `holds_ms`; wanted within a second.
    pub fn arrive(&mut self, tenant: usize, client: u64, said_ms: u64, holds_ms: u64) -> u64 {
        self.arrive_for(tenant, client, said_ms, holds_ms, 1_000)
    }

    pub fn arrive_for(
        &mut self,
        tenant: usize,
        client: u64,
        said_ms: u64,
        holds_ms: u64,
        wanted: u64,
    ) -> u64 {
        self.next += 1;
        self.holds.insert(self.next, (holds_ms * MS, 1.0));
        self.door.arrive(
            self.now,
            Arrival {
                id: self.next,
                tenant,
                client,
                class: 0,
                threads: 1.0,
                worth: 1.0,
                need_ns: (said_ms * MS) as f64,
                wanted_ns: self.now + wanted * MS,
                expires_ns: self.now + 6 * wanted * MS,
                bytes: 100,
            },
        );
        self.next
    }

    /// Carries out what the door says, as the core does.
    pub fn pump(&mut self) {
        while let Some(verdict) = self.door.open(self.now) {
            match verdict {
                Verdict::Refuse(id, advice) => self.end(id, End::Refused(advice)),
                Verdict::Show(id) => {
                    self.shown.push(id);
                    let (holds, threads) = self.holds[&id];
                    if self.used + threads > self.capacity {
                        let advice = self.door.refused(self.now, id, false).expect("advice");
                        self.end(id, End::Refused(advice));
                    } else {
                        self.used += threads;
                        self.running.insert((self.now + holds, id), threads);
                        self.door.accepted(self.now, id);
                    }
                }
            }
        }
    }

    fn end(&mut self, id: u64, end: End) {
        let twice = self.ends.insert(id, (self.now, end));
        assert_eq!(twice, None, "request {id} has one end");
    }

    /// Passes time until `to`, with a step at each thing that happens.
    pub fn pass(&mut self, to: u64) {
        self.pump();
        loop {
            let due = self.door.next_due_ns().map(|d| d.max(self.now + MS));
            let over = self.running.keys().next().map(|(at, _)| *at);
            let next = due.into_iter().chain(over).min().filter(|next| *next <= to);
            let Some(next) = next else { break };
            self.now = self.now.max(next);
            while let Some(((_, id), threads)) = self.running.first_key_value().map(|(k, v)| (*k, *v)) {
                if *self.running.keys().next().map(|(at, _)| at).unwrap() > self.now {
                    break;
                }
                self.running.pop_first();
                self.used -= threads;
                self.door.over(self.now, id, Some(true));
                self.end(id, End::Served);
            }
            self.pump();
        }
        self.now = to;
    }

    pub fn wait(&mut self, ms: u64) {
        self.pass(self.now + ms * MS);
    }

    pub fn served(&self, ids: &[u64]) -> usize {
        ids.iter().filter(|id| matches!(self.ends.get(id), Some((_, End::Served)))).count()
    }

    pub fn promised(&self, id: u64) -> Option<u64> {
        match self.ends.get(&id) {
            Some((at, End::Refused(advice))) if advice.promised => Some(at + advice.after_ns),
            _ => None,
        }
    }

    /// Everything that was taken has ended once its time is over.
    pub fn all_ended(&mut self, within_ms: u64) {
        self.wait(within_ms);
        let open: Vec<u64> = (1..=self.next).filter(|id| !self.ends.contains_key(id)).collect();
        assert!(open.is_empty(), "{} have no end: {:?}", open.len(), &open[..open.len().min(5)]);
    }
}
