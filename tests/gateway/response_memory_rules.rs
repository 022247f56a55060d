//! Memory of responses: all together never hold more than their part of the VM, and small ones are never refused.

use googletest::prelude::*;
use proptest::prelude::*;
use willowarch::response_memory::{HeldBytes, MemoryCharge, ResponseMemory};

/// Memory of a VM, in bytes, and the part of it that responses may hold.
const VM_BYTES: u64 = 64_000_000;
const LIMIT: usize = 8_000_000;
/// Largest amount that is never refused, in bytes.
const SMALL: usize = 16 * 1024;
/// Longest event, in bytes.
const LONG: usize = 1024 * 1024;

proptest! {
    #[test]
    fn responses_hold_no_more_than_their_part(
        steps in proptest::collection::vec((0_usize..200, 0_usize..4 * LONG, any::<bool>()), 0..600),
    ) {
        let memory = ResponseMemory::of_vm(VM_BYTES);
        let mut charges: Vec<Option<MemoryCharge>> = (0..200).map(|_| None).collect();
        for (place, wanted, ends) in steps {
            if ends {
                charges[place] = None;
                continue;
            }
            let charge = charges[place].get_or_insert_with(|| memory.begin());
            let is_held = charge.grow_to(wanted).is_ok();
            prop_assert!(is_held || wanted > SMALL);
            prop_assert!(memory.held() <= LIMIT);
        }
        drop(charges);
        prop_assert_eq!(memory.held(), 0);
    }
}

#[googletest::test]
fn small_responses_pass_whatever_others_hold() {
    let memory = ResponseMemory::of_vm(VM_BYTES);
    let mut charges: Vec<MemoryCharge> = (0..1_000).map(|_| memory.begin()).collect();
    let held = charges.iter_mut().filter_map(|charge| charge.grow_to(LONG).ok()).count();
    // The first ones may be long.
    expect_that!(held, ge(4));
    expect_that!(memory.held(), le(LIMIT));
    let mut charge = memory.begin();
    expect_that!(charge.grow_to(SMALL), ok(anything()));
}

#[googletest::test]
fn bytes_that_were_taken_are_accounted_for_until_they_are_dropped() {
    let memory = ResponseMemory::of_vm(VM_BYTES);
    let mut bytes = HeldBytes::new(&memory);
    bytes.append(&vec![b'x'; LONG]).expect("memory");
    let taken = bytes.take();
    drop(bytes);
    expect_that!(memory.held(), eq(LONG));
    drop(taken);
    expect_that!(memory.held(), eq(0));
}
