//! One request at one endpoint, counted in this daemon's loads until it ends.

use std::rc::Rc;

use tokio::time::Instant;

use crate::{
    endpoint_health::AttemptResult,
    gateway::{
        call::PromptPart, context::GatewayContext, endpoint::EndpointRecord,
        policy::endpoint::endpoint_load::RunLoad,
    },
    true_time,
};

/// Counts a run at its endpoint. Dropping the guard ends the run and leaves the endpoint's
/// health as it was: the daemon or the client has broken it off.
pub struct RunGuard {
    context: Rc<GatewayContext>,
    endpoint: Rc<EndpointRecord>,
    load: RunLoad,
    begun: Instant,
    /// Whether no other prompt was known to wait at the endpoint, so that the time to the first
    /// event shows the prefill rate.
    alone: bool,
    result: AttemptResult,
}

impl RunGuard {
    /// Begins a run.
    pub fn begin(
        context: Rc<GatewayContext>,
        endpoint: &Rc<EndpointRecord>,
        parts: &[PromptPart],
        load: RunLoad,
    ) -> Self {
        let begun = true_time::now();
        let mut endpoints = context.endpoints.borrow_mut();
        let alone = endpoints.is_idle(&endpoint.id, begun);
        endpoints.begin(&endpoint.id, parts, load, begun);
        drop(endpoints);
        let result = AttemptResult::Neutral;
        Self { context, endpoint: endpoint.clone(), load, begun, alone, result }
    }

    /// Id of the endpoint.
    pub fn endpoint(&self) -> &str {
        &self.endpoint.id
    }

    /// The endpoint has refused the request because it is full.
    pub fn endpoint_full(&self) {
        let mut endpoints = self.context.endpoints.borrow_mut();
        if endpoints.knows_start(&self.endpoint) {
            endpoints.mark_full(&self.endpoint.id, true_time::now());
        }
    }

    /// Another endpoint, or another start, has responded at its address.
    pub fn endpoint_ended(&self) {
        let mut endpoints = self.context.endpoints.borrow_mut();
        if endpoints.knows_start(&self.endpoint) {
            endpoints.mark_ended(&self.endpoint.id);
        }
    }

    /// The endpoint.
    pub fn record(&self) -> &Rc<EndpointRecord> {
        &self.endpoint
    }

    /// When the attempt began.
    pub fn begun(&self) -> Instant {
        self.begun
    }

    /// The first event has come, so the endpoint has read the prompt.
    pub fn prefill_done(&mut self) {
        let uncached = std::mem::take(&mut self.load.uncached_tokens);
        if uncached > 0 {
            let mut endpoints = self.context.endpoints.borrow_mut();
            if !endpoints.knows_start(&self.endpoint) {
                return;
            }
            endpoints.prefill_done(
                &self.endpoint.id,
                uncached,
                true_time::since(self.begun),
                self.alone,
            );
        }
    }

    /// Ends the run with what it says of the endpoint's health.
    pub fn finish(mut self, result: AttemptResult) {
        self.result = result;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut endpoints = self.context.endpoints.borrow_mut();
        if !endpoints.knows_start(&self.endpoint) {
            return;
        }
        endpoints.end(&self.endpoint.id, self.load, self.result, true_time::now());
    }
}
