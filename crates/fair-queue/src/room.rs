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
const LIMITED_FROM: f64 = 0.25;
const SHARE_WEIGHT: f64 = 0.05;
/// Time without anybody waiting after which the room is not limited any more (ns).
const FREE_AFTER_NS: u64 = 1_000_000_000;
/// What is left of a limit after a refusal (share), and the least that one refusal leaves of it.
const LESS: f64 = 0.98;
const LEAST_LEFT: f64 = 0.9;
/// Growth of a limit for each thread that is taken near it (share), and how often that may double. As both ways are
/// shares of the limit, one request in fifty finds no room while there is a queue, whatever the fleet's size.
const MORE: f64 = 0.0004;
const DOUBLINGS: f64 = 6.0;
/// Threads in use from which what is taken says something of the limit (share).
const NEAR: f64 = 0.85;
/// A limit never falls below this (threads), and is forgotten after so long without a refusal (ns).
const LIMIT_LEAST: f64 = 1.0;
const FORGET_NS: u64 = 20_000_000_000;
/// Part of a limit up to which a request is shown that is to be served surely, and one that was promised (share): others
/// find out where the limit is.
const KEPT_CLEAR: f64 = 0.84;
const PROMISED_CLEAR: f64 = 0.75;
/// Weight of a new figure of the threads in use while there is a queue (share).
const BUSY_WEIGHT: f64 = 0.02;
/// The same for what was in use at a refusal (share).
const FOUND_WEIGHT: f64 = 0.1;
/// Bounds between sizes of a class: need over the class's mean need (ratio).
const SIZES: [f64; 2] = [0.75, 1.6];

#[derive(Clone, Copy, Debug)]
struct Limit {
    threads: f64,
    refused_ns: u64,
}

/// Threads in use and the limit of each kind.
#[derive(Clone, Debug)]
pub struct Room {
    limits: Vec<Limit>,
    used: f64,
    busy: f64,
    /// Share of the shown that were refused of late.
    refused: f64,
    /// While the room is limited: when somebody last had to wait.
    waited_ns: Option<u64>,
}

/// A kind of request: its class and its size within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind(usize);

/// How sure it must be that the module takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surety {
    /// Up to the limit: those who want more than their part find out where that is.
    Any,
    /// Clear of the limit.
    Clear,
    /// The same, and also where the crowd that showed the limit is over.
    Promised,
}

impl Kind {
    /// Of a class, by need over the class's mean need.
    pub fn of(class: usize, ratio: f64) -> Self {
        Kind(class * (SIZES.len() + 1) + SIZES.iter().filter(|bound| ratio > **bound).count())
    }
}

impl Room {
    /// All the room there is, for so many classes.
    pub fn new(classes: usize) -> Self {
        let limit = Limit { threads: f64::INFINITY, refused_ns: 0 };
        let limits = vec![limit; classes.max(1) * (SIZES.len() + 1)];
        Room { limits, used: 0.0, busy: 0.0, refused: 0.0, waited_ns: None }
    }

    /// Threads of what is shown and not over.
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Threads that are in use while there is a queue: what the engines serve for this router.
    pub fn served(&self) -> f64 {
        self.busy
    }

    /// Whether the room is limited: the module refused too many for it to be chance.
    pub fn is_limited(&self) -> bool {
        self.waited_ns.is_some()
    }

    /// Limit of a kind (threads); infinite while nothing was refused.
    pub fn limit(&self, kind: Kind) -> f64 {
        self.limits[kind.0].threads
    }

    /// The greatest limit of any kind that has one.
    pub fn greatest(&self) -> f64 {
        self.limits.iter().map(|l| l.threads).filter(|t| t.is_finite()).fold(0.0, f64::max)
    }

    /// Bytes taken from the heap.
    pub fn bytes(&self) -> usize {
        self.limits.capacity() * std::mem::size_of::<Limit>()
    }

    /// Whether a request of a kind fits now. What is to be served surely stays clear of the limit,
    /// where the module may refuse.
    pub fn fits(&mut self, now: u64, kind: Kind, threads: f64, surety: Surety) -> bool {
        if self.waited_ns.is_some_and(|at| now > at + FREE_AFTER_NS) {
            (self.waited_ns, self.refused) = (None, 0.0);
        }
        // Guards against promised clients that come back in one instant, when the crowd before them is over: what was
        // learned then holds for them.
        if !self.is_limited() && surety != Surety::Promised {
            return true;
        }
        let limit = &mut self.limits[kind.0];
        if now.saturating_sub(limit.refused_ns) > FORGET_NS {
            limit.threads = f64::INFINITY;
        }
        let part = match surety {
            Surety::Any => 1.0,
            Surety::Clear => KEPT_CLEAR,
            Surety::Promised => PROMISED_CLEAR,
        };
        let fits = self.used <= 0.0 || self.used + threads <= limit.threads * part;
        if !fits {
            self.waited_ns = Some(now);
        }
        fits
    }

    /// Somebody waits: the room stays limited.
    pub fn wait(&mut self, now: u64) {
        if self.waited_ns.is_some() {
            self.waited_ns = Some(now);
        }
    }

    /// A request is shown.
    pub fn take(&mut self, threads: f64) {
        self.used += threads;
    }

    /// The module took a shown request; `waited` tells that there was a queue.
    pub fn taken(&mut self, now: u64, kind: Kind, threads: f64, waited: bool) {
        self.refused -= SHARE_WEIGHT * self.refused;
        let limit = &mut self.limits[kind.0];
        if self.waited_ns.is_some() && limit.threads.is_finite() && self.used >= limit.threads * NEAR {
            if waited {
                self.busy += BUSY_WEIGHT * (self.used - self.busy);
            }
            let calm_s = now.saturating_sub(limit.refused_ns) as f64 / 1e9;
            limit.threads *= 1.0 + MORE * threads * calm_s.min(DOUBLINGS).exp2();
        }
    }

    /// The module refused a shown request that it never sent.
    pub fn refused(&mut self, now: u64, kind: Kind, threads: f64) {
        self.used = (self.used - threads).max(0.0);
        self.refused += SHARE_WEIGHT * (1.0 - self.refused);
        let found = self.used.max(LIMIT_LEAST);
        if self.waited_ns.is_none() {
            if self.refused < LIMITED_FROM {
                return;
            }
            // What was learned in an earlier crowd is no guide to this one; what is in use now is one for all kinds.
            self.waited_ns = Some(now);
            self.limits.iter_mut().for_each(|limit| (limit.threads, limit.refused_ns) = (found, now));
            self.busy = found;
        }
        let limit = &mut self.limits[kind.0];
        let before = limit.threads;
        // Guards against a refusal for another reason, such as a load that waits for its data set: one says little.
        let least = if before.is_finite() { before * LEAST_LEFT } else { 0.0 };
        limit.threads = (before.min(found) * LESS).max(least).max(LIMIT_LEAST);
        limit.refused_ns = now;
        self.busy += FOUND_WEIGHT * (found - self.busy);
    }

    /// A request that was shown and taken is over.
    pub fn over(&mut self, threads: f64) {
        self.used = (self.used - threads).max(0.0);
    }
}
