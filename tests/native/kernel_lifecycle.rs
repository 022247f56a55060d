//! The service kernel: lookup of services, order of the life phases, and its end when a service
//! panics or returns.

use std::time::Duration;

use googletest::prelude::*;
use tokio::task::LocalSet;
use willowarch::{
    kernel::{KernelExit, LifePhase, SendError, ServiceKernel},
    timeouts::wait_at_most,
};

/// Runs a future on a runtime with tokio's paused clock.
fn run_with_paused_clock<T>(task: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), task)
}

/// Guards against messages that are lost without an error: a missing or ended service and a wrong
/// message type must be reported.
#[googletest::test]
fn services_find_each_other_by_name_and_type() {
    run_with_paused_clock(async {
        let mut kernel = ServiceKernel::new();
        let mut inbox = kernel.register::<u32>("numbers");
        let handle = kernel.handle();
        let address = handle.find::<u32>("numbers").expect("registered");
        expect_that!(address.send(7), ok(anything()));
        expect_that!(inbox.recv().await, some(eq(7)));
        expect_that!(handle.find::<u32>("texts").err(), some(eq(&SendError::Missing("texts"))));
        expect_that!(handle.find::<String>("numbers").err(), some(anything()));
        drop(inbox);
        expect_that!(address.send(8), err(eq(&SendError::Ended("numbers"))));
    });
}

/// Guards against a daemon that keeps running without one of its services.
#[googletest::test]
fn panicking_service_ends_the_kernel() {
    let exit = run_with_paused_clock(async {
        let mut kernel = ServiceKernel::new();
        kernel.start("quiet", std::future::pending());
        kernel.start("loud", async { panic!("on purpose") });
        kernel.run().await
    });
    expect_that!(exit, eq(&KernelExit::Panicked("loud".into())));
}

/// Guards against a panic that goes unnoticed because a task of the service panicked, not the
/// service itself.
#[googletest::test]
fn panicking_child_task_ends_the_kernel() {
    let exit = run_with_paused_clock(async {
        let mut kernel = ServiceKernel::new();
        kernel.start("quiet", std::future::pending());
        kernel.handle().spawn("quiet", async { panic!("on purpose") });
        kernel.run().await
    });
    expect_that!(exit, pat!(KernelExit::Panicked(starts_with("quiet"))));
}

/// Guards against a daemon that keeps running without a service that has returned; while draining,
/// this is the planned stop.
#[googletest::test]
fn service_that_returns_early_ends_the_kernel_unless_draining() {
    let early = run_with_paused_clock(async {
        let mut kernel = ServiceKernel::new();
        kernel.start("quiet", std::future::pending());
        kernel.start("short", async {});
        kernel.run().await
    });
    expect_that!(early, eq(&KernelExit::EndedEarly("short")));
    let draining = run_with_paused_clock(async {
        let mut kernel = ServiceKernel::new();
        let handle = kernel.handle();
        handle.enter(LifePhase::Draining);
        kernel.start("short", async {});
        kernel.run().await
    });
    expect_that!(draining, eq(&KernelExit::Stopped));
}

/// Guards against a stopping daemon that returns to running.
#[googletest::test]
fn phases_only_go_forward() {
    run_with_paused_clock(async {
        let kernel = ServiceKernel::new();
        let handle = kernel.handle();
        handle.enter(LifePhase::Stopping);
        handle.enter(LifePhase::Running);
        expect_that!(*handle.phase().borrow(), eq(LifePhase::Stopping));
    });
}

/// Guards against waits that never end, or that lose a result that is ready.
#[googletest::test]
fn wait_ends_at_its_limit_on_the_paused_clock() {
    run_with_paused_clock(async {
        let limit = Duration::from_secs(5);
        let from = tokio::time::Instant::now();
        let waited = wait_at_most(limit, std::future::pending::<()>()).await;
        expect_that!(waited, err(anything()));
        expect_that!(from.elapsed(), all!(ge(limit), lt(limit * 2)));
        expect_that!(wait_at_most(limit, async { 3 }).await, ok(eq(3)));
    });
}
