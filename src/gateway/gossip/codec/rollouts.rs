//! Encodes and decodes roll-outs and the responses counted during them.

use capnp::{Error, struct_list};

use super::values::{check_length, from_ms, read_position, read_text, to_ms};
use crate::{
    exchange_capnp::{rollout, rollout_counts},
    gateway::{
        gossip::messages::RolloutSummary,
        policy::rollout::{
            rollout_order::{OrderId, RolloutPhase, TrafficPlan},
            version_counts::{RolloutCounts, RolloutRoute, RouteCounts, VersionCounts},
        },
    },
};

/// Encodes roll-outs into a list of the same length.
pub fn write_rollouts(
    mut target: struct_list::Builder<'_, rollout::Owned>,
    rollouts: &[RolloutSummary],
) {
    for (index, summary) in rollouts.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_service(&*summary.service);
        entry.set_target(&*summary.target);
        entry.set_order(summary.order.0);
        entry.set_era(summary.position.era().0);
        entry.set_revision(summary.position.revision());
        entry.set_duration_ms(to_ms(summary.duration));
        entry.set_age_ms(to_ms(summary.age));
        entry.set_phase(summary.plan.phase as u8);
        entry.set_step(summary.plan.step);
        entry.set_share(summary.plan.share);
        entry.set_stopped(summary.is_stopped);
    }
}

/// Decodes a list of roll-outs.
///
/// # Errors
///
/// Fails if the list is too long, a share is no fraction, or a phase is unknown.
pub fn read_rollouts(
    source: struct_list::Reader<'_, rollout::Owned>,
) -> Result<Vec<RolloutSummary>, Error> {
    check_length(source.len())?;
    let read = |entry: rollout::Reader<'_>| {
        Ok(RolloutSummary {
            order: OrderId(entry.get_order()),
            service: read_text(entry.get_service()?)?,
            target: read_text(entry.get_target()?)?,
            duration: from_ms(entry.get_duration_ms()),
            age: from_ms(entry.get_age_ms()),
            position: read_position(entry.get_era(), entry.get_revision()),
            plan: read_plan(&entry)?,
            is_stopped: entry.get_stopped(),
        })
    };
    source.iter().map(read).collect()
}

fn read_plan(entry: &rollout::Reader<'_>) -> Result<TrafficPlan, Error> {
    let phase = RolloutPhase::ALL.get(usize::from(entry.get_phase())).copied();
    let phase = phase.ok_or_else(|| Error::failed("unknown phase of a roll-out".into()))?;
    let share = entry.get_share();
    if !(0.0..=1.0).contains(&share) {
        return Err(Error::failed("share of a roll-out is no fraction".into()));
    }
    Ok(TrafficPlan { phase, share, step: entry.get_step() })
}

/// Encodes counts into a list of the same length.
pub fn write_counts(
    mut target: struct_list::Builder<'_, rollout_counts::Owned>,
    counts: &RolloutCounts,
) {
    for (index, (route, counts)) in counts.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_order(route.order.0);
        entry.set_route(&*route.route);
        entry.set_target_good(counts.target.good);
        entry.set_target_bad(counts.target.bad);
        entry.set_former_good(counts.former.good);
        entry.set_former_bad(counts.former.bad);
    }
}

/// Decodes a list of counts.
///
/// # Errors
///
/// Fails if the list is too long or the name of a route is malformed.
pub fn read_counts(
    source: struct_list::Reader<'_, rollout_counts::Owned>,
) -> Result<RolloutCounts, Error> {
    check_length(source.len())?;
    let read = |entry: rollout_counts::Reader<'_>| {
        let route = read_text(entry.get_route()?)?;
        let route = RolloutRoute { order: OrderId(entry.get_order()), route };
        let version = |good, bad| VersionCounts { good, bad };
        let counts = RouteCounts {
            target: version(entry.get_target_good(), entry.get_target_bad()),
            former: version(entry.get_former_good(), entry.get_former_bad()),
        };
        Ok((route, counts))
    };
    source.iter().map(read).collect()
}
