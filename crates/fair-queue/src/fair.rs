//! Disciplines that share a resource among flows by weight, when the cost of what is served is known only roughly
//! before and better after.
//!
//! The door uses [`StartTime`]; the others stand beside it to be measured against it.

use std::collections::{BTreeSet, VecDeque};

/// A virtual time, ordered as numbers are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tag(pub f64);

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
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
    fn charge(&mut self, flow: usize, cost: f64, next: f64);
    /// What was charged to a flow turns out to be wrong by `delta`.
    fn correct(&mut self, flow: usize, delta: f64);
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    weight: f64,
    /// Start tag of its next: the finish tag of what it was served last, unless it had been idle.
    start: f64,
    active: bool,
}

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996): the flow with the least start tag is next, and virtual time
/// is the start tag of what is in service. It needs a cost only once something is served, so that a wrong estimate
/// moves the flow's next start tag and nothing else. Between two flows with a backlog, what they got over their
/// weights differs by no more than the sum of their greatest costs over their weights.
#[derive(Debug)]
pub struct StartTime {
    flows: Vec<Flow>,
    active: BTreeSet<(Tag, usize)>,
    now: f64,
    /// A flow may owe so much of past service at most (cost, for a weight of 1).
    debt_most: f64,
}

impl StartTime {
    /// Flows of these weights, none of them active.
    pub fn new(weights: &[f64], debt_most: f64) -> Self {
        let flow = |w: &f64| Flow { weight: w.max(1e-6), start: 0.0, active: false };
        StartTime { flows: weights.iter().map(flow).collect(), active: BTreeSet::new(), now: 0.0, debt_most }
    }

    /// Changes the weights from the next charge on; nobody's tag moves.
    pub fn reweigh(&mut self, weights: &[f64]) {
        for (flow, weight) in self.flows.iter_mut().zip(weights) {
            flow.weight = weight.max(1e-6);
        }
    }

    /// The weight of a flow.
    pub fn weight(&self, flow: usize) -> f64 {
        self.flows[flow].weight
    }

    /// Active flows in the order of their turn.
    pub fn in_order(&self) -> impl Iterator<Item = usize> + '_ {
        self.active.iter().map(|(_, flow)| *flow)
    }

    /// The start tag of a flow.
    pub fn tag(&self, flow: usize) -> f64 {
        self.flows[flow].start
    }

    /// How far a flow is ahead of virtual time (cost, for a weight of 1).
    pub fn ahead(&self, flow: usize) -> f64 {
        (self.flows[flow].start - self.now).max(0.0)
    }

    /// Bytes taken from the heap.
    pub fn bytes(&self) -> usize {
        self.flows.capacity() * std::mem::size_of::<Flow>() + self.flows.len() * 40
    }

    fn move_to(&mut self, flow: usize, start: f64) {
        let f = &mut self.flows[flow];
        if f.active {
            self.active.remove(&(Tag(f.start), flow));
            self.active.insert((Tag(start), flow));
        }
        f.start = start;
    }
}

impl Discipline for StartTime {
    fn activate(&mut self, flow: usize, _cost: f64) {
        if !self.flows[flow].active {
            // What a flow did not use while it was idle is gone: it was lent to the others.
            self.flows[flow].start = self.flows[flow].start.max(self.now);
            self.flows[flow].active = true;
            self.active.insert((Tag(self.flows[flow].start), flow));
        }
    }

    fn deactivate(&mut self, flow: usize) {
        if std::mem::replace(&mut self.flows[flow].active, false) {
            self.active.remove(&(Tag(self.flows[flow].start), flow));
        }
    }

    fn pick(&mut self) -> Option<usize> {
        self.active.first().map(|(_, flow)| *flow)
    }

    fn charge(&mut self, flow: usize, cost: f64, _next: f64) {
        let f = self.flows[flow];
        let start = f.start.max(self.now);
        // Serving out of turn must not carry virtual time past those whose turn comes first.
        let first = self.active.first().map_or(start, |(tag, _)| tag.0);
        self.now = self.now.max(start.min(first));
        let most = self.now + self.debt_most / f.weight;
        self.move_to(flow, (start + cost / f.weight).min(most.max(start)));
    }

    fn correct(&mut self, flow: usize, delta: f64) {
        let f = self.flows[flow];
        let most = self.now + self.debt_most / f.weight;
        let start = f.start + delta / f.weight;
        self.move_to(flow, start.clamp(self.now.min(f.start), most.max(f.start)));
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
pub struct WorstCase {
    flows: Vec<Flow>,
    finish: Vec<f64>,
    now: f64,
    sum: f64,
}

impl WorstCase {
    /// Flows of these weights.
    pub fn new(weights: &[f64]) -> Self {
        let flow = |w: &f64| Flow { weight: *w, start: 0.0, active: false };
        WorstCase {
            flows: weights.iter().map(flow).collect(),
            finish: vec![0.0; weights.len()],
            now: 0.0,
            sum: weights.iter().sum(),
        }
    }
}

impl Discipline for WorstCase {
    fn activate(&mut self, flow: usize, cost: f64) {
        let f = &mut self.flows[flow];
        if !std::mem::replace(&mut f.active, true) {
            f.start = f.start.max(self.now);
            self.finish[flow] = f.start + cost / f.weight;
        }
    }

    fn deactivate(&mut self, flow: usize) {
        self.flows[flow].active = false;
    }

    fn pick(&mut self) -> Option<usize> {
        let active = || (0..self.flows.len()).filter(|i| self.flows[*i].active);
        let first = active().map(|i| self.flows[i].start).min_by(f64::total_cmp)?;
        self.now = self.now.max(first);
        let eligible = active().filter(|i| self.flows[*i].start <= self.now);
        eligible.min_by(|a, b| self.finish[*a].total_cmp(&self.finish[*b]))
    }

    fn charge(&mut self, flow: usize, cost: f64, next: f64) {
        self.now += cost / self.sum;
        let f = &mut self.flows[flow];
        f.start += cost / f.weight;
        self.finish[flow] = f.start + next / f.weight;
    }

    fn correct(&mut self, flow: usize, delta: f64) {
        self.now += delta / self.sum;
        let f = &mut self.flows[flow];
        f.start += delta / f.weight;
        self.finish[flow] += delta / f.weight;
    }
}

/// Virtual deadlines (virtual clock, Zhang, 1990): each flow's next is due at the flow's own clock plus its cost over
/// its weight, and the earliest is next. The clocks follow real service, not virtual time, so that a flow that used
/// what nobody else wanted pays for it later.
#[derive(Debug)]
pub struct VirtualDeadline {
    flows: Vec<Flow>,
    served: f64,
    sum: f64,
}

impl VirtualDeadline {
    /// Flows of these weights.
    pub fn new(weights: &[f64]) -> Self {
        let flow = |w: &f64| Flow { weight: *w, start: 0.0, active: false };
        VirtualDeadline { flows: weights.iter().map(flow).collect(), served: 0.0, sum: weights.iter().sum() }
    }
}

impl Discipline for VirtualDeadline {
    fn activate(&mut self, flow: usize, _cost: f64) {
        let clock = self.served / self.sum;
        let f = &mut self.flows[flow];
        if !std::mem::replace(&mut f.active, true) {
            f.start = f.start.max(clock);
        }
    }

    fn deactivate(&mut self, flow: usize) {
        self.flows[flow].active = false;
    }

    fn pick(&mut self) -> Option<usize> {
        let active = (0..self.flows.len()).filter(|i| self.flows[*i].active);
        active.min_by(|a, b| self.flows[*a].start.total_cmp(&self.flows[*b].start))
    }

    fn charge(&mut self, flow: usize, cost: f64, _next: f64) {
        self.served += cost;
        self.flows[flow].start += cost / self.flows[flow].weight;
    }

    fn correct(&mut self, flow: usize, delta: f64) {
        self.served += delta;
        self.flows[flow].start += delta / self.flows[flow].weight;
    }
}
