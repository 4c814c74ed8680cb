//! Loans between routers as a model that is searched whole: two routers, one key, messages that are lost, doubled, late and out
//! of order, deaths and restarts at any moment. It calls the crate's own transitions.

use std::collections::BTreeSet;

use marljunction_limits::escrow::{Escrow, Peer};
use marljunction_limits::Terms;
use stateright::{Checker, Model, Property};

/// Units of each router, the last moment that is looked at, messages on their way at once.
const OWNED: u32 = 1;
const LAST: u64 = 6;
const WIRE_MOST: usize = 2;
/// Asks and restarts of one router (count).
const ASKS_MOST: u64 = 2;
const LIVES_MOST: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Said {
    Request { number: u64, units: u32 },
    Grant { number: u64, units: u32 },
    Query,
    Report { life: u64, held: Vec<(u32, u64)> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    life: u64,
    requests: u64,
    escrow: Escrow,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    now: u64,
    nodes: [Node; 2],
    /// To whom, from which life of the other, what. It may be delivered any number of times while it is here.
    wire: BTreeSet<(usize, u64, Said)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Pass,
    Request(usize, u32),
    Query(usize),
    Deliver((usize, u64, Said)),
    Lose((usize, u64, Said)),
    Restart(usize),
}

struct Loans {
    terms: Terms,
    /// A router that starts takes its own units for lent.
    quiet: bool,
}

impl Loans {
    fn send(&self, state: &mut Fleet, to: usize, said: Said) {
        if state.wire.len() < WIRE_MOST {
            let life = state.nodes[1 - to].life;
            state.wire.insert((to, life, said));
        }
    }

    fn deliver(&self, state: &mut Fleet, (to, life, said): (usize, u64, Said)) {
        let (now, terms) = (state.now, &self.terms);
        let from = Peer { number: 1 - to as u32, life };
        let node = &mut state.nodes[to];
        node.escrow.expire(now);
        match said {
            Said::Request { number, units } => {
                let granted = node.escrow.handle_request(now, (from, number), units, 0, (terms, 0));
                if let Some(units) = granted {
                    self.send(state, 1 - to, Said::Grant { number, units });
                }
            }
            Said::Grant { number, units } => {
                node.escrow.apply_grant(now, from, number, units, (terms, 0));
            }
            Said::Query => {
                let held = node.escrow.held_from(now, from);
                self.send(state, 1 - to, Said::Report { life, held });
            }
            Said::Report { life, held } if life == node.life => {
                held.into_iter()
                    .for_each(|(units, left)| node.escrow.restore_lease(now, from, units, left, terms));
                node.escrow.end_grace(now);
            }
            Said::Report { .. } => {}
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

impl Model for Loans {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        let node = || Node { life: 1, requests: 0, escrow: Escrow::new(OWNED, 0) };
        vec![Fleet { now: 1, nodes: [node(), node()], wire: BTreeSet::new() }]
    }

    fn actions(&self, state: &Fleet, actions: &mut Vec<Step>) {
        if state.now < LAST {
            actions.push(Step::Pass);
        }
        for (at, node) in state.nodes.iter().enumerate() {
            // One borrows and the other lends; the other way is the same.
            if at == 1 && node.requests < ASKS_MOST && state.wire.len() < WIRE_MOST {
                actions.extend((0..=OWNED).map(|units| Step::Request(at, units)));
            }
            if node.life > 1 && state.wire.len() < WIRE_MOST {
                actions.push(Step::Query(at));
            }
            // One that dies is enough: the other only ever sees it by messages.
            if at == 0 && node.life < LIVES_MOST {
                actions.push(Step::Restart(at));
            }
        }
        for message in &state.wire {
            actions.push(Step::Deliver(message.clone()));
            actions.push(Step::Lose(message.clone()));
        }
    }

    fn next_state(&self, last: &Fleet, step: Step) -> Option<Fleet> {
        let mut state = last.clone();
        match step {
            Step::Pass => state.now += 1,
            Step::Request(at, units) => {
                let node = &mut state.nodes[at];
                node.requests += 1;
                // Numbers outlast a life nowhere: a new one begins behind the old.
                let number = node.requests;
                node.escrow.expire(last.now);
                node.escrow.request(last.now, 1 - at as u32, units, number);
                self.send(&mut state, 1 - at, Said::Request { number, units });
            }
            Step::Query(at) => self.send(&mut state, 1 - at, Said::Query),
            Step::Deliver(message) => self.deliver(&mut state, message),
            Step::Lose(message) => drop(state.wire.remove(&message)),
            Step::Restart(at) => {
                let quiet = if self.quiet { last.now + self.terms.owner_lease_ns() } else { 0 };
                let life = state.nodes[at].life + 1;
                state.nodes[at] =
                    Node { life, requests: state.nodes[at].requests, escrow: Escrow::new(OWNED, quiet) };
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Loans>> {
        vec![
            Property::always("never over", |_, state| Loans::usable(state) <= 2 * OWNED),
            Property::sometimes("one uses all", |_, state: &Fleet| {
                state.nodes.iter().any(|node| node.escrow.leased_in(state.now) == OWNED)
            }),
        ]
    }
}

fn terms(drift: f64) -> Terms {
    Terms { routers: 2, lease_ns: 3, drift, ..Terms::default() }
}

#[test]
fn no_two_routers_ever_use_one_unit() {
    let checker = Loans { terms: terms(0.0), quiet: true }.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn the_model_goes_over_without_either_guard() {
    // An owner that takes a unit back before its borrower must be done with it.
    let short = Terms { drift: -0.99, ..terms(0.0) };
    let early = Loans { terms: short, quiet: true }.checker().threads(2).spawn_bfs().join();
    assert!(early.discovery("never over").is_some(), "an owner that forgets its loans early");
    // A router that starts and uses what its last life lent.
    let loud = Loans { terms: terms(0.0), quiet: false }.checker().threads(2).spawn_bfs().join();
    assert!(loud.discovery("never over").is_some(), "an owner that starts without waiting");
}
