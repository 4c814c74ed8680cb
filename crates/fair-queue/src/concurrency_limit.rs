//! How much the decision module takes, learned from what it refuses.
//!
//! Room is counted in threads of requests that the module was shown and that are not over. The module refuses single
//! requests for many reasons, so that only a share of refusals says that there is no room: from then on the room is
//! limited, until nobody has had to wait for a while. While it is limited a refusal tells that there was none left for this
//! kind of request, and what the module takes at the limit tells that there may be more. The limit moves as a congestion
//! window does, up slowly and down at once (after Chiu and Jain, 1989), with an increase that doubles for each
//! second without a refusal, so that it finds new capacity soon.
//! Each kind, a class and a size within it, has a limit of its own, since the module refuses the heavy ones of
//! a class before its light ones.

/// Share of the shown that are refused from which the room is limited, and weight of each in that share.
const LIMITING_REFUSED_SHARE: f64 = 0.25;
const REFUSED_SHARE_WEIGHT: f64 = 0.05;
/// Time without anybody waiting after which the room is not limited any more (ns).
const UNLIMITED_AFTER_NS: u64 = 1_000_000_000;
/// What is left of a limit after a refusal (share), and the least that one refusal leaves of it.
const DECREASE_FACTOR: f64 = 0.98;
const MIN_DECREASE_FACTOR: f64 = 0.9;
/// Growth of a limit for each thread that is taken near it (share), and how often that may double. As both ways are
/// shares of the limit, one request in fifty finds no room while there is a queue, whatever the fleet's size.
const INCREASE_PER_THREAD: f64 = 0.0004;
const MAX_DOUBLINGS: f64 = 6.0;
/// Threads in use from which what is taken says something of the limit (share).
const NEAR_LIMIT_SHARE: f64 = 0.85;
/// A limit never falls below this (threads), and is forgotten after so long without a refusal (ns).
const MIN_LIMIT_THREADS: f64 = 1.0;
const LIMIT_LIFETIME_NS: u64 = 20_000_000_000;
/// Part of a limit up to which a request is shown that is to be served surely, and one that was promised (share): others
/// find out where the limit is.
const BELOW_LIMIT_SHARE: f64 = 0.84;
const RESERVED_SHARE: f64 = 0.75;
/// Weight of a new figure of the threads in use while there is a queue (share).
const CAPACITY_WEIGHT: f64 = 0.02;
/// The same for what was in use at a refusal (share).
const REFUSED_CAPACITY_WEIGHT: f64 = 0.1;
/// Bounds between sizes of a class: need over the class's mean need (ratio).
const SIZE_BOUNDS: [f64; 2] = [0.75, 1.6];

#[derive(Clone, Copy, Debug)]
struct Limit {
    threads: f64,
    refused_ns: u64,
}

/// Threads in use and the limit of each kind.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limits: Vec<Limit>,
    used_threads: f64,
    capacity: f64,
    /// Share of the shown that were refused of late.
    refused_share: f64,
    /// While the room is limited: when somebody last had to wait.
    last_wait_ns: Option<u64>,
}

/// A kind of request: its class and its size within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind(usize);

/// How sure it must be that the module takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionConfidence {
    /// Up to the limit: those who want more than their part find out where that is.
    AtLimit,
    /// Clear of the limit.
    BelowLimit,
    /// The same, and also where the crowd that showed the limit is over.
    Reserved,
}

impl RequestKind {
    /// Of a class, by need over the class's mean need.
    pub fn of(class: usize, ratio: f64) -> Self {
        RequestKind(
            class * (SIZE_BOUNDS.len() + 1) + SIZE_BOUNDS.iter().filter(|bound| ratio > **bound).count(),
        )
    }
}

impl ConcurrencyLimit {
    /// All the room there is, for so many classes.
    pub fn new(classes: usize) -> Self {
        let limit = Limit { threads: f64::INFINITY, refused_ns: 0 };
        let limits = vec![limit; classes.max(1) * (SIZE_BOUNDS.len() + 1)];
        ConcurrencyLimit { limits, used_threads: 0.0, capacity: 0.0, refused_share: 0.0, last_wait_ns: None }
    }

    /// Threads of what is shown and not over.
    pub fn used(&self) -> f64 {
        self.used_threads
    }

    /// Threads that are in use while there is a queue: what the engines serve for this router.
    pub fn estimated_capacity(&self) -> f64 {
        self.capacity
    }

    /// Whether the room is limited: the module refused too many for it to be chance.
    pub fn is_limited(&self) -> bool {
        self.last_wait_ns.is_some()
    }

    /// Limit of a kind (threads); infinite while nothing was refused.
    pub fn limit(&self, kind: RequestKind) -> f64 {
        self.limits[kind.0].threads
    }

    /// The greatest limit of any kind that has one.
    pub fn max_limit(&self) -> f64 {
        self.limits.iter().map(|l| l.threads).filter(|t| t.is_finite()).fold(0.0, f64::max)
    }

    /// Bytes taken from the heap.
    pub fn bytes(&self) -> usize {
        self.limits.capacity() * std::mem::size_of::<Limit>()
    }

    /// Whether a request of a kind fits now. What is to be served surely stays clear of the limit,
    /// where the module may refuse.
    pub fn fits(
        &mut self,
        now: u64,
        kind: RequestKind,
        threads: f64,
        confidence: AdmissionConfidence,
    ) -> bool {
        if self.last_wait_ns.is_some_and(|at| now > at + UNLIMITED_AFTER_NS) {
            (self.last_wait_ns, self.refused_share) = (None, 0.0);
        }
        // Guards against promised clients that come back in one instant, when the crowd before them is over: what was
        // learned then holds for them.
        if !self.is_limited() && confidence != AdmissionConfidence::Reserved {
            return true;
        }
        let limit = &mut self.limits[kind.0];
        if now.saturating_sub(limit.refused_ns) > LIMIT_LIFETIME_NS {
            limit.threads = f64::INFINITY;
        }
        let usable_share = match confidence {
            AdmissionConfidence::AtLimit => 1.0,
            AdmissionConfidence::BelowLimit => BELOW_LIMIT_SHARE,
            AdmissionConfidence::Reserved => RESERVED_SHARE,
        };
        let fits = self.used_threads <= 0.0 || self.used_threads + threads <= limit.threads * usable_share;
        if !fits {
            self.last_wait_ns = Some(now);
        }
        fits
    }

    /// Somebody waits: the room stays limited.
    pub fn record_wait(&mut self, now: u64) {
        if self.last_wait_ns.is_some() {
            self.last_wait_ns = Some(now);
        }
    }

    /// A request is shown.
    pub fn acquire(&mut self, threads: f64) {
        self.used_threads += threads;
    }

    /// The module took a shown request; `waited` tells that there was a queue.
    pub fn accepted(&mut self, now: u64, kind: RequestKind, threads: f64, had_queue: bool) {
        self.refused_share -= REFUSED_SHARE_WEIGHT * self.refused_share;
        let limit = &mut self.limits[kind.0];
        if self.last_wait_ns.is_some()
            && limit.threads.is_finite()
            && self.used_threads >= limit.threads * NEAR_LIMIT_SHARE
        {
            if had_queue {
                self.capacity += CAPACITY_WEIGHT * (self.used_threads - self.capacity);
            }
            let since_refusal_s = now.saturating_sub(limit.refused_ns) as f64 / 1e9;
            limit.threads *= 1.0 + INCREASE_PER_THREAD * threads * since_refusal_s.min(MAX_DOUBLINGS).exp2();
        }
    }

    /// The module refused a shown request that it never sent.
    pub fn refused(&mut self, now: u64, kind: RequestKind, threads: f64) {
        self.used_threads = (self.used_threads - threads).max(0.0);
        self.refused_share += REFUSED_SHARE_WEIGHT * (1.0 - self.refused_share);
        let in_use = self.used_threads.max(MIN_LIMIT_THREADS);
        if self.last_wait_ns.is_none() {
            if self.refused_share < LIMITING_REFUSED_SHARE {
                return;
            }
            // What was learned in an earlier crowd is no guide to this one; what is in use now is one for all kinds.
            self.last_wait_ns = Some(now);
            self.limits.iter_mut().for_each(|limit| (limit.threads, limit.refused_ns) = (in_use, now));
            self.capacity = in_use;
        }
        let limit = &mut self.limits[kind.0];
        let previous = limit.threads;
        // Guards against a refusal for another reason, such as a load that waits for its data set: one says little.
        let floor = if previous.is_finite() { previous * MIN_DECREASE_FACTOR } else { 0.0 };
        limit.threads = (previous.min(in_use) * DECREASE_FACTOR).max(floor).max(MIN_LIMIT_THREADS);
        limit.refused_ns = now;
        self.capacity += REFUSED_CAPACITY_WEIGHT * (in_use - self.capacity);
    }

    /// A request that was shown and taken is over.
    pub fn release(&mut self, threads: f64) {
        self.used_threads = (self.used_threads - threads).max(0.0);
    }
}
