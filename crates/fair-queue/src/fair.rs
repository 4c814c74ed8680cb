//! Disciplines that share a resource among flows by weight, when the cost of what is served is known only roughly
//! before and better after.
//!
//! The door uses [`StartTime`]; the others stand beside it to be measured against it.

use std::collections::{BTreeSet, VecDeque};

/// A virtual time, ordered as numbers are.
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

/// Whose turn it is among flows numbered from 0. Only flows with something to serve are picked.
pub trait Discipline {
    /// A flow has something to serve from now on; `cost` is what its first is estimated at.
    fn activate(&mut self, flow: usize, cost: f64);
    /// A flow has nothing to serve any more.
    fn deactivate(&mut self, flow: usize);
    /// The flow whose turn it is.
    fn pick(&mut self) -> Option<usize>;
    /// The picked flow is served at `cost`; its next is estimated at `next`.
    fn charge(&mut self, flow: usize, cost: f64, next_cost: f64);
    /// What was charged to a flow turns out to be wrong by `delta`.
    fn correct(&mut self, flow: usize, delta: f64);
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    weight: f64,
    /// Start tag of its next: the finish tag of what it was served last, unless it had been idle.
    start_tag: f64,
    active: bool,
}

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996): the flow with the least start tag is next, and virtual time
/// is the start tag of what is in service. It needs a cost only once something is served, so that a wrong estimate
/// moves the flow's next start tag and nothing else. Between two flows with a backlog, what they got over their
/// weights differs by no more than the sum of their greatest costs over their weights.
#[derive(Debug)]
pub struct StartTimeFairQueue {
    flows: Vec<Flow>,
    active: BTreeSet<(StartTag, usize)>,
    virtual_time: f64,
    /// A flow may owe so much of past service at most (cost, for a weight of 1).
    max_debt: f64,
}

impl StartTimeFairQueue {
    /// Flows of these weights, none of them active.
    pub fn new(weights: &[f64], max_debt: f64) -> Self {
        let flow = |w: &f64| Flow { weight: w.max(1e-6), start_tag: 0.0, active: false };
        StartTimeFairQueue {
            flows: weights.iter().map(flow).collect(),
            active: BTreeSet::new(),
            virtual_time: 0.0,
            max_debt,
        }
    }

    /// Changes the weights from the next charge on; nobody's tag moves.
    pub fn set_weights(&mut self, weights: &[f64]) {
        for (flow, weight) in self.flows.iter_mut().zip(weights) {
            flow.weight = weight.max(1e-6);
        }
    }

    /// The weight of a flow.
    pub fn weight(&self, flow: usize) -> f64 {
        self.flows[flow].weight
    }

    /// Active flows in the order of their turn.
    pub fn by_start_tag(&self) -> impl Iterator<Item = usize> + '_ {
        self.active.iter().map(|(_, flow)| *flow)
    }

    /// The start tag of a flow.
    pub fn start_tag(&self, flow: usize) -> f64 {
        self.flows[flow].start_tag
    }

    /// How far a flow is ahead of virtual time (cost, for a weight of 1).
    pub fn ahead(&self, flow: usize) -> f64 {
        (self.flows[flow].start_tag - self.virtual_time).max(0.0)
    }

    /// Bytes taken from the heap.
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
            // What a flow did not use while it was idle is gone: it was lent to the others.
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
        // Serving out of turn must not carry virtual time past those whose turn comes first.
        let first = self.active.first().map_or(start_tag, |(start_tag, _)| start_tag.0);
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

/// Deficit round robin (Shreedhar and Varghese, 1995): each flow in its turn gets a quantum in proportion to its
/// weight, and what it does not use of it stays with it while it is active.
#[derive(Debug)]
pub struct DeficitRoundRobin {
    weights: Vec<f64>,
    deficits: Vec<f64>,
    ring: VecDeque<usize>,
    quantum: f64,
}

impl DeficitRoundRobin {
    /// Flows of these weights; a quantum for a weight of 1.
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
        // Costs are known only once served: a flow is served while it is in credit, and may overdraw.
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

/// Worst-case fair weighted fair queueing (WF2Q+, Bennett and Zhang, 1997): among the flows whose start tag has been
/// reached, the one with the least finish tag. It needs the cost of a flow's next before that is served.
#[derive(Debug)]
pub struct WorstCaseFairQueue {
    flows: Vec<Flow>,
    finish_tags: Vec<f64>,
    virtual_time: f64,
    total_weight: f64,
}

impl WorstCaseFairQueue {
    /// Flows of these weights.
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

/// Virtual deadlines (virtual clock, Zhang, 1990): each flow's next is due at the flow's own clock plus its cost over
/// its weight, and the earliest is next. The clocks follow real service, not virtual time, so that a flow that used
/// what nobody else wanted pays for it later.
#[derive(Debug)]
pub struct VirtualClock {
    flows: Vec<Flow>,
    total_served: f64,
    total_weight: f64,
}

impl VirtualClock {
    /// Flows of these weights.
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
