//! Look-up tables of the routes and accounts of a text.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use config::Text;
use config::ids::{AccountId, ServiceId};
use config::text::ingress::{Limits, Route};
use indexmap::IndexMap;
use limits::Rate;
use xxhash_rust::xxh3::xxh3_64;

/// Routes and accounts of one version of the text.
#[derive(Debug, Default)]
pub struct Table {
    version: u64,
    /// Routes by host, sorted by decreasing length of the prefix.
    routes: IndexMap<CompactString, Vec<Arc<Route>>>,
    /// Accounts by key.
    accounts: IndexMap<CompactString, Arc<Account>>,
    /// Accounts that have a token limit.
    limited: Vec<AccountId>,
    /// Ranks and targets of the routes to each service.
    targets: IndexMap<ServiceId, Vec<(u8, Duration)>>,
    /// Connections that an upstream of each service accepts from all entries, if that is known.
    max_connections: IndexMap<ServiceId, u32>,
    limits: Limits,
}

/// Attributes of an account that the request path uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountId,
    /// Rank of the account's requests, which overrides the rank of a route.
    pub rank: Option<u8>,
    /// Token limit, if there is one.
    pub limit: Option<Rate>,
    /// Tokens that a plain call counts as.
    pub tokens_per_request: u32,
}

impl Table {
    /// Creates the tables of `version` of the text.
    pub fn new(version: u64, text: &Text) -> Self {
        let mut routes: IndexMap<CompactString, Vec<Arc<Route>>> = IndexMap::new();
        for route in &text.ingress.routes {
            let host_routes = routes.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route.clone()));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut accounts = IndexMap::new();
        for (name, account) in &text.accounts {
            let attributes = Arc::new(Account {
                name: name.clone(),
                rank: account.rank,
                limit: limits::token_rate(account),
                tokens_per_request: account.tokens_per_request,
            });
            let keys = account.keys.iter().cloned();
            accounts.extend(keys.map(|key| (key, attributes.clone())));
        }
        let has_limit = |(name, account)| limits::token_rate(account).map(|_| name);
        let limited = text.accounts.iter().filter_map(has_limit);
        let max_connections = text.services.iter();
        let max_connections =
            max_connections.filter_map(|(name, s)| Some((name.clone(), s.max_connections?)));
        Table {
            version,
            routes,
            accounts,
            targets: targets(text),
            limited: limited.cloned().collect(),
            max_connections: max_connections.collect(),
            limits: text.ingress.limits,
        }
    }

    /// Returns the version of the text; 0 before the first text.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the accounts that have a token limit.
    pub(crate) fn limited_accounts(&self) -> &[AccountId] {
        &self.limited
    }

    /// Returns how many connections an upstream of a service accepts from all entries.
    pub(crate) fn max_connections(&self, service: &str) -> Option<u32> {
        self.max_connections.get(service).copied()
    }

    /// Returns the strictest target of the routes to a service whose rank is before `rank`.
    pub fn target_before(&self, service: &str, rank: u8) -> Option<Duration> {
        let targets = self.targets.get(service)?.iter();
        let before = targets.filter(|(other, _)| *other < rank);
        before.map(|(_, target)| *target).min()
    }

    /// Returns the route with the longest prefix of `path` at `host`; a port is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _port)| name);
        let host_routes = self.routes.get(name)?;
        host_routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the first route to a service.
    pub(crate) fn route_to(&self, service: &str) -> Option<&Arc<Route>> {
        let mut routes = self.routes.values().flatten();
        routes.find(|route| route.splits.iter().any(|split| split.service == service))
    }

    /// Returns the account `name`, if it has a key.
    pub(crate) fn account_named(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.values().find(|account| account.name == name)
    }

    /// Returns the account that a key belongs to.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }
}

/// Returns the ranks and targets of the routes to each service.
fn targets(text: &Text) -> IndexMap<ServiceId, Vec<(u8, Duration)>> {
    let mut targets: IndexMap<ServiceId, Vec<(u8, Duration)>> = IndexMap::new();
    for route in &text.ingress.routes {
        for split in &route.splits {
            let service = targets.entry(split.service.clone()).or_default();
            service.push((route.rank, route.target));
        }
    }
    targets
}

/// Selects the service of a route by weight. The selection depends on the request's identifier
/// only, so that it is repeatable.
pub(crate) fn select_service<'a>(route: &'a Route, id: &str) -> Option<&'a ServiceId> {
    let total: u64 = route
        .splits
        .iter()
        .map(|split| u64::from(split.weight))
        .sum();
    let mut point = xxh3_64(id.as_bytes()).checked_rem(total)?;
    for split in &route.splits {
        match point.checked_sub(u64::from(split.weight)) {
            Some(rest) => point = rest,
            None => return Some(&split.service),
        }
    }
    None
}
