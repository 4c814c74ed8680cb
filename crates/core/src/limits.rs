//! Limits that hold for the whole fleet, as they stand before the door and the module: which of them a request counts under.

use std::hash::{DefaultHasher, Hash, Hasher};

use marljunction_control::interface::{ClassId, TenantId};
use marljunction_limits::node::Ticket;
use marljunction_limits::Node;

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
    rules: Vec<Rule>,
    /// Hashes of names: the same in all routers, whatever their numbers.
    tenants: Vec<u64>,
    classes: Vec<u64>,
    /// Requests that were refused by each limit.
    refused: Vec<u64>,
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl FleetLimits {
    /// The limits that `node` keeps, by these rules in its order; names of tenants and classes by their numbers.
    pub fn new(node: Node, rules: Vec<Rule>, tenants: &[String], classes: &[String]) -> FleetLimits {
        let hashes = |names: &[String]| names.iter().map(hash).collect();
        let (tenants, classes, refused) = (hashes(tenants), hashes(classes), vec![0; rules.len()]);
        FleetLimits { node, rules, tenants, classes, refused }
    }

    /// What this router keeps of the limits.
    pub fn node(&mut self) -> &mut Node {
        &mut self.node
    }

    /// Requests that were refused by each limit so far.
    pub fn refused(&self) -> &[u64] {
        &self.refused
    }

    /// The key that a limit is for where it is for one alone, by its rule.
    fn key(&self, rule: &Rule, ask: &Ask) -> u64 {
        let of = |hashes: &[u64], at: Option<usize>| at.and_then(|at| hashes.get(at).copied()).unwrap_or(0);
        let (tenant, class) =
            (of(&self.tenants, ask.tenant.map(|t| t.0)), of(&self.classes, Some(ask.class.0)));
        match rule.by {
            By::All => 0,
            By::Tenant => tenant,
            By::Class => class,
            By::TenantAndClass => hash((tenant, class)),
            By::Client => hash((tenant, ask.client)),
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
        let rules = self.rules.iter().enumerate().filter(|(_, rule)| counts(rule));
        let wants: Vec<(u16, u64)> = rules.map(|(at, rule)| (at as u16, self.key(rule, ask))).collect();
        self.node.admit(now, &wants).map_err(|refused| {
            self.refused[refused.limit] += 1;
            refused.after_ns
        })
    }

    /// A request is over, and all that it had out.
    pub fn over(&mut self, ticket: Ticket) {
        self.node.over(ticket);
    }
}
