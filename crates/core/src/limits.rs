//! Fleet-wide limits on requests: maps each request to the limits and keys that count it, and
//! admits it under all or none.

use std::collections::BTreeMap;

use marljunction_control::interface::{ClassId, EngineEntry, EngineId, MembershipKind, TenantId};
use marljunction_limits::node::Permit;
use marljunction_limits::params::{stable_hash, Limit};
use marljunction_limits::Node;

use crate::cold::ColdBudgets;
use crate::ClientRequest;

/// The unit to which a limit applies separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitScope {
    /// All requests together.
    All,
    /// Each tenant.
    Tenant,
    /// Each class.
    Class,
    /// Each pair of tenant and class.
    TenantAndClass,
    /// Each client of each tenant.
    Client,
}

/// Which requests a limit counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitRule {
    /// The unit that the limit applies to.
    pub scope: LimitScope,
    /// Restricts the limit to one tenant.
    pub tenant: Option<TenantId>,
    /// Restricts the limit to one class.
    pub class: Option<ClassId>,
}

/// One router's part of the fleet-wide limits.
pub struct FleetLimits {
    node: Node,
    /// Index of each configured limit in the node, and its rule.
    rules: Vec<(u16, LimitRule)>,
    /// Hashes of tenant names by tenant id; equal on all routers, whatever the ids.
    tenants: Vec<u64>,
    /// Hashes of class names by class id.
    classes: Vec<u64>,
    /// Refused requests by index of the limit.
    refused: BTreeMap<usize, u64>,
    /// Budgets of cold engines, if the fleet shares them.
    cold: Option<ColdBudgets>,
}

impl FleetLimits {
    /// `rules` are in the order of the limits of `node`; `tenants` and `classes` are names by id.
    pub fn new(node: Node, rules: Vec<LimitRule>, tenants: &[String], classes: &[String]) -> FleetLimits {
        let hashes = |names: &[String]| names.iter().map(|name| stable_hash([name.as_bytes()])).collect();
        let (tenants, classes) = (hashes(tenants), hashes(classes));
        let rules = (0..).zip(rules).collect();
        FleetLimits { node, rules, tenants, classes, refused: BTreeMap::new(), cold: None }
    }

    /// Adds budgets of cold engines; their limits follow those of the rules.
    pub fn with_cold(mut self, cold: Option<ColdBudgets>) -> FleetLimits {
        self.cold = cold;
        self
    }

    /// Applies a change of the engine list.
    pub fn update_engines(&mut self, now: u64, kind: MembershipKind, entries: &[EngineEntry]) {
        self.cold.iter_mut().for_each(|cold| cold.update_engines(now, kind, entries));
    }

    /// Records demand for cold engines by a request that goes to the decision module.
    pub fn record_demand(&mut self, now: u64, class: ClassId) {
        if let Some(cold) = &mut self.cold {
            cold.record_demand(now, &mut self.node, class);
        }
    }

    /// Records a query sent to a cold engine, which takes `share` of its lane's budget.
    pub fn record_sent(&mut self, now: u64, class: ClassId, engine: EngineId, lane: usize, share: f64) {
        if let Some(cold) = &mut self.cold {
            cold.record_sent(now, &mut self.node, class, engine, lane, share);
        }
    }

    /// Returns the shares of cold engines' budgets that changed.
    pub fn changed_shares(&mut self, now: u64) -> Vec<(EngineId, [f64; 2])> {
        let node = &mut self.node;
        self.cold.as_mut().map_or_else(Vec::new, |cold| cold.changed_shares(now, node))
    }

    /// The state machine that shares the limits with peers. Recomputes the cold engines' shares
    /// afterwards, since access may change them.
    pub fn node(&mut self) -> &mut Node {
        self.cold.iter_mut().for_each(ColdBudgets::mark_stale);
        &mut self.node
    }

    /// Requests refused by one limit since the start.
    pub fn refused(&self, limit_index: u16) -> u64 {
        self.refused.get(&usize::from(limit_index)).copied().unwrap_or(0)
    }

    /// Requests refused by all limits since the start.
    pub fn total_refused(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Index of each configured limit, in the order of the file.
    pub fn limit_indices(&self) -> impl Iterator<Item = u16> + '_ {
        self.rules.iter().map(|(limit_index, _)| *limit_index)
    }

    /// Replaces the configured limits and their rules. Units in use or lent under the previous
    /// limits remain counted.
    pub fn resize(&mut self, now: u64, limits: Vec<(Limit, LimitRule)>) {
        let (mut limits, rules): (Vec<Limit>, Vec<LimitRule>) = limits.into_iter().unzip();
        // Budgets of cold engines are kept after the configured limits, with their indices in the
        // node.
        limits.extend(self.cold.iter().flat_map(ColdBudgets::limits));
        let limit_indices = self.node.resize(now, limits);
        self.rules = limit_indices.into_iter().zip(rules).collect();
    }

    /// Returns the key of a request under a limit; 0 if the limit has one key.
    fn key(&self, rule: &LimitRule, client_request: &ClientRequest) -> u64 {
        let of = |hashes: &[u64], at: Option<usize>| at.and_then(|at| hashes.get(at).copied()).unwrap_or(0);
        let both = |a: u64, b: u64| stable_hash([&a.to_le_bytes()[..], &b.to_le_bytes()[..]]);
        let (tenant, class) = (
            of(&self.tenants, client_request.tenant.map(|t| t.0)),
            of(&self.classes, Some(client_request.class.0)),
        );
        match rule.scope {
            LimitScope::All => 0,
            LimitScope::Tenant => tenant,
            LimitScope::Class => class,
            LimitScope::TenantAndClass => both(tenant, class),
            LimitScope::Client => both(tenant, client_request.client),
        }
    }

    /// Admits a request under all limits that count it.
    ///
    /// # Errors
    /// Returns the time after which a retry is useful (ns from now).
    pub fn admit(&mut self, now: u64, client_request: &ClientRequest) -> Result<Permit, u64> {
        let counts = |rule: &LimitRule| {
            rule.tenant.is_none_or(|t| client_request.tenant == Some(t))
                && rule.class.is_none_or(|c| client_request.class == c)
        };
        let rules = self.rules.iter().filter(|(_, rule)| counts(rule));
        let limit_keys: Vec<(u16, u64)> =
            rules.map(|(at, rule)| (*at, self.key(rule, client_request))).collect();
        self.node.admit(now, &limit_keys).map_err(|refused| {
            *self.refused.entry(refused.limit).or_default() += 1;
            refused.retry_after_ns
        })
    }

    /// Releases the units of a finished request.
    pub fn release(&mut self, permit: Permit) {
        self.node.release(permit);
    }
}
