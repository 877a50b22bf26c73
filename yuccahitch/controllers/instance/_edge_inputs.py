"""Routes replies of the store, watch events and reports to the controllers of a platform."""

from __future__ import annotations

import functools
import typing

from yuccahitch import events
from yuccahitch.controllers.admission import urgency
from yuccahitch.controllers.members import fleet
from yuccahitch.controllers.runs import suspects
from yuccahitch.controllers.store_view import feed, relay
from yuccahitch.controllers.upstream_state import replicas
from yuccahitch.controllers.versions import served_versions, stream_origins
from yuccahitch.messages import commands, feeds, pulses, store


class Controllers(typing.Protocol):
    """The controllers of an instance that take these inputs; ``edge.Edge`` has them."""

    feed: feed.Feed
    relay: relay.StoreRelay
    members: fleet.Fleet
    registry: replicas.ReplicaRegistry
    versions: served_versions.ServedVersions
    origins: stream_origins.StreamOrigins
    admission: urgency.UrgencyAdmission
    suspects: suspects.Suspects
    outbox: list[typing.Any]


class LeaseRevocation:
    """Purpose of the call that revokes the lease of the instance."""

    __slots__ = ()


@functools.singledispatch
def on_store(
    purpose: typing.Any, controllers: Controllers, message: commands.StoreReply, now: float
) -> None:
    """Process a reply of the store to the call with this purpose."""
    raise TypeError(type(purpose))


@on_store.register
def _(
    purpose: feed.Listing, controllers: Controllers, message: commands.StoreReply, now: float
) -> None:
    controllers.feed.apply_page(
        purpose, message.reply, now, sent_at=message.sent_at, era=message.era
    )


@on_store.register
def _(
    purpose: fleet.LeaseGrant, controllers: Controllers, message: commands.StoreReply, now: float
) -> None:
    controllers.members.on_lease_grant(message.reply, now)


@on_store.register
def _(
    purpose: fleet.LeaseRenewal, controllers: Controllers, message: commands.StoreReply, now: float
) -> None:
    controllers.members.on_lease_renewal(message.reply, now)


@on_store.register
def _(
    purpose: fleet.EntryWrite, controllers: Controllers, message: commands.StoreReply, now: float
) -> None:
    controllers.members.on_entry_write(message.reply, now)


@on_store.register
def _(
    purpose: served_versions.VersionsWrite,
    controllers: Controllers,
    message: commands.StoreReply,
    now: float,
) -> None:
    controllers.versions.on_write(purpose, message, now)


@on_store.register
def _(
    purpose: stream_origins.RecordLease,
    controllers: Controllers,
    message: commands.StoreReply,
    now: float,
) -> None:
    controllers.origins.on_lease(message, now)


@on_store.register
def _(
    purpose: stream_origins.RecordWrite,
    controllers: Controllers,
    message: commands.StoreReply,
    now: float,
) -> None:
    controllers.origins.on_write(purpose, message, now)


@on_store.register
def _(
    purpose: LeaseRevocation, controllers: Controllers, message: commands.StoreReply, now: float
) -> None:
    if type(message.reply) is store.CallFailed:
        log_event = commands.LogEvent(events.Event.STORE_LOST, detail=message.reply.detail)
        controllers.outbox.append(log_event)


@functools.singledispatch
def on_report(report: typing.Any, controllers: Controllers, now: float) -> None:
    """Process a report of another instance."""
    raise TypeError(type(report))


@on_report.register
def _(report: pulses.Pulse, controllers: Controllers, now: float) -> None:
    controllers.members.record_report(report, now)
    controllers.admission.record_report(report, now)
    controllers.registry.limits.merge(report.limits, now)
    for incarnation in report.departures:
        controllers.registry.mark_leaving(incarnation, f"{report.instance} was told so", now)
    from_other_region = report.region != controllers.members.own.region
    # Of this region, all instances get each report; of another one, a single instance does.
    controllers.suspects.record_report(report.suspects, now, pass_on=from_other_region)


@on_report.register
def _(report: feeds.FeedReport, controllers: Controllers, now: float) -> None:
    controllers.relay.on_report(report, now)


@functools.singledispatch
def on_watch(event: typing.Any, controllers: Controllers, now: float) -> None:
    """Process an event of a watch on the store."""
    raise TypeError(type(event))


@on_watch.register
def _(event: store.KeysChanged, controllers: Controllers, now: float) -> None:
    controllers.relay.on_watched(event, now)


@on_watch.register
def _(event: store.WatchFailing, controllers: Controllers, now: float) -> None:
    controllers.feed.on_watch_failing()


@on_watch.register
def _(event: store.WatchLost, controllers: Controllers, now: float) -> None:
    controllers.feed.on_watch_lost(event, now)
