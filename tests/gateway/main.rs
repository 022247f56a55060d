//! Tests of the gateway: its pure parts, every decoder against malformed input, and the
//! real daemon between loopback clients and stand-ins of the platform.

mod decoders;
mod endpoint_standin;
mod exchange;
mod fleet;
mod groups;
mod leader_rules;
mod leader_tasks;
mod loopback_proxy;
mod operations;
mod platform_standin;
mod pure_parts;
mod quotas;
mod serving;
mod soak;
