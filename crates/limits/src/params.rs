//! Limits, the parameters shared by a fleet, and each router's fixed share of a limit.

/// What a limit restricts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Admissions per second with a burst: a token bucket.
    Rate {
        /// Admissions per second.
        per_s: f64,
        /// Bucket size, at least 1.
        burst: u32,
    },
    /// Requests in flight at once.
    Concurrency {
        /// Maximum number of requests in flight.
        at_once: u32,
    },
    /// Amount sent within any window. A send counts for the length of the window, whatever its
    /// outcome.
    Window {
        /// Units that the limit is divided into.
        units: u32,
        /// Length of the window.
        window_ns: u64,
    },
}

/// Whether a limit may be exceeded during a partition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Never exceeded: units that may still be in use elsewhere stay unused.
    Strict,
    /// May be exceeded for a limited time while peers are unreachable.
    Bounded {
        /// Overshoot as a fraction of the limit.
        over: f64,
        /// How long overshoot is allowed, from when a peer became unreachable (ns).
        for_ns: u64,
    },
}

/// A limit from the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Name in the operator's file.
    pub name: String,
    /// What the limit applies to. Limits with the same name and different subjects are distinct.
    pub subject: String,
    /// What is limited, and how much.
    pub kind: Kind,
    /// Behavior during a partition.
    pub mode: Mode,
}

/// FNV-1a hash of `parts` with a final mix. The value is the same in all builds and on all
/// platforms.
pub fn stable_hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        // The length separates the parts.
        let bytes = part.iter().copied().chain((part.len() as u64).to_le_bytes());
        hash = bytes.fold(hash, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    }
    // Spreads the last bytes over all bits.
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}

impl Limit {
    /// Identifies the limit between peers. It depends on name, subject and kind, but not on the
    /// size.
    pub fn id(&self) -> u64 {
        let kind = match self.kind {
            Kind::Rate { .. } => "rate",
            Kind::Concurrency { .. } => "at once",
            Kind::Window { .. } => "window",
        };
        stable_hash([self.name.as_bytes(), self.subject.as_bytes(), kind.as_bytes()])
    }

    /// Identifies the size of the limit. Units are leased only between routers with the same
    /// version.
    pub fn version(&self) -> u32 {
        let (a, b) = match self.kind {
            Kind::Rate { per_s, burst } => (per_s.to_bits(), u64::from(burst)),
            Kind::Concurrency { at_once } => (u64::from(at_once), 0),
            Kind::Window { units, window_ns } => (u64::from(units), window_ns),
        };
        stable_hash([&a.to_le_bytes()[..], &b.to_le_bytes()[..]]) as u32
    }
}

/// Parameters that must be the same on all routers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitParams {
    /// Number of routers that the shares are divided among.
    pub routers: u32,
    /// How long a lease lasts by the holder's clock.
    pub lease_ns: u64,
    /// Maximum clock drift, as a fraction of true time.
    pub drift: f64,
    /// Maximum time that an admitted request is in flight.
    pub max_request_ns: u64,
    /// How long requests of a crashed router may continue to run.
    pub orphan_ns: u64,
    /// Time within which an unreachable peer is detected.
    pub detection_ns: u64,
}

impl Default for LimitParams {
    fn default() -> Self {
        LimitParams {
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
    /// Whole units that the limit is divided into.
    pub fn units(self) -> u32 {
        match self {
            Kind::Rate { burst, .. } => burst,
            Kind::Concurrency { at_once } => at_once,
            Kind::Window { units, .. } => units,
        }
    }

    /// Time until all admissions on a unit have ended after the unit is no longer usable (ns). Zero
    /// for a rate, whose admissions are instantaneous.
    pub fn drain_ns(self, params: &LimitParams) -> u64 {
        match self {
            Kind::Rate { .. } => 0,
            Kind::Concurrency { .. } => params.peer_ns_upper_bound(params.max_request_ns + params.orphan_ns),
            Kind::Window { window_ns, .. } => params.peer_ns_upper_bound(window_ns),
        }
    }

    /// How long a send counts under a window limit, by the local clock (ns).
    pub fn window_charge_ns(self, params: &LimitParams) -> u64 {
        match self {
            Kind::Window { window_ns, .. } => params.true_ns_upper_bound(window_ns),
            _ => 0,
        }
    }

    /// How long admissions of a crashed router continue to count (ns).
    pub fn orphan_ns(self, params: &LimitParams) -> u64 {
        match self {
            Kind::Rate { .. } => 0,
            Kind::Concurrency { .. } => params.orphan_ns,
            Kind::Window { window_ns, .. } => window_ns,
        }
    }
}

impl LimitParams {
    /// Upper bound on the local clock of a duration measured by a peer (ns): the peer's clock may
    /// be slow and the local one fast.
    pub fn peer_ns_upper_bound(&self, ns: u64) -> u64 {
        (ns as f64 * (1.0 + self.drift) / (1.0 - self.drift)).ceil() as u64 + 1
    }

    /// Upper bound on the local clock of a true duration (ns): the local clock may be fast.
    pub fn true_ns_upper_bound(&self, ns: u64) -> u64 {
        (ns as f64 * (1.0 + self.drift)).ceil() as u64 + 1
    }

    /// Interval at which a router requests units and renews its leases (ns). A lease spans six
    /// intervals, so that it survives lost datagrams.
    pub fn request_interval_ns(&self) -> u64 {
        self.lease_ns / 6
    }

    /// How long a peer that granted less than requested is not asked for more (ns).
    pub fn exhausted_backoff_ns(&self) -> u64 {
        self.lease_ns
    }

    /// How long an owner sets leased units aside by its own clock (ns). The holder counts from its
    /// request by a clock that may be slow, while the owner's may be fast.
    pub fn owner_lease_ns(&self) -> u64 {
        self.peer_ns_upper_bound(self.lease_ns)
    }

    /// Grace period after a start (ns), during which all owned units count as leased out unless
    /// every peer has reported its leases.
    pub fn grace_ns(&self, kind: Kind) -> u64 {
        let max_lease_ns = self.owner_lease_ns() + kind.drain_ns(self);
        // Requests of this router's previous process continue to run as well.
        max_lease_ns.max(self.peer_ns_upper_bound(kind.orphan_ns(self)))
    }

    /// Units that router `me` owns of a limit of `units`, for the key with hash `key`. The shares
    /// of all routers add up to `units`; which routers own one unit more depends on the key.
    pub fn share(&self, units: u32, me: u32, key: u64) -> u32 {
        let routers = self.routers.max(1);
        if me >= routers {
            return 0;
        }
        let rank = (u64::from(me) + key % u64::from(routers)) % u64::from(routers);
        units / routers + u32::from(rank < u64::from(units % routers))
    }
}
