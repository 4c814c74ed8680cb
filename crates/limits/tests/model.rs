//! Exhaustive model check of leases between two routers and one key. Messages are lost, duplicated,
//! delayed and reordered, and routers restart at any time. The model runs the crate's own
//! transitions.

use std::collections::BTreeSet;

use marljunction_limits::escrow::{Escrow, Peer};
use marljunction_limits::LimitParams;
use stateright::{Checker, Model, Property};

/// Units owned by each router, end of the explored time, and maximum messages in transit.
const OWNED: u32 = 1;
const LAST_NS: u64 = 6;
const MAX_IN_TRANSIT: usize = 2;
/// Maximum requests and starts of one router.
const MAX_REQUESTS: u64 = 2;
const MAX_LIVES: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { number: u64, units: u32 },
    Grant { number: u64, units: u32 },
    Query,
    Report { incarnation: u64, held: Vec<(u32, u64)> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    incarnation: u64,
    requests: u64,
    escrow: Escrow,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    now: u64,
    nodes: [Node; 2],
    /// Receiver, incarnation of the sender, message. A message can be delivered repeatedly until it
    /// is lost.
    in_transit: BTreeSet<(usize, u64, Message)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Advance,
    Request(usize, u32),
    Query(usize),
    Deliver((usize, u64, Message)),
    Lose((usize, u64, Message)),
    Restart(usize),
}

struct LeaseModel {
    params: LimitParams,
    /// Whether a router starts with a grace period.
    grace: bool,
}

impl LeaseModel {
    fn send(&self, state: &mut Fleet, to: usize, message: Message) {
        if state.in_transit.len() < MAX_IN_TRANSIT {
            let incarnation = state.nodes[1 - to].incarnation;
            state.in_transit.insert((to, incarnation, message));
        }
    }

    fn deliver(&self, state: &mut Fleet, (to, incarnation, message): (usize, u64, Message)) {
        let (now, params) = (state.now, &self.params);
        let from = Peer { number: 1 - to as u32, incarnation };
        let node = &mut state.nodes[to];
        node.escrow.expire(now);
        match message {
            Message::Request { number, units } => {
                let granted = node.escrow.handle_request(now, (from, number), units, 0, (params, 0));
                if let Some(units) = granted {
                    self.send(state, 1 - to, Message::Grant { number, units });
                }
            }
            Message::Grant { number, units } => {
                node.escrow.apply_grant(now, from, number, units, (params, 0));
            }
            Message::Query => {
                let held = node.escrow.held_from(now, from);
                self.send(state, 1 - to, Message::Report { incarnation, held });
            }
            Message::Report { incarnation, held } if incarnation == node.incarnation => {
                held.into_iter()
                    .for_each(|(units, left)| node.escrow.restore_lease(now, from, units, left, params));
                node.escrow.end_grace(now);
            }
            Message::Report { .. } => {}
        }
    }

    fn usable(state: &Fleet) -> u32 {
        let of = |node: &Node| {
            let mut escrow = node.escrow.clone();
            escrow.expire(state.now);
            escrow.usable(state.now)
        };
        state.nodes.iter().map(of).sum()
    }
}

impl Model for LeaseModel {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let node = || Node { incarnation: 1, requests: 0, escrow: Escrow::new(OWNED, 0) };
        vec![Fleet { now: 1, nodes: [node(), node()], in_transit: BTreeSet::new() }]
    }

    fn actions(&self, state: &Fleet, actions: &mut Vec<Step>) {
        if state.now < LAST_NS {
            actions.push(Step::Advance);
        }
        for (at, node) in state.nodes.iter().enumerate() {
            // Only router 1 requests units; the opposite case is symmetric.
            if at == 1 && node.requests < MAX_REQUESTS && state.in_transit.len() < MAX_IN_TRANSIT {
                actions.extend((0..=OWNED).map(|units| Step::Request(at, units)));
            }
            if node.incarnation > 1 && state.in_transit.len() < MAX_IN_TRANSIT {
                actions.push(Step::Query(at));
            }
            // Only router 0 restarts, as the other one observes restarts only through messages.
            if at == 0 && node.incarnation < MAX_LIVES {
                actions.push(Step::Restart(at));
            }
        }
        for message in &state.in_transit {
            actions.push(Step::Deliver(message.clone()));
            actions.push(Step::Lose(message.clone()));
        }
    }

    fn next_state(&self, last: &Fleet, step: Step) -> Option<Fleet> {
        let mut state = last.clone();
        match step {
            Step::Advance => state.now += 1,
            Step::Request(at, units) => {
                let node = &mut state.nodes[at];
                node.requests += 1;
                // Sequence numbers continue after a restart.
                let number = node.requests;
                node.escrow.expire(last.now);
                node.escrow.request(last.now, 1 - at as u32, units, number);
                self.send(&mut state, 1 - at, Message::Request { number, units });
            }
            Step::Query(at) => self.send(&mut state, 1 - at, Message::Query),
            Step::Deliver(message) => self.deliver(&mut state, message),
            Step::Lose(message) => drop(state.in_transit.remove(&message)),
            Step::Restart(at) => {
                let grace = if self.grace { last.now + self.params.owner_lease_ns() } else { 0 };
                let incarnation = state.nodes[at].incarnation + 1;
                state.nodes[at] = Node {
                    incarnation,
                    requests: state.nodes[at].requests,
                    escrow: Escrow::new(OWNED, grace),
                };
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<LeaseModel>> {
        vec![
            Property::always("limit not exceeded", |_, state| LeaseModel::usable(state) <= 2 * OWNED),
            Property::sometimes("one router uses all units", |_, state: &Fleet| {
                state.nodes.iter().any(|node| node.escrow.leased_in(state.now) == OWNED)
            }),
        ]
    }
}

fn params(drift: f64) -> LimitParams {
    LimitParams { routers: 2, lease_ns: 3, drift, ..LimitParams::default() }
}

#[test]
fn no_unit_is_ever_used_by_two_routers() {
    let checker = LeaseModel { params: params(0.0), grace: true }.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn model_finds_violations_without_lease_margin_or_grace_period() {
    // The owner reclaims units before the holder's lease has expired.
    let short_owner_lease = LimitParams { drift: -0.99, ..params(0.0) };
    let early_reclaim =
        LeaseModel { params: short_owner_lease, grace: true }.checker().threads(2).spawn_bfs().join();
    assert!(
        early_reclaim.discovery("limit not exceeded").is_some(),
        "early reclaim by the owner was not detected"
    );
    // A router uses units right after a restart that its previous incarnation had leased out.
    let without_grace =
        LeaseModel { params: params(0.0), grace: false }.checker().threads(2).spawn_bfs().join();
    assert!(
        without_grace.discovery("limit not exceeded").is_some(),
        "start without a grace period was not detected"
    );
}
