//! Query budgets of cold (recently started) engines, shared by the fleet through limits: each lane
//! of an engine kind is a limit with the engine as key. Records demand and use, and gives the
//! decision module this router's usable share.

use std::collections::BTreeMap;

use marljunction_control::control::cold_lane;
use marljunction_control::interface::{
    ClassId, EngineEntry, EngineId, EngineState, KindId, MembershipKind, Settings,
};
use marljunction_limits::{Kind, Limit, Mode, Node};

/// Lanes of an engine: light and heavy classes.
const LANES: usize = 2;
/// Shares are computed for this time ahead (ns); units borrowed for less do not count.
const SHARE_HORIZON_NS: u64 = 5_000_000;
/// Weight of one query in the moving average of its class's cost.
const COST_EWMA_WEIGHT: f64 = 0.1;
/// Largest share of an engine's units that one router requests if it owns fewer; its demand spreads
/// over several engines.
const MAX_WANTED_SHARE: f64 = 0.25;
/// Units per query of the largest need by settings; most queries need fewer.
const UNITS_PER_QUERY: u32 = 4;

/// A cold engine.
#[derive(Clone, Copy, Debug)]
struct ColdEngine {
    kind: usize,
    ready: bool,
    /// When it counts as warm (ns).
    until_ns: u64,
    /// Shares last given to the module.
    reported: Option<[f64; LANES]>,
}

/// One router's state of the budgets of cold engines.
#[derive(Clone, Debug)]
pub struct ColdBudgets {
    /// Index of the first budget among all limits.
    first: usize,
    /// Units by kind and lane; the last entry is for kinds that the settings do not name.
    units: Vec<[u32; LANES]>,
    /// Lane by kind and class.
    lanes: Vec<Vec<usize>>,
    warmup_ns: u64,
    window_ns: u64,
    router_index: u64,
    engines: BTreeMap<EngineId, ColdEngine>,
    /// Average cost of a query by class (units of its lane).
    costs: Vec<f64>,
    reported_ns: u64,
    stale: bool,
}

/// Index of a lane's limit, where the limits of cold engines begin at `first`.
fn limit_index(first: usize, kind: usize, lane: usize) -> u16 {
    (first + kind * LANES + lane) as u16
}

fn mix_hash(x: u64) -> u64 {
    let x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

impl ColdBudgets {
    /// Builds the budgets and their limits, which must follow the first `first` limits. `None` if
    /// the settings define no cold start.
    pub fn new(settings: &Settings, first: usize) -> Option<(ColdBudgets, Vec<Limit>)> {
        let (warmup_ns, window_ns, start) =
            (settings.warmup_ns?, settings.overload_window_ns?, settings.initial_capacity?);
        settings.overload_multiple?;
        // A kind without a core count has one core, as in the decision module.
        let cores = settings.kinds.iter().map(|kind| kind.cores.filter(|c| *c > 0.0).unwrap_or(1.0));
        let cores: Vec<f64> = cores.chain([1.0]).collect();
        let classes = || (0..settings.classes.len()).map(ClassId);
        let lane = |cores: f64, class| cold_lane(settings, cores, class).unwrap_or((0, 0.0, 1.0));
        let mut units = Vec::new();
        for cores in &cores {
            let mut of = [1; LANES];
            for (at, full, largest) in classes().map(|class| lane(*cores, class)) {
                let queries = (full * start / 2.0 / largest).floor().max(1.0) as u32;
                of[at] = queries.saturating_mul(UNITS_PER_QUERY);
            }
            units.push(of);
        }
        let lanes =
            cores.iter().map(|cores| classes().map(|class| lane(*cores, class).0).collect()).collect();
        let budgets = ColdBudgets {
            first,
            units,
            lanes,
            warmup_ns,
            window_ns,
            router_index: u64::from(settings.router_index),
            engines: BTreeMap::new(),
            costs: vec![1.0; settings.classes.len()],
            reported_ns: 0,
            stale: true,
        };
        let limits = budgets.limits();
        Some((budgets, limits))
    }

    /// The limits of the budgets: light and heavy for each kind.
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
        limit_index(self.first, kind, lane)
    }

    /// Applies a change of the engine list.
    pub fn update_engines(&mut self, now: u64, kind: MembershipKind, entries: &[EngineEntry]) {
        if matches!(kind, MembershipKind::Full | MembershipKind::Cached) {
            self.engines.values_mut().for_each(|engine| engine.ready = false);
        }
        for entry in entries {
            let until_ns = entry.started_ns.map_or(0, |at| at.saturating_add(self.warmup_ns));
            if until_ns <= now || entry.state == EngineState::Gone {
                self.engines.remove(&entry.engine);
                continue;
            }
            let known_kind = |KindId(kind): KindId| (kind + 1 < self.units.len()).then_some(kind);
            let kind = entry.kind.and_then(known_kind).unwrap_or(self.units.len() - 1);
            // `reported: None` repeats the shares: the module may have forgotten the engine.
            let ready = entry.state == EngineState::Ready;
            self.engines.insert(entry.engine, ColdEngine { kind, ready, until_ns, reported: None });
        }
        self.stale = true;
    }

    /// Forces the next call of [`Self::changed_shares`] to recompute the shares.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Records demand for one query of a class. Engines of which this router owns units come first,
    /// the others in an order particular to this router.
    pub fn record_demand(&mut self, now: u64, node: &mut Node, class: ClassId) {
        let mut order: Vec<(bool, u64, u16, u64, u32, u32)> = Vec::new();
        for (id, engine) in self.engines.iter().filter(|(_, e)| e.ready && now < e.until_ns) {
            let Some(lane) = self.lanes[engine.kind].get(class.0) else { return };
            let limit = self.limit(engine.kind, *lane);
            let (units, owned) = (self.units[engine.kind][*lane], node.owned(limit, id.0));
            order.push((
                owned == 0,
                mix_hash(self.router_index.rotate_left(32) ^ id.0),
                limit,
                id.0,
                units,
                owned,
            ));
        }
        order.sort_unstable();
        let cost = self.costs[class.0];
        let fits = |(.., limit, key, units, owned): &&(bool, u64, u16, u64, u32, u32)| {
            let max_units = f64::from(*owned).max((f64::from(*units) * MAX_WANTED_SHARE).ceil());
            node.window_demand(now, *limit, *key) + cost <= max_units
        };
        let found = order.iter().find(fits).or(order.first()).copied();
        if let Some((.., limit, key, _, _)) = found {
            node.record_demand(now, limit, key, cost);
        }
    }

    /// Records a query sent to an engine, which takes `share` of its lane's budget.
    pub fn record_sent(
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
            *cost += (units - *cost) * COST_EWMA_WEIGHT;
        }
    }

    /// Returns the light and heavy shares that changed since they were last returned.
    pub fn changed_shares(&mut self, now: u64, node: &mut Node) -> Vec<(EngineId, [f64; LANES])> {
        if !self.stale && now < self.reported_ns.saturating_add(SHARE_HORIZON_NS) {
            return Vec::new();
        }
        (self.reported_ns, self.stale) = (now, false);
        self.engines.retain(|_, engine| now < engine.until_ns);
        let mut changed = Vec::new();
        let first = self.first;
        for (id, engine) in &mut self.engines {
            let mut share = |lane: usize| {
                let limit = limit_index(first, engine.kind, lane);
                let usable = node.budget(now, now.saturating_add(SHARE_HORIZON_NS), limit, id.0);
                f64::from(usable) / f64::from(self.units[engine.kind][lane])
            };
            let shares = [share(0), share(1)];
            if engine.reported != Some(shares) {
                engine.reported = Some(shares);
                changed.push((*id, shares));
            }
        }
        changed
    }
}
