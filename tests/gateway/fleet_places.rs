//! Limits the number of fleets of real daemons that run at the same time. A test acquires a slot
//! before it starts a fleet, so that the load on the machine doesn't depend on the number of test
//! threads.

use std::{
    sync::{Mutex, MutexGuard, PoisonError, TryLockError},
    thread,
    time::Duration,
};

/// Number of fleets that may run at the same time.
const MAX_FLEETS: usize = 3;
/// Interval between two attempts to acquire a slot.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

static FLEET_SLOTS: [Mutex<()>; MAX_FLEETS] = [const { Mutex::new(()) }; MAX_FLEETS];

/// Waits for all slots, so that no other fleet runs: for tests in which the endpoints need much of the
/// machine's time.
pub fn acquire_all_fleet_slots() -> Vec<MutexGuard<'static, ()>> {
    // In a fixed order, so that two tests never wait for each other.
    let lock = |slot: &'static Mutex<()>| slot.lock().unwrap_or_else(PoisonError::into_inner);
    FLEET_SLOTS.iter().map(lock).collect()
}

/// Waits for a free slot. A slot whose test has panicked is free again.
pub fn acquire_fleet_slot() -> MutexGuard<'static, ()> {
    loop {
        for slot in &FLEET_SLOTS {
            match slot.try_lock() {
                Ok(guard) => return guard,
                Err(TryLockError::Poisoned(poisoned)) => return poisoned.into_inner(),
                Err(TryLockError::WouldBlock) => {}
            }
        }
        thread::sleep(RETRY_INTERVAL);
    }
}
