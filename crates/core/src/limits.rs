//! Limits that hold for the whole fleet, as they stand before the door and the module: which of them a request counts under.

use std::collections::BTreeMap;

use marljunction_control::interface::{ClassId, EngineEntry, EngineId, MembershipKind, TenantId};
use marljunction_limits::node::Ticket;
use marljunction_limits::terms::{stable_hash, Limit};
use marljunction_limits::Node;

use crate::cold::ColdBudgets;
use crate::Ask;

/// Whom a limit is for, each of them alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// All requests together.
    All,
    /// Each tenant.
    Tenant,
    /// Each class.
    Class,
    /// Each tenant's requests of each class.
    TenantAndClass,
    /// Each client of each tenant.
    Client,
}

/// Which requests a limit counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Whom it is for.
    pub by: By,
    /// Only this tenant's; none for all.
    pub tenant: Option<TenantId>,
    /// Only this class; none for all.
    pub class: Option<ClassId>,
}

/// The limits of one router.
pub struct FleetLimits {
    node: Node,
    /// Which requests each limit counts, and its place in the node.
    rules: Vec<(u16, Rule)>,
    /// Hashes of names: the same in all routers, whatever their numbers.
    tenants: Vec<u64>,
    classes: Vec<u64>,
    /// Requests that were refused, by the limit's place.
    refused: BTreeMap<usize, u64>,
    /// Budgets of cold engines, where the fleet shares them.
    cold: Option<ColdBudgets>,
}

impl FleetLimits {
    /// The limits that `node` keeps, by these rules in its order; names of tenants and classes by their numbers.
    pub fn new(node: Node, rules: Vec<Rule>, tenants: &[String], classes: &[String]) -> FleetLimits {
        let hashes = |names: &[String]| names.iter().map(|name| stable_hash([name.as_bytes()])).collect();
        let (tenants, classes) = (hashes(tenants), hashes(classes));
        let rules = (0..).zip(rules).collect();
        FleetLimits { node, rules, tenants, classes, refused: BTreeMap::new(), cold: None }
    }

    /// Shares the budgets of cold engines, whose limits stand behind those of the rules.
    pub fn with_cold(mut self, cold: Option<ColdBudgets>) -> FleetLimits {
        self.cold = cold;
        self
    }

    /// News of the engines.
    pub fn change(&mut self, now: u64, kind: MembershipKind, entries: &[EngineEntry]) {
        self.cold.iter_mut().for_each(|cold| cold.change(now, kind, entries));
    }

    /// A request is about to be shown to the module.
    pub fn add_demand(&mut self, now: u64, class: ClassId) {
        if let Some(cold) = &mut self.cold {
            cold.add_demand(now, &mut self.node, class);
        }
    }

    /// A query was sent to a cold engine.
    pub fn sent(&mut self, now: u64, class: ClassId, engine: EngineId, lane: usize, share: f64) {
        if let Some(cold) = &mut self.cold {
            cold.sent(now, &mut self.node, class, engine, lane, share);
        }
    }

    /// Shares of cold engines' budgets that the module is to be told.
    pub fn shares(&mut self, now: u64) -> Vec<(EngineId, [f64; 2])> {
        let node = &mut self.node;
        self.cold.as_mut().map_or_else(Vec::new, |cold| cold.shares(now, node))
    }

    /// What this router keeps of the limits; what is done to it may change shares.
    pub fn node(&mut self) -> &mut Node {
        self.cold.iter_mut().for_each(ColdBudgets::touch);
        &mut self.node
    }

    /// Requests that were refused so far by the limit in this place.
    pub fn refused(&self, place: u16) -> u64 {
        self.refused.get(&usize::from(place)).copied().unwrap_or(0)
    }

    /// Requests that were refused so far by all limits.
    pub fn refused_in_all(&self) -> u64 {
        self.refused.values().sum()
    }

    /// The place of each of the operator's limits, in the order of the file.
    pub fn places(&self) -> impl Iterator<Item = u16> + '_ {
        self.rules.iter().map(|(place, _)| *place)
    }

    /// The operator's file says other limits, with the rules of each: requests that come count under these. What is out and
    /// lent by the ones before stays counted.
    pub fn resize(&mut self, now: u64, limits: Vec<(Limit, Rule)>) {
        let (mut limits, rules): (Vec<Limit>, Vec<Rule>) = limits.into_iter().unzip();
        // Budgets of cold engines stay, behind the others in the file and in their place in the node.
        limits.extend(self.cold.iter().flat_map(ColdBudgets::limits));
        let places = self.node.resize(now, limits);
        self.rules = places.into_iter().zip(rules).collect();
    }

    /// The key that a limit is for where it is for one alone, by its rule.
    fn key(&self, rule: &Rule, ask: &Ask) -> u64 {
        let of = |hashes: &[u64], at: Option<usize>| at.and_then(|at| hashes.get(at).copied()).unwrap_or(0);
        let both = |a: u64, b: u64| stable_hash([&a.to_le_bytes()[..], &b.to_le_bytes()[..]]);
        let (tenant, class) =
            (of(&self.tenants, ask.tenant.map(|t| t.0)), of(&self.classes, Some(ask.class.0)));
        match rule.by {
            By::All => 0,
            By::Tenant => tenant,
            By::Class => class,
            By::TenantAndClass => both(tenant, class),
            By::Client => both(tenant, ask.client),
        }
    }

    /// Admits a request under all limits that count it.
    ///
    /// # Errors
    /// When it is worth coming back (ns from now).
    pub fn admit(&mut self, now: u64, ask: &Ask) -> Result<Ticket, u64> {
        let counts = |rule: &Rule| {
            rule.tenant.is_none_or(|t| ask.tenant == Some(t)) && rule.class.is_none_or(|c| ask.class == c)
        };
        let rules = self.rules.iter().filter(|(_, rule)| counts(rule));
        let wants: Vec<(u16, u64)> = rules.map(|(at, rule)| (*at, self.key(rule, ask))).collect();
        self.node.admit(now, &wants).map_err(|refused| {
            *self.refused.entry(refused.limit).or_default() += 1;
            refused.retry_after_ns
        })
    }

    /// A request is over, and all that it had out.
    pub fn over(&mut self, ticket: Ticket) {
        self.node.over(ticket);
    }
}
