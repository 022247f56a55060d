//! Stand-in for the platform behind the native interface: object API, cloud API with a VM list
//! that may lag, and weight store, on one address. It implements the protocol of
//! `native::cloud_api`.
//!
//! `POST /faults` switches faults on and off, `POST /reclaim` announces that VMs will be reclaimed,
//! `POST /gone/ID` removes a VM, `GET /stats` returns the numbers of calls. `POST /copy` makes a
//! copy of the objects and `POST /restore` restores it, which begins a new era; a header of each
//! response gives the current era.

mod objects;
mod state;
mod vms;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use tokio::{sync::watch, time::timeout};

pub use state::PlatformFaults;
use state::PlatformState;

use super::reply;
use crate::{
    errors::StepError,
    http::{ResponseBody, server},
    kernel::LifePhase,
    native::cloud_api::{ERA_HEADER, messages::VmEntry},
};

#[derive(Clone)]
struct Platform {
    state: Rc<RefCell<PlatformState>>,
    changed: watch::Sender<u64>,
}

/// Serves the platform at `address` until `phase` stops it.
pub async fn run(
    address: SocketAddr,
    vms: Vec<VmEntry>,
    phase: watch::Receiver<LifePhase>,
) -> Result<(), StepError> {
    let listener = server::bind(address).await?;
    let platform = Platform::new(vms);
    server::serve(listener, phase, move |request| {
        let platform = platform.clone();
        async move {
            let mut response = platform.handle(request).await;
            let era = HeaderValue::from(platform.state.borrow().era);
            response.headers_mut().insert(ERA_HEADER, era);
            response
        }
    })
    .await;
    Ok(())
}

impl Platform {
    fn new(vms: Vec<VmEntry>) -> Self {
        let state = PlatformState::new(vms);
        Self { state: Rc::new(RefCell::new(state)), changed: watch::Sender::new(0) }
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let segments = reply::path_segments(&request);
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        let method = request.method().clone();
        match parts.as_slice() {
            ["faults"] => return self.set_faults(request).await,
            ["stats"] => return reply::json(StatusCode::OK, &self.state.borrow().counts),
            ["reclaim"] => return self.reclaim(request).await,
            ["gone", id] => return self.remove_vm(id),
            ["copy"] => return self.copy_objects(),
            ["restore"] => return self.restore_objects(),
            _ => {}
        }
        let faults = self.state.borrow().faults.clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (&method, parts.as_slice()) {
            (&Method::GET, ["objects", kind]) => self.list(kind),
            (&Method::GET, ["objects", kind, name]) => self.read(kind, name),
            (&Method::PUT | &Method::DELETE, ["objects", kind, name]) => {
                self.write(kind, name, request).await
            }
            (&Method::GET, ["watch", kind]) => self.watch(kind, &request).await,
            (&Method::GET, ["vms"]) => self.list_vms(),
            (&Method::POST, ["vms"]) => self.start_vm(request).await,
            (&Method::DELETE, ["vms", id]) => self.remove_vm(id),
            (&Method::GET, ["notices"]) => self.notices(&request).await,
            (&Method::GET, ["prices"]) => reply::json(StatusCode::OK, &self.state.borrow().prices),
            (&Method::GET, ["weights", _]) => self.load_weights(),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn copy_objects(&self) -> Response<ResponseBody> {
        let mut state = self.state.borrow_mut();
        state.copy = state.store.clone();
        reply::empty(StatusCode::OK)
    }

    fn restore_objects(&self) -> Response<ResponseBody> {
        let mut state = self.state.borrow_mut();
        state.store = state.copy.clone();
        state.era += 1;
        drop(state);
        self.notify();
        reply::empty(StatusCode::OK)
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let current = self.state.borrow().faults.clone();
        match reply::change_faults(request, &current).await {
            Ok(faults) => {
                let response = reply::json(StatusCode::OK, &faults);
                self.state.borrow_mut().faults = faults;
                // Wakes the waiting watches, so that an outage ends them at once.
                self.notify();
                response
            }
            Err(refusal) => refusal,
        }
    }

    /// Waits until `find` returns a value, for at most `wait`; calls `find` again after each change.
    async fn wait_for<T>(&self, find: impl Fn() -> Option<T>, wait: Duration) -> Option<T> {
        let mut changed = self.changed.subscribe();
        let waiting = async {
            loop {
                if let Some(value) = find() {
                    return value;
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        timeout(wait, waiting).await.ok()
    }
}
