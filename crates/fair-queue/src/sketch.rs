//! Finds the heavy hitters of a stream of keys in fixed memory.
//!
//! Weighted Space-Saving (Metwally, Agrawal and El Abbadi, "Efficient Computation of Frequent and
//! Top-k Elements in Data Streams", 2005): a key without a counter replaces the key with the
//! smallest counter and inherits its weight as error. With `k` counters and a total weight of `w`,
//! every key above `w / k` has a counter, and no weight is overestimated by more than that.
//! Halving all weights periodically favours recent keys.

use rustc_hash::FxHashMap;

#[derive(Clone, Copy, Debug)]
struct Counter {
    key: u64,
    weight: f64,
    error: f64,
}

/// Counters of the heaviest keys of a stream.
#[derive(Debug)]
pub struct HeavyHitters {
    /// Binary heap, smallest weight first.
    heap: Vec<Counter>,
    index_by_key: FxHashMap<u64, usize>,
    capacity: usize,
    total: f64,
}

/// The estimated weight of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The key.
    pub key: u64,
    /// The weight is at most this.
    pub upper_bound: f64,
    /// The weight is at least this.
    pub lower_bound: f64,
}

impl HeavyHitters {
    /// Creates a sketch with `capacity` counters, at least one.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        HeavyHitters {
            heap: Vec::with_capacity(capacity),
            index_by_key: FxHashMap::with_capacity_and_hasher(capacity, Default::default()),
            capacity,
            total: 0.0,
        }
    }

    /// Heap memory in use (bytes).
    pub fn bytes(&self) -> usize {
        self.heap.capacity() * std::mem::size_of::<Counter>() + self.index_by_key.capacity() * 2 * 16
    }

    /// Total weight of the stream.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Adds to the weight of a key.
    pub fn add(&mut self, key: u64, weight: f64) {
        self.total += weight;
        if let Some(&index) = self.index_by_key.get(&key) {
            self.heap[index].weight += weight;
            self.sift_down(index);
        } else if self.heap.len() < self.capacity {
            self.heap.push(Counter { key, weight, error: 0.0 });
            self.index_by_key.insert(key, self.heap.len() - 1);
            self.sift_up(self.heap.len() - 1);
        } else {
            let first = self.heap[0];
            self.index_by_key.remove(&first.key);
            self.heap[0] = Counter { key, weight: first.weight + weight, error: first.weight };
            self.index_by_key.insert(key, 0);
            self.sift_down(0);
        }
    }

    /// Halves all weights.
    pub fn halve(&mut self) {
        self.total /= 2.0;
        for counter in &mut self.heap {
            counter.weight /= 2.0;
            counter.error /= 2.0;
        }
    }

    /// Returns the estimate of a key that has a counter.
    pub fn get(&self, key: u64) -> Option<Estimate> {
        self.index_by_key.get(&key).map(|index| Self::estimate(&self.heap[*index]))
    }

    /// Returns all estimates, heaviest first.
    pub fn top(&self) -> Vec<Estimate> {
        let mut all: Vec<Estimate> = self.heap.iter().map(Self::estimate).collect();
        all.sort_by(|a, b| b.upper_bound.total_cmp(&a.upper_bound).then(a.key.cmp(&b.key)));
        all
    }

    fn estimate(counter: &Counter) -> Estimate {
        Estimate {
            key: counter.key,
            upper_bound: counter.weight,
            lower_bound: counter.weight - counter.error,
        }
    }

    /// Moves the counter at `index` towards the root until its parent is no heavier.
    fn sift_up(&mut self, mut index: usize) {
        let counter = self.heap[index];
        while index > 0 && counter.weight < self.heap[(index - 1) / 2].weight {
            self.set(index, self.heap[(index - 1) / 2]);
            index = (index - 1) / 2;
        }
        self.set(index, counter);
    }

    fn sift_down(&mut self, mut index: usize) {
        let counter = self.heap[index];
        loop {
            let (left, right) = (2 * index + 1, 2 * index + 2);
            let Some(first) = self.heap.get(left) else { break };
            let lighter =
                if self.heap.get(right).is_some_and(|r| r.weight < first.weight) { right } else { left };
            if self.heap[lighter].weight >= counter.weight {
                break;
            }
            self.set(index, self.heap[lighter]);
            index = lighter;
        }
        self.set(index, counter);
    }

    fn set(&mut self, index: usize, counter: Counter) {
        self.heap[index] = counter;
        self.index_by_key.insert(counter.key, index);
    }
}
