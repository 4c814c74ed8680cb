//! Estimates the concurrency limit of the decision module from the requests that it refuses.
//!
//! Usage is counted in threads of submitted requests that have not finished. The module also
//! refuses single requests for other reasons, so a limit applies only once a share of requests is
//! refused, and until no request has had to wait for a while. Like a congestion window (after Chiu
//! and Jain, 1989), the limit then grows slowly with accepted requests and shrinks with each
//! refusal. The growth doubles for each second without a refusal, so that new capacity is found
//! quickly.
//!
//! Each kind of request (a class and a size) has its own limit, because the module refuses the
//! heavy requests of a class before the light ones.

/// Share of refused requests from which limits apply, and the weight of one request in its moving
/// average.
const LIMITING_REFUSED_SHARE: f64 = 0.25;
const REFUSED_SHARE_WEIGHT: f64 = 0.05;
/// Limits no longer apply after this time without a waiting request (ns).
const UNLIMITED_AFTER_NS: u64 = 1_000_000_000;
/// Factor of a limit at a refusal, and the lower bound of the factor of one refusal.
const DECREASE_FACTOR: f64 = 0.98;
const MIN_DECREASE_FACTOR: f64 = 0.9;
/// Relative increase of a limit per thread accepted near it, and the maximum number of doublings
/// of that increase. Increase and decrease are both relative, so about one request in fifty is
/// refused at the limit at any size of the fleet.
const INCREASE_PER_THREAD: f64 = 0.0004;
const MAX_DOUBLINGS: f64 = 6.0;
/// Usage, relative to the limit, from which an accepted request raises the limit.
const NEAR_LIMIT_SHARE: f64 = 0.85;
/// Minimum of a limit (threads), and the time without a refusal after which it is dropped (ns).
const MIN_LIMIT_THREADS: f64 = 1.0;
const LIMIT_LIFETIME_NS: u64 = 20_000_000_000;
/// Share of a limit that is usable for [`AdmissionConfidence::BelowLimit`] and for
/// [`AdmissionConfidence::Reserved`].
const BELOW_LIMIT_SHARE: f64 = 0.84;
const RESERVED_SHARE: f64 = 0.75;
/// Weight of a sample in the estimated capacity while requests wait.
const CAPACITY_WEIGHT: f64 = 0.02;
/// Weight of the usage at a refusal in the estimated capacity.
const REFUSED_CAPACITY_WEIGHT: f64 = 0.1;
/// Bounds between the sizes of a class: need over the mean need of the class.
const SIZE_BOUNDS: [f64; 2] = [0.75, 1.6];

#[derive(Clone, Copy, Debug)]
struct Limit {
    threads: f64,
    refused_ns: u64,
}

/// Threads in use, and a limit for each kind of request.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limits: Vec<Limit>,
    used_threads: f64,
    capacity: f64,
    /// Moving average of the share of submitted requests that were refused.
    refused_share: f64,
    /// Time of the last wait while limits apply, else none.
    last_wait_ns: Option<u64>,
}

/// A class of requests and a size within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind(usize);

/// How confident the queue must be that the module accepts a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionConfidence {
    /// May use the whole limit, and so probes it.
    AtLimit,
    /// Stays clearly below the limit.
    BelowLimit,
    /// Stays further below the limit, even while limits do not apply.
    Reserved,
}

impl RequestKind {
    /// Returns the kind of a class's request by its need over the class's mean need.
    pub fn of(class: usize, ratio: f64) -> Self {
        RequestKind(
            class * (SIZE_BOUNDS.len() + 1) + SIZE_BOUNDS.iter().filter(|bound| ratio > **bound).count(),
        )
    }
}

impl ConcurrencyLimit {
    /// Creates a limit for `classes` classes, with nothing limited.
    pub fn new(classes: usize) -> Self {
        let limit = Limit { threads: f64::INFINITY, refused_ns: 0 };
        let limits = vec![limit; classes.max(1) * (SIZE_BOUNDS.len() + 1)];
        ConcurrencyLimit { limits, used_threads: 0.0, capacity: 0.0, refused_share: 0.0, last_wait_ns: None }
    }

    /// Threads of submitted requests that have not finished.
    pub fn used(&self) -> f64 {
        self.used_threads
    }

    /// Estimated capacity for this router (threads): a moving average of usage under contention.
    pub fn estimated_capacity(&self) -> f64 {
        self.capacity
    }

    /// Whether limits apply.
    pub fn is_limited(&self) -> bool {
        self.last_wait_ns.is_some()
    }

    /// Limit of a kind (threads); infinite if none is known.
    pub fn limit(&self, kind: RequestKind) -> f64 {
        self.limits[kind.0].threads
    }

    /// The highest finite limit of any kind, or 0 (threads).
    pub fn max_limit(&self) -> f64 {
        self.limits.iter().map(|l| l.threads).filter(|t| t.is_finite()).fold(0.0, f64::max)
    }

    /// Heap memory in use (bytes).
    pub fn bytes(&self) -> usize {
        self.limits.capacity() * std::mem::size_of::<Limit>()
    }

    /// Whether a request fits now.
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
        // Clients with reservations may return in one burst after the overload has ended. The
        // limits learned in it still hold for them.
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

    /// Extends the time for which limits apply, because requests wait.
    pub fn record_wait(&mut self, now: u64) {
        if self.last_wait_ns.is_some() {
            self.last_wait_ns = Some(now);
        }
    }

    /// Records that a request is submitted.
    pub fn acquire(&mut self, threads: f64) {
        self.used_threads += threads;
    }

    /// Records that the module accepted a request. `had_queue` tells whether others wait.
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

    /// Records that the module refused a request without sending it.
    pub fn refused(&mut self, now: u64, kind: RequestKind, threads: f64) {
        self.used_threads = (self.used_threads - threads).max(0.0);
        self.refused_share += REFUSED_SHARE_WEIGHT * (1.0 - self.refused_share);
        let in_use = self.used_threads.max(MIN_LIMIT_THREADS);
        if self.last_wait_ns.is_none() {
            if self.refused_share < LIMITING_REFUSED_SHARE {
                return;
            }
            // Limits of an earlier overload are obsolete; the present usage is the first estimate
            // for every kind.
            self.last_wait_ns = Some(now);
            self.limits.iter_mut().for_each(|limit| (limit.threads, limit.refused_ns) = (in_use, now));
            self.capacity = in_use;
        }
        let limit = &mut self.limits[kind.0];
        let previous = limit.threads;
        // The cause may be another than capacity, such as a statement waiting for its data set, so
        // one refusal has a bounded effect.
        let floor = if previous.is_finite() { previous * MIN_DECREASE_FACTOR } else { 0.0 };
        limit.threads = (previous.min(in_use) * DECREASE_FACTOR).max(floor).max(MIN_LIMIT_THREADS);
        limit.refused_ns = now;
        self.capacity += REFUSED_CAPACITY_WEIGHT * (in_use - self.capacity);
    }

    /// Records that an accepted request finished.
    pub fn release(&mut self, threads: f64) {
        self.used_threads = (self.used_threads - threads).max(0.0);
    }
}
