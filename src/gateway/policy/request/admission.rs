//! Whether a request is admitted, for which account and to which service.
//!
//! Checked in this order: the daemon takes requests; a configuration is known; a route
//! matches; the key is known, unless the route is public. The request's body is read between
//! these checks and the rest: a service is drawn, and the quota is charged (`quota`). All
//! inputs come from the newest configuration held; whether it is recent enough to check keys is
//! decided by `key_freshness`, and whether a newer one may hold what it lacks by
//! `configuration_doubt`.

use std::rc::Rc;

use super::{
    configuration_doubt::ConfigurationDoubt, key_freshness::KeyFreshness, refusal::Refusal,
};
use crate::gateway::{
    call::{CallHead, TokenCounts},
    configuration::{Account, AccountQuota, Configuration, Route, ServiceWeight},
};

/// What a request's head has been matched to.
#[derive(Clone, Debug)]
pub struct MatchedHead {
    /// Route.
    pub route: Rc<Route>,
    /// Account; none for public routes, and where the configuration has no accounts.
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
    let account = match route.public || configuration.accounts.is_empty() {
        true => None,
        false => Some(account_of(configuration, head, keys, doubt)?),
    };
    Ok(MatchedHead { route, account })
}

/// A client is not told that something doesn't exist while there is doubt.
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

/// Sum of a route's weights; points for `service_at` are drawn below it.
pub fn total_weight(services: &[ServiceWeight]) -> u32 {
    services.iter().map(|entry| entry.weight).sum()
}

/// The service whose part of the summed weights holds `point`; none if all weights are 0.
pub fn service_at(services: &[ServiceWeight], mut point: u32) -> Option<&ServiceWeight> {
    for entry in services {
        if point < entry.weight {
            return Some(entry);
        }
        point -= entry.weight;
    }
    None
}

/// Units that a request takes of a quota: 1, or its tokens where the quota counts tokens.
pub fn quota_units(quota: &AccountQuota, tokens: Option<TokenCounts>) -> u64 {
    if !quota.in_tokens {
        return 1;
    }
    tokens.map_or(quota.default_tokens, TokenCounts::total)
}
