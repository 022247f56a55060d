//! Decides whether a request is admitted, for which account and to which service.
//!
//! Checked in this order: the daemon accepts requests; a configuration is known; a route matches;
//! the key is known, unless the route is public. Then the request's body is read, a service is
//! chosen at random, and the quota is charged (`quota`). All inputs come from this daemon's newest
//! configuration. `key_freshness` decides whether it is recent enough to check keys, and
//! `configuration_doubt` whether a newer one may contain a missing route or key.

use std::rc::Rc;

use super::{
    configuration_doubt::ConfigurationDoubt, key_freshness::KeyFreshness, refusal::Refusal,
};
use crate::gateway::{
    call::{CallHead, TokenCounts},
    configuration::{Account, AccountQuota, Configuration, Route, ServiceWeight},
};

/// Route and account that match a request's head.
#[derive(Clone, Debug)]
pub struct MatchedHead {
    /// Route.
    pub route: Rc<Route>,
    /// Account; `None` for public routes, and if the configuration requires no keys.
    pub account: Option<Rc<Account>>,
}

/// Matches a request's head to a route and an account.
pub fn match_head(
    configuration: &Configuration,
    head: &CallHead,
    keys: KeyFreshness,
    doubt: Option<ConfigurationDoubt>,
) -> Result<MatchedHead, Refusal> {
    let route = configuration.route(&head.host, head.path());
    let route = route.ok_or_else(|| refuse_unknown(Refusal::NoRoute, doubt))?.clone();
    let account = match route.public || !configuration.requires_keys {
        true => None,
        false => Some(account_of(configuration, head, keys, doubt)?),
    };
    Ok(MatchedHead { route, account })
}

/// Refusal for an unknown route or key: final only if the configuration is certainly current.
fn refuse_unknown(refusal: Refusal, doubt: Option<ConfigurationDoubt>) -> Refusal {
    doubt.map_or(refusal, Refusal::NotYetKnown)
}

fn account_of(
    configuration: &Configuration,
    head: &CallHead,
    keys: KeyFreshness,
    doubt: Option<ConfigurationDoubt>,
) -> Result<Rc<Account>, Refusal> {
    if !keys.allows_keys() {
        return Err(Refusal::NotFresh);
    }
    let key = head.key.as_deref().ok_or(Refusal::UnknownKey)?;
    let account = configuration.account_of(key).cloned();
    account.ok_or_else(|| refuse_unknown(Refusal::UnknownKey, doubt))
}

/// Sum of a route's weights: the upper bound of the random points for `service_at`.
pub fn total_weight(services: &[ServiceWeight]) -> u64 {
    services.iter().map(|entry| u64::from(entry.weight)).sum()
}

/// The service whose range of the summed weights contains `point`; `None` if all weights are 0.
pub fn service_at(services: &[ServiceWeight], mut point: u64) -> Option<&ServiceWeight> {
    for entry in services {
        let weight = u64::from(entry.weight);
        if point < weight {
            return Some(entry);
        }
        point -= weight;
    }
    None
}

/// Units that a request uses of a quota: 1, or its tokens if the quota counts tokens.
pub fn quota_units(quota: &AccountQuota, tokens: Option<TokenCounts>) -> u64 {
    if !quota.in_tokens {
        return 1;
    }
    tokens.map_or(quota.default_tokens, TokenCounts::total)
}
