//! Tests of the gateway: its rules without I/O, every decoder against malformed input, and the
//! real daemon between loopback clients and stand-ins of the platform.

mod catch_up;
mod client_gone;
mod crash_fleet;
mod crash_rules;
mod crashing_endpoint;
mod crashing_requests;
mod decoders;
mod endpoint_choice;
mod endpoint_standin;
mod event_cutter;
mod exchange;
mod fleet;
mod gateway_site;
mod groups;
mod leader_rules;
mod leader_state;
mod leader_tasks;
mod long_configuration;
mod loopback_proxy;
mod operations;
mod platform_standin;
mod quotas;
mod request_rules;
mod retry_budget;
mod route_changes;
mod route_fleet;
mod route_requests;
mod routes;
mod sent_texts;
mod serving;
mod soak;
mod soak_clients;
mod store_connections;
mod text_model;
mod unknown_routes;
