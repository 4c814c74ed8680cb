//! Queueing disciplines that share a resource among flows by weight, when the cost of a request is
//! only estimated beforehand and measured afterwards.
//!
//! The fair queue uses [`StartTimeFairQueue`]; the others are baselines for comparison.

use std::collections::{BTreeSet, VecDeque};

/// A virtual time with a total order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartTag(pub f64);

impl Eq for StartTag {}

impl PartialOrd for StartTag {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for StartTag {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Selects the next flow to serve, among flows numbered from 0. Only active flows are selected.
pub trait Discipline {
    /// A flow becomes active; `cost` estimates its first request.
    fn activate(&mut self, flow: usize, cost: f64);
    /// A flow becomes inactive.
    fn deactivate(&mut self, flow: usize);
    /// Returns the flow to serve next.
    fn pick(&mut self) -> Option<usize>;
    /// Charges a served flow with `cost`; `next_cost` estimates its next request.
    fn charge(&mut self, flow: usize, cost: f64, next_cost: f64);
    /// Corrects an earlier charge of a flow by `delta`.
    fn correct(&mut self, flow: usize, delta: f64);
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    weight: f64,
    /// Start tag of the next request: the finish tag of the last one, unless the flow was idle.
    start_tag: f64,
    active: bool,
}

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996): the flow with the smallest start tag is
/// next, and virtual time is the start tag of the request in service. The cost is needed only
/// after service, so a wrong estimate shifts only the flow's next start tag. For two backlogged
/// flows, the weighted service differs by at most the sum of their maximum costs over their
/// weights.
#[derive(Debug)]
pub struct StartTimeFairQueue {
    flows: Vec<Flow>,
    active: BTreeSet<(StartTag, usize)>,
    virtual_time: f64,
    /// Maximum charge that a flow can carry beyond virtual time, for a weight of 1.
    max_debt: f64,
}

impl StartTimeFairQueue {
    /// Creates inactive flows of these weights.
    pub fn new(weights: &[f64], max_debt: f64) -> Self {
        let flow = |w: &f64| Flow { weight: w.max(1e-6), start_tag: 0.0, active: false };
        StartTimeFairQueue {
            flows: weights.iter().map(flow).collect(),
            active: BTreeSet::new(),
            virtual_time: 0.0,
            max_debt,
        }
    }

    /// Changes the weights for later charges; start tags stay.
    pub fn set_weights(&mut self, weights: &[f64]) {
        for (flow, weight) in self.flows.iter_mut().zip(weights) {
            flow.weight = weight.max(1e-6);
        }
    }

    /// The weight of a flow.
    pub fn weight(&self, flow: usize) -> f64 {
        self.flows[flow].weight
    }

    /// Iterates over the active flows, smallest start tag first.
    pub fn by_start_tag(&self) -> impl Iterator<Item = usize> + '_ {
        self.active.iter().map(|(_, flow)| *flow)
    }

    /// The start tag of a flow.
    pub fn start_tag(&self, flow: usize) -> f64 {
        self.flows[flow].start_tag
    }

    /// How far the start tag of a flow is ahead of virtual time (cost, for a weight of 1).
    pub fn ahead(&self, flow: usize) -> f64 {
        (self.flows[flow].start_tag - self.virtual_time).max(0.0)
    }

    /// Heap memory in use (bytes).
    pub fn bytes(&self) -> usize {
        self.flows.capacity() * std::mem::size_of::<Flow>() + self.flows.len() * 40
    }

    fn move_to(&mut self, flow: usize, start_tag: f64) {
        let f = &mut self.flows[flow];
        if f.active {
            self.active.remove(&(StartTag(f.start_tag), flow));
            self.active.insert((StartTag(start_tag), flow));
        }
        f.start_tag = start_tag;
    }
}

impl Discipline for StartTimeFairQueue {
    fn activate(&mut self, flow: usize, _cost: f64) {
        if !self.flows[flow].active {
            // An idle flow earns no credit: its unused share went to the others.
            self.flows[flow].start_tag = self.flows[flow].start_tag.max(self.virtual_time);
            self.flows[flow].active = true;
            self.active.insert((StartTag(self.flows[flow].start_tag), flow));
        }
    }

    fn deactivate(&mut self, flow: usize) {
        if std::mem::replace(&mut self.flows[flow].active, false) {
            self.active.remove(&(StartTag(self.flows[flow].start_tag), flow));
        }
    }

    fn pick(&mut self) -> Option<usize> {
        self.active.first().map(|(_, flow)| *flow)
    }

    fn charge(&mut self, flow: usize, cost: f64, _next: f64) {
        let f = self.flows[flow];
        let start_tag = f.start_tag.max(self.virtual_time);
        // Serving a flow out of order must not advance virtual time past flows with smaller start
        // tags.
        let first = self.active.first().map_or(start_tag, |(tag, _)| tag.0);
        self.virtual_time = self.virtual_time.max(start_tag.min(first));
        let max_start = self.virtual_time + self.max_debt / f.weight;
        self.move_to(flow, (start_tag + cost / f.weight).min(max_start.max(start_tag)));
    }

    fn correct(&mut self, flow: usize, delta: f64) {
        let f = self.flows[flow];
        let max_start = self.virtual_time + self.max_debt / f.weight;
        let start_tag = f.start_tag + delta / f.weight;
        self.move_to(flow, start_tag.clamp(self.virtual_time.min(f.start_tag), max_start.max(f.start_tag)));
    }
}

/// Deficit round robin (Shreedhar and Varghese, 1995): each round adds a quantum proportional to a
/// flow's weight, and an active flow carries over the unused part.
#[derive(Debug)]
pub struct DeficitRoundRobin {
    weights: Vec<f64>,
    deficits: Vec<f64>,
    ring: VecDeque<usize>,
    quantum: f64,
}

impl DeficitRoundRobin {
    /// Creates flows of these weights; `quantum` is for a weight of 1.
    pub fn new(weights: &[f64], quantum: f64) -> Self {
        let deficits = vec![0.0; weights.len()];
        DeficitRoundRobin { weights: weights.to_vec(), deficits, ring: VecDeque::new(), quantum }
    }
}

impl Discipline for DeficitRoundRobin {
    fn activate(&mut self, flow: usize, _cost: f64) {
        if !self.ring.contains(&flow) {
            self.ring.push_back(flow);
        }
    }

    fn deactivate(&mut self, flow: usize) {
        self.ring.retain(|f| *f != flow);
        self.deficits[flow] = self.deficits[flow].min(0.0);
    }

    fn pick(&mut self) -> Option<usize> {
        // The cost is known only after service: a flow with credit is served and may overdraw it.
        loop {
            let flow = *self.ring.front()?;
            if self.deficits[flow] > 0.0 {
                return Some(flow);
            }
            self.deficits[flow] += self.quantum * self.weights[flow];
            self.ring.rotate_left(1);
        }
    }

    fn charge(&mut self, flow: usize, cost: f64, _next: f64) {
        self.deficits[flow] -= cost;
    }

    fn correct(&mut self, flow: usize, delta: f64) {
        self.deficits[flow] -= delta;
    }
}

/// Worst-case fair weighted fair queueing (WF2Q+, Bennett and Zhang, 1997): the smallest finish
/// tag among the flows whose start tag has been reached. Needs the cost of the next request before
/// it is served.
#[derive(Debug)]
pub struct WorstCaseFairQueue {
    flows: Vec<Flow>,
    finish_tags: Vec<f64>,
    virtual_time: f64,
    total_weight: f64,
}

impl WorstCaseFairQueue {
    /// Creates flows of these weights.
    pub fn new(weights: &[f64]) -> Self {
        let flow = |w: &f64| Flow { weight: *w, start_tag: 0.0, active: false };
        WorstCaseFairQueue {
            flows: weights.iter().map(flow).collect(),
            finish_tags: vec![0.0; weights.len()],
            virtual_time: 0.0,
            total_weight: weights.iter().sum(),
        }
    }
}

impl Discipline for WorstCaseFairQueue {
    fn activate(&mut self, flow: usize, cost: f64) {
        let f = &mut self.flows[flow];
        if !std::mem::replace(&mut f.active, true) {
            f.start_tag = f.start_tag.max(self.virtual_time);
            self.finish_tags[flow] = f.start_tag + cost / f.weight;
        }
    }

    fn deactivate(&mut self, flow: usize) {
        self.flows[flow].active = false;
    }

    fn pick(&mut self) -> Option<usize> {
        let active = || (0..self.flows.len()).filter(|i| self.flows[*i].active);
        let first = active().map(|i| self.flows[i].start_tag).min_by(f64::total_cmp)?;
        self.virtual_time = self.virtual_time.max(first);
        let eligible = active().filter(|i| self.flows[*i].start_tag <= self.virtual_time);
        eligible.min_by(|a, b| self.finish_tags[*a].total_cmp(&self.finish_tags[*b]))
    }

    fn charge(&mut self, flow: usize, cost: f64, next_cost: f64) {
        self.virtual_time += cost / self.total_weight;
        let f = &mut self.flows[flow];
        f.start_tag += cost / f.weight;
        self.finish_tags[flow] = f.start_tag + next_cost / f.weight;
    }

    fn correct(&mut self, flow: usize, delta: f64) {
        self.virtual_time += delta / self.total_weight;
        let f = &mut self.flows[flow];
        f.start_tag += delta / f.weight;
        self.finish_tags[flow] += delta / f.weight;
    }
}

/// Virtual clock (Zhang, 1990): each flow's clock advances by its cost over its weight, and the
/// earliest clock is next. Clocks follow real service instead of virtual time, so a flow that used
/// idle capacity is penalised afterwards.
#[derive(Debug)]
pub struct VirtualClock {
    flows: Vec<Flow>,
    total_served: f64,
    total_weight: f64,
}

impl VirtualClock {
    /// Creates flows of these weights.
    pub fn new(weights: &[f64]) -> Self {
        let flow = |w: &f64| Flow { weight: *w, start_tag: 0.0, active: false };
        VirtualClock {
            flows: weights.iter().map(flow).collect(),
            total_served: 0.0,
            total_weight: weights.iter().sum(),
        }
    }
}

impl Discipline for VirtualClock {
    fn activate(&mut self, flow: usize, _cost: f64) {
        let clock = self.total_served / self.total_weight;
        let f = &mut self.flows[flow];
        if !std::mem::replace(&mut f.active, true) {
            f.start_tag = f.start_tag.max(clock);
        }
    }

    fn deactivate(&mut self, flow: usize) {
        self.flows[flow].active = false;
    }

    fn pick(&mut self) -> Option<usize> {
        let active = (0..self.flows.len()).filter(|i| self.flows[*i].active);
        active.min_by(|a, b| self.flows[*a].start_tag.total_cmp(&self.flows[*b].start_tag))
    }

    fn charge(&mut self, flow: usize, cost: f64, _next: f64) {
        self.total_served += cost;
        self.flows[flow].start_tag += cost / self.flows[flow].weight;
    }

    fn correct(&mut self, flow: usize, delta: f64) {
        self.total_served += delta;
        self.flows[flow].start_tag += delta / self.flows[flow].weight;
    }
}
