//! Budgets of engines that have just started, shared by the fleet: which units of which limit an engine's lanes are, how many a
//! router's own clients want and where, and what share of them the module may count on.

use std::collections::BTreeMap;

use marljunction_control::control::cold_lane;
use marljunction_control::interface::{
    ClassId, EngineEntry, EngineId, EngineState, KindId, MembershipKind, Settings,
};
use marljunction_limits::{Kind, Limit, Mode, Node};

/// Lanes of an engine: light classes and heavy ones.
const LANES: usize = 2;
/// Shares are told for so long ahead (ns): a loan that ends sooner is not counted on.
const AHEAD_NS: u64 = 5_000_000;
/// Weight of one query in what its class is known to cost (share).
const COST_WEIGHT: f64 = 0.1;
/// Parts of an engine's units that one router wants at most where it owns fewer (share): its clients go to several engines.
const WANTED_MOST: f64 = 0.25;
/// Units of a lane for each whole query that its budget holds, as settings tell its need (count): most need less.
const PARTS: u32 = 4;

/// An engine that is cold.
#[derive(Clone, Copy, Debug)]
struct Cold {
    kind: usize,
    /// Takes queries.
    ready: bool,
    until_ns: u64,
    told: Option<[f64; LANES]>,
}

/// What one router keeps of the cold engines' budgets.
#[derive(Clone, Debug)]
pub struct ColdBudgets {
    /// Place of the first of their limits among all.
    first: usize,
    /// Units by kind and lane; kinds that the settings do not name come last.
    units: Vec<[u32; LANES]>,
    /// Lane of each class by kind.
    lanes: Vec<Vec<usize>>,
    cold_ns: u64,
    window_ns: u64,
    me: u64,
    engines: BTreeMap<EngineId, Cold>,
    /// What a query of each class takes (units of its lane).
    costs: Vec<f64>,
    told_ns: u64,
    stale: bool,
}

/// The place of a lane's limit among all, where those of cold engines begin at `first`.
fn place(first: usize, kind: usize, lane: usize) -> u16 {
    (first + kind * LANES + lane) as u16
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

impl ColdBudgets {
    /// The budgets that these settings speak of, and their limits, which are to stand behind `first` others; none where engines
    /// are never cold.
    pub fn new(settings: &Settings, first: usize) -> Option<(ColdBudgets, Vec<Limit>)> {
        let (cold_ns, window_ns, start) = (settings.cold_ns?, settings.fall_ns?, settings.start_capacity?);
        settings.tip_multiple?;
        // A kind without cores counts as one core, as for the module.
        let cores = settings.kinds.iter().map(|kind| kind.cores.filter(|c| *c > 0.0).unwrap_or(1.0));
        let cores: Vec<f64> = cores.chain([1.0]).collect();
        let classes = || (0..settings.classes.len()).map(ClassId);
        let lane = |cores: f64, class| cold_lane(settings, cores, class).unwrap_or((0, 0.0, 1.0));
        let mut units = Vec::new();
        for cores in &cores {
            let mut of = [1; LANES];
            for (at, full, largest) in classes().map(|class| lane(*cores, class)) {
                let queries = (full * start / 2.0 / largest).floor().max(1.0) as u32;
                of[at] = queries.saturating_mul(PARTS);
            }
            units.push(of);
        }
        let lanes =
            cores.iter().map(|cores| classes().map(|class| lane(*cores, class).0).collect()).collect();
        let budgets = ColdBudgets {
            first,
            units,
            lanes,
            cold_ns,
            window_ns,
            me: u64::from(settings.gateway_index),
            engines: BTreeMap::new(),
            costs: vec![1.0; settings.classes.len()],
            told_ns: 0,
            stale: true,
        };
        let limits = budgets.limits();
        Some((budgets, limits))
    }

    /// Their limits: light and heavy ones of each kind.
    pub fn limits(&self) -> Vec<Limit> {
        let limit = |kind: usize, at: usize| Limit {
            name: format!("cold engines of kind {kind}, {} classes", ["light", "heavy"][at]),
            subject: "engine".into(),
            kind: Kind::Window { units: self.units[kind][at], window_ns: self.window_ns },
            mode: Mode::Strict,
        };
        let all = (0..self.units.len()).flat_map(|kind| (0..LANES).map(move |at| (kind, at)));
        all.map(|(kind, at)| limit(kind, at)).collect()
    }

    fn limit(&self, kind: usize, lane: usize) -> u16 {
        place(self.first, kind, lane)
    }

    /// News of the engines.
    pub fn change(&mut self, now: u64, kind: MembershipKind, entries: &[EngineEntry]) {
        if matches!(kind, MembershipKind::Full | MembershipKind::Cached) {
            self.engines.values_mut().for_each(|engine| engine.ready = false);
        }
        for entry in entries {
            let until_ns = entry.started_ns.map_or(0, |at| at.saturating_add(self.cold_ns));
            if until_ns <= now || entry.state == EngineState::Gone {
                self.engines.remove(&entry.engine);
                continue;
            }
            let named = |KindId(kind): KindId| (kind + 1 < self.units.len()).then_some(kind);
            let kind = entry.kind.and_then(named).unwrap_or(self.units.len() - 1);
            // What the module is told again, as it may have forgotten the engine meanwhile.
            let ready = entry.state == EngineState::Ready;
            self.engines.insert(entry.engine, Cold { kind, ready, until_ns, told: None });
        }
        self.stale = true;
    }

    /// Something was heard or has run out: shares may be others.
    pub fn touch(&mut self) {
        self.stale = true;
    }

    /// A client asks for a query of a class: units are wanted where this router owns some, then in its own order of engines.
    pub fn add_demand(&mut self, now: u64, node: &mut Node, class: ClassId) {
        let mut order: Vec<(bool, u64, u16, u64, u32, u32)> = Vec::new();
        for (id, engine) in self.engines.iter().filter(|(_, e)| e.ready && now < e.until_ns) {
            let Some(lane) = self.lanes[engine.kind].get(class.0) else { return };
            let limit = self.limit(engine.kind, *lane);
            let (units, owned) = (self.units[engine.kind][*lane], node.owned(limit, id.0));
            order.push((owned == 0, mix(self.me.rotate_left(32) ^ id.0), limit, id.0, units, owned));
        }
        order.sort_unstable();
        let cost = self.costs[class.0];
        let fits = |(.., limit, key, units, owned): &&(bool, u64, u16, u64, u32, u32)| {
            let most = f64::from(*owned).max((f64::from(*units) * WANTED_MOST).ceil());
            node.window_demand(now, *limit, *key) + cost <= most
        };
        let found = order.iter().find(fits).or(order.first()).copied();
        if let Some((.., limit, key, _, _)) = found {
            node.add_demand(now, limit, key, cost);
        }
    }

    /// A query was sent that takes so much of a lane's budget.
    pub fn sent(
        &mut self,
        now: u64,
        node: &mut Node,
        class: ClassId,
        engine: EngineId,
        lane: usize,
        share: f64,
    ) {
        let Some(cold) = self.engines.get(&engine) else { return };
        let units = share * f64::from(self.units[cold.kind][lane]);
        node.sent(now, self.limit(cold.kind, lane), engine.0, units);
        if let Some(cost) = self.costs.get_mut(class.0) {
            *cost += (units - *cost) * COST_WEIGHT;
        }
    }

    /// The shares that the module is to be told anew.
    pub fn shares(&mut self, now: u64, node: &mut Node) -> Vec<(EngineId, [f64; LANES])> {
        if !self.stale && now < self.told_ns.saturating_add(AHEAD_NS) {
            return Vec::new();
        }
        (self.told_ns, self.stale) = (now, false);
        self.engines.retain(|_, engine| now < engine.until_ns);
        let mut changed = Vec::new();
        let first = self.first;
        for (id, engine) in &mut self.engines {
            let mut share = |lane: usize| {
                let limit = place(first, engine.kind, lane);
                let usable = node.budget(now, now.saturating_add(AHEAD_NS), limit, id.0);
                f64::from(usable) / f64::from(self.units[engine.kind][lane])
            };
            let shares = [share(0), share(1)];
            if engine.told != Some(shares) {
                engine.told = Some(shares);
                changed.push((*id, shares));
            }
        }
        changed
    }
}
