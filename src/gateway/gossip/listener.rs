//! Serves the gossip calls of other daemons: applies each message and responds with this daemon's.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::{TcpListener, TcpStream};

use super::{
    codec::{read_message, write_message},
    endpoint_signals::slot_loans::lend_slot,
    incoming::apply_message,
    outgoing::own_message,
    streams::{codec::write_report, own_report, receive_records},
};
use crate::{
    exchange_capnp::exchange,
    gateway::{context::GatewayContext, policy::request::stream_origin::StreamKey},
    http::server,
    rpc_transport::{TrafficCounter, rpc_system},
};

/// Name of the service.
pub const NAME: &str = "gossip-listener";

/// Serves other daemons' calls until the daemon stops.
pub async fn run(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    server::accept_each(listener, phase, |stream| {
        tokio::task::spawn_local(serve_connection(stream, context.clone()));
    })
    .await;
}

async fn serve_connection(stream: TcpStream, context: Rc<GatewayContext>) {
    let server: exchange::Client = capnp_rpc::new_client(ExchangeServer { context });
    let counter = TrafficCounter::default();
    // An error ends only the connection of that peer, which reconnects. It is not logged, because
    // the number of log lines would grow with the number of peers.
    let _ = rpc_system(stream, Side::Server, Some(server.client), &counter).await;
}

struct ExchangeServer {
    context: Rc<GatewayContext>,
}

impl exchange::Server for ExchangeServer {
    async fn swap(
        self: Rc<Self>,
        params: exchange::SwapParams,
        mut results: exchange::SwapResults,
    ) -> Result<(), Error> {
        let message = read_message(params.get()?.get_message()?)?;
        let wants = message.wants.clone();
        // It is not known how long the call took to arrive, so it proves no freshness.
        apply_message(&self.context, message, None);
        let own = own_message(&self.context, wants);
        write_message(results.get().init_message(), &own);
        Ok(())
    }

    async fn record_streams(
        self: Rc<Self>,
        params: exchange::RecordStreamsParams,
        _results: exchange::RecordStreamsResults,
    ) -> Result<(), Error> {
        receive_records(&self.context, params.get()?.get_streams()?).await
    }

    async fn find_stream(
        self: Rc<Self>,
        params: exchange::FindStreamParams,
        mut results: exchange::FindStreamResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let (key, service) = (StreamKey(params.get_stream()), params.get_service()?.to_str()?);
        let report = own_report(&self.context, key, Some(service));
        write_report(results.get().init_report(), key, &report);
        Ok(())
    }

    async fn borrow_slot(
        self: Rc<Self>,
        params: exchange::BorrowSlotParams,
        mut results: exchange::BorrowSlotResults,
    ) -> Result<(), Error> {
        lend_slot(&self.context, params.get()?, results.get())
    }
}
