//! Priority of a request in an endpoint's queue: by its account first, then by its route.

/// Lowest priority that endpoints accept; 0 is the highest. Bounds the value for configurations
/// with larger priority numbers.
const LOWEST_PRIORITY: u8 = 9;
/// Route priorities within one account priority: the account outweighs route priorities 0 to 2.
const ROUTE_PRIORITIES: u8 = 3;

/// Combines the account's and the route's priorities; requests without an account get account
/// priority 0.
pub fn endpoint_priority(account: Option<u8>, route: u8) -> u8 {
    let account = account.unwrap_or(0).saturating_mul(ROUTE_PRIORITIES);
    account.saturating_add(route).min(LOWEST_PRIORITY)
}
