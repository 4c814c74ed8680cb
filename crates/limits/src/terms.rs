//! What a limit is, what a fleet agrees on, and each router's fixed share of a limit.

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Admissions a second, and how many may come at once after a rest. A burst of at least one.
    Rate {
        /// Admissions a second.
        per_s: f64,
        /// Admissions at once (count).
        burst: u32,
    },
    /// Requests that are out at once (count).
    Concurrency {
        /// How many.
        at_once: u32,
    },
    /// What is sent within any window: it counts for a window's length from when it was sent, whatever becomes of it.
    Window {
        /// Parts that the whole is cut into (count).
        units: u32,
        /// The window (ns).
        window_ns: u64,
    },
}

/// How a limit fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Never over: what can't be proven free is not used.
    Strict,
    /// While peers can't be reached, over by a share of the limit, for a time.
    Bounded {
        /// Share of the limit.
        over: f64,
        /// For how long from when peers could not be reached any more (ns).
        for_ns: u64,
    },
}

/// A limit of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Its name.
    pub name: String,
    /// Whom it is for, as text: limits of one name that are for others are two.
    pub subject: String,
    /// What is limited.
    pub kind: Kind,
    /// How it fails.
    pub mode: Mode,
}

/// A stable hash of parts of text: the same in all builds.
pub fn stable_hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        // A length tells where a part ends.
        let bytes = part.iter().copied().chain((part.len() as u64).to_le_bytes());
        hash = bytes.fold(hash, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    }
    // The last bytes reach all bits.
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}

impl Limit {
    /// What peers know it by: its name, whom it is for, and what is limited. How much it is may change under it.
    pub fn id(&self) -> u64 {
        let kind = match self.kind {
            Kind::Rate { .. } => "rate",
            Kind::Concurrency { .. } => "at once",
            Kind::Window { .. } => "window",
        };
        stable_hash([self.name.as_bytes(), self.subject.as_bytes(), kind.as_bytes()])
    }

    /// Which of its sizes it has: units are lent only between routers that know it by the same.
    pub fn version(&self) -> u32 {
        let (a, b) = match self.kind {
            Kind::Rate { per_s, burst } => (per_s.to_bits(), u64::from(burst)),
            Kind::Concurrency { at_once } => (u64::from(at_once), 0),
            Kind::Window { units, window_ns } => (u64::from(units), window_ns),
        };
        stable_hash([&a.to_le_bytes()[..], &b.to_le_bytes()[..]]) as u32
    }
}

/// What all routers of a fleet agree on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Routers that shares are fixed for (count).
    pub routers: u32,
    /// How long a loan lasts for its borrower (ns).
    pub lease_ns: u64,
    /// How far a clock may run from true time (share): a clock's second is this much longer or shorter at most.
    pub drift: f64,
    /// The longest that an admitted request is out (ns).
    pub max_request_ns: u64,
    /// What a router that died had out may run on for so long (ns).
    pub orphan_ns: u64,
    /// A peer that can't be reached is known to be so within this time (ns).
    pub detection_ns: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            routers: 1,
            lease_ns: 2_000_000_000,
            drift: 0.01,
            max_request_ns: 25_000_000_000,
            orphan_ns: 2_000_000_000,
            detection_ns: 3_000_000_000,
        }
    }
}

impl Kind {
    /// Whole units that the limit is cut into (count).
    pub fn units(self) -> u32 {
        match self {
            Kind::Rate { burst, .. } => burst,
            Kind::Concurrency { at_once } => at_once,
            Kind::Window { units, .. } => units,
        }
    }

    /// For how long what was admitted on a unit goes on once the unit may not be used any more (ns): a rate's admission is
    /// over at once.
    pub fn drain_ns(self, terms: &Terms) -> u64 {
        match self {
            Kind::Rate { .. } => 0,
            Kind::Concurrency { .. } => terms.peer_ns_upper_bound(terms.max_request_ns + terms.orphan_ns),
            Kind::Window { window_ns, .. } => terms.peer_ns_upper_bound(window_ns),
        }
    }

    /// For how long what we send under a window's limit counts, by our clock (ns).
    pub fn window_charge_ns(self, terms: &Terms) -> u64 {
        match self {
            Kind::Window { window_ns, .. } => terms.true_ns_upper_bound(window_ns),
            _ => 0,
        }
    }

    /// For how long what a router had admitted goes on once it died (ns).
    pub fn orphan_ns(self, terms: &Terms) -> u64 {
        match self {
            Kind::Rate { .. } => 0,
            Kind::Concurrency { .. } => terms.orphan_ns,
            Kind::Window { window_ns, .. } => window_ns,
        }
    }
}

impl Terms {
    /// So much time of another clock, by ours (ns at most): the other may be slow while ours is fast.
    pub fn peer_ns_upper_bound(&self, ns: u64) -> u64 {
        (ns as f64 * (1.0 + self.drift) / (1.0 - self.drift)).ceil() as u64 + 1
    }

    /// So much true time, by our clock (ns at most): it may be fast.
    pub fn true_ns_upper_bound(&self, ns: u64) -> u64 {
        (ns as f64 * (1.0 + self.drift)).ceil() as u64 + 1
    }

    /// How often a router asks for what it wants and renews what it holds (ns): six times in a loan's life, so that lost
    /// datagrams do not end it.
    pub fn request_interval_ns(&self) -> u64 {
        self.lease_ns / 6
    }

    /// How long a peer that had nothing to lend is not asked again (ns).
    pub fn exhausted_backoff_ns(&self) -> u64 {
        self.lease_ns
    }

    /// How long an owner keeps a lent unit unused by its own clock (ns): the borrower counts from when it asked, by a clock
    /// that may be slow, while the owner's may be fast.
    pub fn owner_lease_ns(&self) -> u64 {
        self.peer_ns_upper_bound(self.lease_ns)
    }

    /// How long a router that has just started has to take all of its own units for lent, where it can't ask everybody (ns).
    pub fn grace_ns(&self, kind: Kind) -> u64 {
        let leased_out = self.owner_lease_ns() + kind.drain_ns(self);
        // By its own clock, which may be fast; and what it had out itself before it died runs on.
        leased_out.max(self.peer_ns_upper_bound(kind.orphan_ns(self)))
    }

    /// The units that router `me` owns of a limit cut into `units`, of the key with this hash: whole ones, and over all
    /// routers just as many as there are. Who has one more differs by key.
    pub fn share(&self, units: u32, me: u32, key: u64) -> u32 {
        let routers = self.routers.max(1);
        if me >= routers {
            return 0;
        }
        let place = (u64::from(me) + key % u64::from(routers)) % u64::from(routers);
        units / routers + u32::from(place < u64::from(units % routers))
    }
}
