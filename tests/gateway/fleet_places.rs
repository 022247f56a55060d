//! Fleets of real daemons that play at the same time. Tests wait for a place before they start one, so that
//! the load on the machine does not depend on how many tests run at a time.

use std::{
    sync::{Mutex, MutexGuard, TryLockError},
    thread,
    time::Duration,
};

/// Fleets at a time.
const PLACES: usize = 3;
/// Pause between two looks for a free place.
const PLACE_PAUSE: Duration = Duration::from_millis(50);

static FLEETS: [Mutex<()>; PLACES] = [const { Mutex::new(()) }; PLACES];

/// Waits for a place. One is free again also after a test that failed in it.
pub fn acquire_fleet_slot() -> MutexGuard<'static, ()> {
    loop {
        for place in &FLEETS {
            match place.try_lock() {
                Ok(guard) => return guard,
                Err(TryLockError::Poisoned(poisoned)) => return poisoned.into_inner(),
                Err(TryLockError::WouldBlock) => {}
            }
        }
        thread::sleep(PLACE_PAUSE);
    }
}
