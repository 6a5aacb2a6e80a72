//! Encoding of the messages for grants and promises.

use super::{CodecError, list_len, text};
use crate::message::{
    GrantReply, GrantRequest, LinkAmount, PromiseReply, PromiseRequest, ReleaseRequest, SiteAmount,
};
use crate::peer_capnp::{
    grant_reply, grant_request, link_amount, promise_reply, promise_request, release_request,
    site_amount,
};
use capnp::struct_list;

pub(super) fn write_request(mut builder: grant_request::Builder<'_>, request: &GrantRequest) {
    builder.set_known_epoch(request.known_epoch);
    write_links(builder.reborrow().init_links(list_len(&request.links)), &request.links);
    write_sites(builder.reborrow().init_sites(list_len(&request.sites)), &request.sites);
    builder.set_number(request.number);
    builder.set_accepted_number(request.accepted_number);
    write_sites(builder.init_in_use(list_len(&request.in_use)), &request.in_use);
}

pub(super) fn read_request(reader: grant_request::Reader<'_>) -> Result<GrantRequest, CodecError> {
    Ok(GrantRequest {
        known_epoch: reader.get_known_epoch(),
        links: read_links(reader.get_links()?)?,
        sites: read_sites(reader.get_sites()?)?,
        number: reader.get_number(),
        accepted_number: reader.get_accepted_number(),
        in_use: read_sites(reader.get_in_use()?)?,
    })
}

pub(super) fn write_reply(mut builder: grant_reply::Builder<'_>, reply: &GrantReply) {
    builder.set_epoch(reply.epoch);
    builder.set_lasts_ms(reply.lasts_ms);
    write_links(builder.reborrow().init_links(list_len(&reply.links)), &reply.links);
    write_sites(builder.init_sites(list_len(&reply.sites)), &reply.sites);
}

pub(super) fn read_reply(reader: grant_reply::Reader<'_>) -> Result<GrantReply, CodecError> {
    Ok(GrantReply {
        epoch: reader.get_epoch(),
        lasts_ms: reader.get_lasts_ms(),
        links: read_links(reader.get_links()?)?,
        sites: read_sites(reader.get_sites()?)?,
    })
}

pub(super) fn write_release(mut builder: release_request::Builder<'_>, request: ReleaseRequest) {
    builder.set_epoch(request.epoch);
    builder.set_number(request.number);
}

pub(super) fn read_release(reader: release_request::Reader<'_>) -> ReleaseRequest {
    ReleaseRequest { epoch: reader.get_epoch(), number: reader.get_number() }
}

pub(super) fn write_promise(mut builder: promise_request::Builder<'_>, request: PromiseRequest) {
    builder.set_epoch(request.epoch);
    builder.set_lasts_ms(request.lasts_ms);
}

pub(super) fn read_promise(reader: promise_request::Reader<'_>) -> PromiseRequest {
    PromiseRequest { epoch: reader.get_epoch(), lasts_ms: reader.get_lasts_ms() }
}

pub(super) fn write_promise_reply(mut builder: promise_reply::Builder<'_>, reply: PromiseReply) {
    builder.set_promised(reply.promised);
    builder.set_known_epoch(reply.known_epoch);
}

pub(super) fn read_promise_reply(reader: promise_reply::Reader<'_>) -> PromiseReply {
    PromiseReply { promised: reader.get_promised(), known_epoch: reader.get_known_epoch() }
}

fn write_links(mut builder: struct_list::Builder<'_, link_amount::Owned>, links: &[LinkAmount]) {
    for (position, link) in (0..).zip(links) {
        let mut builder = builder.reborrow().get(position);
        builder.set_to(&*link.to);
        builder.set_requests_per_ks(link.requests_per_ks);
        builder.set_bytes_per_s(link.bytes_per_s);
    }
}

fn read_links(
    reader: struct_list::Reader<'_, link_amount::Owned>,
) -> Result<Vec<LinkAmount>, CodecError> {
    reader
        .iter()
        .map(|link| {
            Ok(LinkAmount {
                to: text::name(link.get_to()?)?,
                requests_per_ks: link.get_requests_per_ks(),
                bytes_per_s: link.get_bytes_per_s(),
            })
        })
        .collect()
}

fn write_sites(mut builder: struct_list::Builder<'_, site_amount::Owned>, sites: &[SiteAmount]) {
    for (position, site) in (0..).zip(sites) {
        let mut builder = builder.reborrow().get(position);
        builder.set_service(&*site.service);
        builder.set_availability_zone(&*site.availability_zone);
        builder.set_slots(site.slots);
    }
}

fn read_sites(
    reader: struct_list::Reader<'_, site_amount::Owned>,
) -> Result<Vec<SiteAmount>, CodecError> {
    reader
        .iter()
        .map(|site| {
            Ok(SiteAmount {
                service: text::name(site.get_service()?)?,
                availability_zone: text::name(site.get_availability_zone()?)?,
                slots: site.get_slots(),
            })
        })
        .collect()
}
