//! Integration tests of the native path: with real processes on loopback where the failure is a
//! kill, a suspension, a broken connection or an outage; otherwise on a simulated or paused clock.

mod cluster_model;
mod harness;
mod in_memory_fleet;

mod at_most_once;
mod bad_input;
mod decisions;
mod decoders;
mod endless_responses;
mod fleet_planning;
mod kernel_lifecycle;
mod malformed_responses;
mod object_paths;
mod pausing_engines;
mod peer_admission;
mod promises;
mod refusing_engines;
mod request_store;
mod response_lead;
mod settings_checks;
mod whole_path;

/// Defines one named test for each case: calls `$check` with the arguments of the case.
#[macro_export]
macro_rules! cases {
    ($check:path: $($name:ident($($argument:expr),* $(,)?)),+ $(,)?) => {
        $(
            #[googletest::test]
            fn $name() {
                $check($($argument),*);
            }
        )+
    };
}
