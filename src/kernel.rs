//! Starts the services of a daemon, lets them find each other by name, and drains and stops them.
//! The gateway and the native interface both use it.
//!
//! A service is a task on the single runtime thread of the process. It owns its state and reads
//! typed messages from its inbox. If a service returns or panics before the daemon stops, the whole
//! daemon ends, so that it never runs with some of its services missing.

use std::{any::Any, cell::RefCell, collections::HashMap, future::Future, rc::Rc};

use derive_more::{Display, Error};
use tokio::{
    sync::{mpsc, watch},
    task::{JoinError, JoinSet},
};

/// Capacity of an inbox in messages; sending to a full one fails. Bounds the memory of a service
/// that falls behind.
const INBOX_CAPACITY: usize = 16_384;

/// Name of a service.
pub type ServiceName = &'static str;

/// Receiving end of a service's mailbox.
pub type ServiceInbox<M> = mpsc::Receiver<M>;

/// Phase of the daemon's life; it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifePhase {
    /// Normal operation.
    Running,
    /// Accepts no new requests and finishes those in progress.
    Draining,
    /// All services are stopped.
    Stopping,
}

/// A message or its reply could not be delivered.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SendError {
    /// The inbox is full: the service is overloaded.
    #[display("service {_0} is overloaded")]
    Full(#[error(not(source))] ServiceName),
    /// The service has ended.
    #[display("service {_0} has ended")]
    Ended(#[error(not(source))] ServiceName),
    /// No service with this name accepts messages of this type.
    #[display("no service {_0} for this message type")]
    Missing(#[error(not(source))] ServiceName),
}

/// Sending end of a service's mailbox.
#[derive(Debug)]
pub struct ServiceAddress<M> {
    name: ServiceName,
    sender: mpsc::Sender<M>,
}

impl<M> Clone for ServiceAddress<M> {
    fn clone(&self) -> Self {
        Self { name: self.name, sender: self.sender.clone() }
    }
}

impl<M> ServiceAddress<M> {
    /// Sends `message` without waiting; fails if the inbox is full.
    pub fn send(&self, message: M) -> Result<(), SendError> {
        self.sender.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => SendError::Full(self.name),
            mpsc::error::TrySendError::Closed(_) => SendError::Ended(self.name),
        })
    }

    /// Sends `message`, waiting for space if the inbox is full.
    pub async fn deliver(&self, message: M) -> Result<(), SendError> {
        self.sender.send(message).await.map_err(|_| SendError::Ended(self.name))
    }

    /// Sends the message that `make` builds around a reply channel, and waits for the reply.
    pub async fn ask<R>(
        &self,
        make: impl FnOnce(tokio::sync::oneshot::Sender<R>) -> M,
    ) -> Result<R, SendError> {
        let (reply, response) = tokio::sync::oneshot::channel();
        self.send(make(reply))?;
        response.await.map_err(|_| SendError::Ended(self.name))
    }
}

/// Why the kernel ended.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum KernelExit {
    /// The daemon stopped as requested.
    #[display("stopped")]
    Stopped,
    /// A service panicked.
    #[display("service {_0} panicked")]
    Panicked(String),
    /// A service returned while the daemon was in phase `Running`.
    #[display("service {_0} ended early")]
    EndedEarly(ServiceName),
}

type Directory = HashMap<ServiceName, Box<dyn Any>>;

/// Handle through which services find each other and see the life phase.
#[derive(Clone)]
pub struct KernelHandle {
    directory: Rc<RefCell<Directory>>,
    phase: watch::Sender<LifePhase>,
    failures: mpsc::UnboundedSender<String>,
}

impl KernelHandle {
    /// Returns the address of the service `name`, which must accept messages of type `M`.
    pub fn find<M: 'static>(&self, name: ServiceName) -> Result<ServiceAddress<M>, SendError> {
        let directory = self.directory.borrow();
        let entry = directory.get(name).ok_or(SendError::Missing(name))?;
        let address = entry.downcast_ref::<ServiceAddress<M>>();
        address.cloned().ok_or(SendError::Missing(name))
    }

    /// Returns a receiver for the life phase.
    pub fn phase(&self) -> watch::Receiver<LifePhase> {
        self.phase.subscribe()
    }

    /// Moves the daemon to `phase`; does nothing if it is already in that phase or a later one.
    pub fn enter(&self, phase: LifePhase) {
        self.phase.send_if_modified(|current| {
            let forward = phase > *current;
            if forward {
                *current = phase;
            }
            forward
        });
    }

    /// Spawns a child task of the service `name`; a panic in it ends the daemon.
    pub fn spawn(&self, name: ServiceName, task: impl Future<Output = ()> + 'static) {
        let failures = self.failures.clone();
        let handle = tokio::task::spawn_local(task);
        tokio::task::spawn_local(async move {
            if handle.await.is_err_and(|error| error.is_panic()) {
                // Fails only if the kernel, and so the daemon, has already ended.
                let _ = failures.send(format!("{name} (child task)"));
            }
        });
    }
}

/// Owner of all services of one daemon.
pub struct ServiceKernel {
    handle: KernelHandle,
    tasks: JoinSet<ServiceName>,
    names: HashMap<tokio::task::Id, ServiceName>,
    failures: mpsc::UnboundedReceiver<String>,
}

impl Default for ServiceKernel {
    fn default() -> Self {
        Self::new()
    }
}

impl ServiceKernel {
    /// Creates a kernel without services. Must be used inside a `tokio::task::LocalSet`.
    pub fn new() -> Self {
        let (failure_sender, failures) = mpsc::unbounded_channel();
        let handle = KernelHandle {
            directory: Rc::default(),
            phase: watch::Sender::new(LifePhase::Running),
            failures: failure_sender,
        };
        Self { handle, tasks: JoinSet::new(), names: HashMap::new(), failures }
    }

    /// Returns a handle for services.
    pub fn handle(&self) -> KernelHandle {
        self.handle.clone()
    }

    /// Registers the mailbox of `name` before its task starts, so that services may
    /// find each other in any order.
    pub fn register<M: 'static>(&mut self, name: ServiceName) -> ServiceInbox<M> {
        let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
        let address = ServiceAddress { name, sender };
        self.handle.directory.borrow_mut().insert(name, Box::new(address));
        inbox
    }

    /// Starts the task of the service `name`.
    pub fn start(&mut self, name: ServiceName, task: impl Future<Output = ()> + 'static) {
        let started = self.tasks.spawn_local(async move {
            task.await;
            name
        });
        self.names.insert(started.id(), name);
    }

    /// Runs until the daemon has stopped or a service has failed.
    pub async fn run(mut self) -> KernelExit {
        let mut phase = self.handle.phase();
        loop {
            tokio::select! {
                ended = self.tasks.join_next_with_id() => match ended {
                    None => return KernelExit::Stopped,
                    Some(result) => if let Some(exit) = self.exit_after(result) { return exit },
                },
                Some(name) = self.failures.recv() => return KernelExit::Panicked(name),
                _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => {
                    self.tasks.shutdown().await;
                    return KernelExit::Stopped;
                }
            }
        }
    }

    /// How the daemon ends after a service ended; `None` if it continues.
    fn exit_after(
        &self,
        result: Result<(tokio::task::Id, ServiceName), JoinError>,
    ) -> Option<KernelExit> {
        match result {
            Ok((_, name)) => {
                let running = *self.handle.phase.borrow() == LifePhase::Running;
                running.then_some(KernelExit::EndedEarly(name))
            }
            Err(error) if error.is_panic() => {
                let name = self.names.get(&error.id()).copied().unwrap_or("unnamed");
                Some(KernelExit::Panicked(name.to_owned()))
            }
            // Aborted; only the kernel aborts services, while it stops.
            Err(_) => None,
        }
    }
}
