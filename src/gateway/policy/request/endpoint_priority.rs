//! Rank of a request in an endpoint's queue: by its account first, then by its route.

/// Least urgent rank that endpoints take; 0 is the most urgent. Bounds what configurations with
/// larger ranks would send.
const LEAST_URGENT: u8 = 9;
/// Ranks of routes within one rank of accounts: an account's rank outweighs route ranks 0 to 2.
const RANKS_PER_ACCOUNT: u8 = 3;

/// Rank from the account's and the route's priorities; public requests have account rank 0.
pub fn endpoint_priority(account: Option<u8>, route: u8) -> u8 {
    let account = account.unwrap_or(0).saturating_mul(RANKS_PER_ACCOUNT);
    account.saturating_add(route).min(LEAST_URGENT)
}
