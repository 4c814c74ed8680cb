//! A sketch that names the heaviest of a stream of identities in fixed memory.
//!
//! Space-Saving (Metwally, Agrawal and El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data
//! Streams", 2005), with weights: an identity that is not held takes the place of the lightest, and its weight as
//! its error. With `k` places and a total of `w`, whoever has more than `w / k` is held, and no weight is
//! told too high by more than that. All weights are halved from time to time, so that it tells of late.

use rustc_hash::FxHashMap;

#[derive(Clone, Copy, Debug)]
struct Place {
    who: u64,
    weight: f64,
    error: f64,
}

/// The heaviest identities of a stream.
#[derive(Debug)]
pub struct Heavy {
    /// A binary heap with the lightest first.
    heap: Vec<Place>,
    at: FxHashMap<u64, usize>,
    most: usize,
    total: f64,
}

/// An identity that the sketch holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// Who.
    pub who: u64,
    /// Its weight is no higher than this.
    pub most: f64,
    /// And no lower than this.
    pub least: f64,
}

impl Heavy {
    /// A sketch of so many places.
    pub fn new(places: usize) -> Self {
        let most = places.max(1);
        Heavy {
            heap: Vec::with_capacity(most),
            at: FxHashMap::with_capacity_and_hasher(most, Default::default()),
            most,
            total: 0.0,
        }
    }

    /// Bytes taken from the heap.
    pub fn bytes(&self) -> usize {
        self.heap.capacity() * std::mem::size_of::<Place>() + self.at.capacity() * 2 * 16
    }

    /// The weight of the whole stream.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Adds to an identity's weight.
    pub fn add(&mut self, who: u64, weight: f64) {
        self.total += weight;
        if let Some(&at) = self.at.get(&who) {
            self.heap[at].weight += weight;
            self.down(at);
        } else if self.heap.len() < self.most {
            self.heap.push(Place { who, weight, error: 0.0 });
            self.at.insert(who, self.heap.len() - 1);
            self.up(self.heap.len() - 1);
        } else {
            let first = self.heap[0];
            self.at.remove(&first.who);
            self.heap[0] = Place { who, weight: first.weight + weight, error: first.weight };
            self.at.insert(who, 0);
            self.down(0);
        }
    }

    /// Halves all weights.
    pub fn halve(&mut self) {
        self.total /= 2.0;
        for place in &mut self.heap {
            place.weight /= 2.0;
            place.error /= 2.0;
        }
    }

    /// The bounds of one identity's weight, where it is held.
    pub fn get(&self, who: u64) -> Option<Held> {
        self.at.get(&who).map(|at| Self::held(&self.heap[*at]))
    }

    /// Those held, the heaviest first.
    pub fn top(&self) -> Vec<Held> {
        let mut all: Vec<Held> = self.heap.iter().map(Self::held).collect();
        all.sort_by(|a, b| b.most.total_cmp(&a.most).then(a.who.cmp(&b.who)));
        all
    }

    fn held(place: &Place) -> Held {
        Held { who: place.who, most: place.weight, least: place.weight - place.error }
    }

    /// Puts a place where it belongs, from `at` up or down; what it passes moves by one.
    fn up(&mut self, mut at: usize) {
        let place = self.heap[at];
        while at > 0 && place.weight < self.heap[(at - 1) / 2].weight {
            self.put(at, self.heap[(at - 1) / 2]);
            at = (at - 1) / 2;
        }
        self.put(at, place);
    }

    fn down(&mut self, mut at: usize) {
        let place = self.heap[at];
        loop {
            let (left, right) = (2 * at + 1, 2 * at + 2);
            let Some(first) = self.heap.get(left) else { break };
            let least =
                if self.heap.get(right).is_some_and(|r| r.weight < first.weight) { right } else { left };
            if self.heap[least].weight >= place.weight {
                break;
            }
            self.put(at, self.heap[least]);
            at = least;
        }
        self.put(at, place);
    }

    fn put(&mut self, at: usize, place: Place) {
        self.heap[at] = place;
        self.at.insert(place.who, at);
    }
}
