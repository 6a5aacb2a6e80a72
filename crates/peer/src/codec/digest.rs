//! Encoding of digests.

use super::{CodecError, list_len, text};
use crate::message::{
    Digest, InstanceDigest, InstanceStatus, ServerFigure, SiteFigure, Suspicion, SyncPosition,
};
use crate::peer_capnp::{
    self, digest, instance_digest, server_figure, site_figure, suspicion, sync_position,
};
use std::sync::Arc;

pub(super) fn write(mut builder: digest::Builder<'_>, digest: &Digest) {
    builder.set_configuration_number(digest.configuration_number);
    let mut instances = builder.reborrow().init_instances(list_len(&digest.instances));
    for (position, instance) in (0..).zip(&digest.instances) {
        write_instance(instances.reborrow().get(position), instance);
    }
    let mut zones = builder.reborrow().init_unreachable_zones(list_len(&digest.unreachable_zones));
    for (position, zone) in (0..).zip(&digest.unreachable_zones) {
        zones.set(position, &**zone);
    }
    if let Some(sync) = &digest.sync {
        let mut builder = builder.reborrow().init_sync();
        builder.set_availability_zone(&*sync.availability_zone);
        builder.set_after(sync.after.as_deref().unwrap_or_default());
    }
    if let Some(more_after) = &digest.more_after {
        builder.set_more_after(&**more_after);
    }
    let mut suspicions = builder.init_suspicions(list_len(&digest.suspicions));
    for (position, suspicion) in (0..).zip(&digest.suspicions) {
        let mut builder = suspicions.reborrow().get(position);
        builder.set_name(&*suspicion.name);
        builder.set_generation(suspicion.generation);
        builder.set_sequence(suspicion.sequence);
    }
}

pub(super) fn read(reader: digest::Reader<'_>) -> Result<Digest, CodecError> {
    Ok(Digest {
        instances: reader.get_instances()?.iter().map(read_instance).collect::<Result<_, _>>()?,
        configuration_number: reader.get_configuration_number(),
        suspicions: reader
            .get_suspicions()?
            .iter()
            .map(read_suspicion)
            .collect::<Result<_, _>>()?,
        unreachable_zones: reader
            .get_unreachable_zones()?
            .iter()
            .map(|zone| text::name(zone?))
            .collect::<Result<_, _>>()?,
        sync: if reader.has_sync() { Some(read_sync(reader.get_sync()?)?) } else { None },
        more_after: optional(reader.get_more_after()?)?,
    })
}

fn read_sync(reader: sync_position::Reader<'_>) -> Result<SyncPosition, CodecError> {
    Ok(SyncPosition {
        availability_zone: text::name(reader.get_availability_zone()?)?,
        after: optional(reader.get_after()?)?,
    })
}

/// Reads an optional name; the empty text stands for an absent one.
fn optional(text: capnp::text::Reader<'_>) -> Result<Option<Arc<str>>, CodecError> {
    Ok(Some(text::name(text)?).filter(|name| !name.is_empty()))
}

fn read_suspicion(reader: suspicion::Reader<'_>) -> Result<Suspicion, CodecError> {
    Ok(Suspicion {
        name: text::name(reader.get_name()?)?,
        generation: reader.get_generation(),
        sequence: reader.get_sequence(),
    })
}

fn write_instance(mut builder: instance_digest::Builder<'_>, instance: &InstanceDigest) {
    builder.set_name(&*instance.name);
    builder.set_availability_zone(&*instance.availability_zone);
    builder.set_incarnation(instance.incarnation);
    builder.set_generation(instance.generation);
    builder.set_sequence(instance.sequence);
    builder.set_age_ms(instance.age_ms);
    text::write_address(builder.reborrow().init_caller_address(), instance.caller_address);
    text::write_address(builder.reborrow().init_peer_address(), instance.peer_address);
    builder.set_status(status_to_schema(instance.status));
    builder.set_configuration_number(instance.configuration_number);
    let mut successor_of = builder.reborrow().init_successor_of(list_len(&instance.successor_of));
    for (position, incarnation) in (0..).zip(&instance.successor_of) {
        successor_of.set(position, *incarnation);
    }
    let mut sites = builder.reborrow().init_sites(list_len(&instance.sites));
    for (position, site) in (0..).zip(&instance.sites) {
        write_site(sites.reborrow().get(position), site);
    }
    let mut servers = builder.init_servers(list_len(&instance.servers));
    for (position, server) in (0..).zip(&instance.servers) {
        let mut builder = servers.reborrow().get(position);
        text::write_address(builder.reborrow().init_address(), server.address);
        builder.set_leaving(server.leaving);
    }
}

fn read_instance(reader: instance_digest::Reader<'_>) -> Result<InstanceDigest, CodecError> {
    Ok(InstanceDigest {
        name: text::name(reader.get_name()?)?,
        availability_zone: text::name(reader.get_availability_zone()?)?,
        incarnation: reader.get_incarnation(),
        generation: reader.get_generation(),
        sequence: reader.get_sequence(),
        age_ms: reader.get_age_ms(),
        caller_address: text::read_address(reader.get_caller_address()?)?,
        peer_address: text::read_address(reader.get_peer_address()?)?,
        status: status_from_schema(reader.get_status()),
        configuration_number: reader.get_configuration_number(),
        successor_of: reader.get_successor_of()?.iter().collect(),
        sites: reader.get_sites()?.iter().map(read_site).collect::<Result<_, _>>()?,
        servers: reader.get_servers()?.iter().map(read_server).collect::<Result<_, _>>()?,
    })
}

fn status_to_schema(status: InstanceStatus) -> peer_capnp::InstanceStatus {
    match status {
        InstanceStatus::Joining => peer_capnp::InstanceStatus::Joining,
        InstanceStatus::Serving => peer_capnp::InstanceStatus::Serving,
        InstanceStatus::Draining => peer_capnp::InstanceStatus::Draining,
    }
}

/// Reads a status; one added by a later release counts as joining, so that the instance gets no
/// callers.
fn status_from_schema(
    status: Result<peer_capnp::InstanceStatus, capnp::NotInSchema>,
) -> InstanceStatus {
    match status {
        Ok(peer_capnp::InstanceStatus::Serving) => InstanceStatus::Serving,
        Ok(peer_capnp::InstanceStatus::Draining) => InstanceStatus::Draining,
        Ok(peer_capnp::InstanceStatus::Joining) | Err(_) => InstanceStatus::Joining,
    }
}

fn write_site(mut builder: site_figure::Builder<'_>, site: &SiteFigure) {
    builder.set_service(&*site.service);
    builder.set_availability_zone(&*site.availability_zone);
    builder.set_in_flight(site.in_flight);
    builder.set_granted_slots(site.granted_slots);
    builder.set_latency_us(site.latency_us);
    builder.set_failed_per_mille(site.failed_per_mille);
}

fn read_site(reader: site_figure::Reader<'_>) -> Result<SiteFigure, CodecError> {
    Ok(SiteFigure {
        service: text::name(reader.get_service()?)?,
        availability_zone: text::name(reader.get_availability_zone()?)?,
        in_flight: reader.get_in_flight(),
        granted_slots: reader.get_granted_slots(),
        latency_us: reader.get_latency_us(),
        failed_per_mille: reader.get_failed_per_mille(),
    })
}

fn read_server(reader: server_figure::Reader<'_>) -> Result<ServerFigure, CodecError> {
    Ok(ServerFigure {
        address: text::read_address(reader.get_address()?)?,
        leaving: reader.get_leaving(),
    })
}
