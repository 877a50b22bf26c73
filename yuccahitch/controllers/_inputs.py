"""Routes replies of the store, messages of peers and watch events to the controllers."""

from __future__ import annotations

import functools
import typing

from yuccahitch import clock, events
from yuccahitch.controllers import (
    configuration,
    gossip,
    limits,
    membership,
    operations,
    orders,
    reclaim,
    session,
    slices,
)
from yuccahitch.messages import commands, peers, store


class Controllers(typing.Protocol):
    """The controllers of a gateway that process inputs."""

    time: clock.Clock
    config: configuration.Configuration
    access: session.Session
    limits: limits.Limits
    slices: slices.Slices
    reclaim: reclaim.Reclaim
    operations: operations.Operations
    gossip: gossip.Gossip
    outbox: list[typing.Any]


@functools.singledispatch
def on_store(
    purpose: typing.Any, controllers: Controllers, reply: commands.StoreReply, now: float
) -> None:
    """Pass a reply of the store to the controller that made the call."""
    controller_name = _CONTROLLER_BY_PURPOSE[type(purpose)]
    getattr(controllers, controller_name).on_store(purpose, reply.reply, reply.sent_at, now)


# Attribute name of the controller that makes the calls of each purpose.
_CONTROLLER_BY_PURPOSE = {
    **dict.fromkeys(
        (
            configuration.FullRead,
            configuration.HeadCheck,
            configuration.Repair,
            configuration.CurrentEntryRead,
            configuration.Write,
        ),
        "config",
    ),
    **dict.fromkeys((session.Grant, session.Renew, session.Register, session.Pin), "access"),
    **dict.fromkeys(
        (slices.ReadOne, slices.ReadAll, slices.Create, slices.WriteTransfer, slices.ReadTransfer),
        "slices",
    ),
    **dict.fromkeys(
        (reclaim.Look, reclaim.FindSlices, reclaim.TakeOver, reclaim.Forget, reclaim.Release),
        "reclaim",
    ),
    **dict.fromkeys(
        (orders.LockAcquisition, orders.FenceRead, orders.FenceWrite, orders.LockRelease), "orders"
    ),
}


@on_store.register(operations.ClaimLeaseGrant)
@on_store.register(operations.ClaimBatch)
@on_store.register(operations.SettlementBatch)
def _(
    purpose: typing.Any, controllers: Controllers, reply: commands.StoreReply, now: float
) -> None:
    wall = controllers.time.wall()
    controllers.operations.on_store(purpose, reply.reply, reply.sent_at, now, wall)


@functools.singledispatch
def on_peer(body: peers.Body, controllers: Controllers, now: float) -> peers.Body:
    """Process a peer's message and return the answer; an Ack for stray replies and the like."""
    return peers.Ack()


@on_peer.register(peers.Gossip)
def _(body: peers.Gossip, controllers: Controllers, now: float) -> peers.Body:
    return controllers.gossip.answer(body, now)


@on_peer.register(peers.PullEntries)
def _(body: peers.PullEntries, controllers: Controllers, now: float) -> peers.Body:
    return controllers.config.answer_pull(body)


@on_peer.register(peers.Entries)
def _(body: peers.Entries, controllers: Controllers, now: float) -> peers.Body:
    controllers.config.receive_entries(body, sender="", pulled=False, now=now)
    return peers.Ack()


@on_peer.register(peers.Borrow)
def _(body: peers.Borrow, controllers: Controllers, now: float) -> peers.Body:
    return controllers.limits.lend(body, now)


@on_peer.register(peers.ReturnLoan)
def _(body: peers.ReturnLoan, controllers: Controllers, now: float) -> peers.Body:
    controllers.limits.take_back(body, now)
    return peers.Ack()


@on_peer.register(peers.SlicesChanged)
def _(body: peers.SlicesChanged, controllers: Controllers, now: float) -> peers.Body:
    controllers.slices.changed(body, now)
    return peers.Ack()


@on_peer.register(peers.AskVouch)
def _(body: peers.AskVouch, controllers: Controllers, now: float) -> peers.Body:
    return controllers.access.vouch(now)


@on_peer.register(peers.AskAttest)
def _(body: peers.AskAttest, controllers: Controllers, now: float) -> peers.Body:
    return controllers.access.attest(now)


@functools.singledispatch
def on_peer_reply(
    purpose: typing.Any, controllers: Controllers, reply: commands.PeerReply, now: float
) -> None:
    """Process a peer's reply to a call; replies to calls without a purpose are dropped."""


@on_peer_reply.register(membership.HeartbeatSent)
def _(
    purpose: membership.HeartbeatSent,
    controllers: Controllers,
    reply: commands.PeerReply,
    now: float,
) -> None:
    if type(reply.body) is not peers.Gossip:
        return
    requested_infos = controllers.gossip.hear(reply.body, now)
    if requested_infos:
        controllers.gossip.tell_rows(reply.body.sender, requested_infos, now)


@on_peer_reply.register(configuration.EntriesPull)
def _(
    purpose: configuration.EntriesPull,
    controllers: Controllers,
    reply: commands.PeerReply,
    now: float,
) -> None:
    if type(reply.body) is peers.Entries:
        controllers.config.receive_entries(
            reply.body, sender=purpose.instance, pulled=True, now=now
        )


@on_peer_reply.register(limits.LoanAsked)
def _(
    purpose: limits.LoanAsked, controllers: Controllers, reply: commands.PeerReply, now: float
) -> None:
    loan = reply.body if type(reply.body) is peers.Loan else None
    controllers.limits.loan_came(purpose, loan, reply.sent_at, now)


@on_peer_reply.register(session.VouchAsked)
def _(
    purpose: session.VouchAsked, controllers: Controllers, reply: commands.PeerReply, now: float
) -> None:
    if type(reply.body) is peers.Vouch and reply.body.instance == purpose.instance:
        controllers.access.vouch_came(reply.body, asked_at=reply.sent_at, now=now)


@on_peer_reply.register(reclaim.AttestAsked)
def _(
    purpose: reclaim.AttestAsked, controllers: Controllers, reply: commands.PeerReply, now: float
) -> None:
    if type(reply.body) is peers.Attest:
        controllers.reclaim.attest_came(purpose, reply.body, now)


@functools.singledispatch
def on_watch(event: typing.Any, controllers: Controllers, now: float) -> None:
    """Process an event of the watch on the store."""
    raise TypeError(type(event))


@on_watch.register(store.Changed)
def _(event: store.Changed, controllers: Controllers, now: float) -> None:
    controllers.config.apply_change(event, now)


@on_watch.register(store.WatchLost)
def _(event: store.WatchLost, controllers: Controllers, now: float) -> None:
    log_event = commands.Note(events.Event.WATCH_BROKEN, detail=event.detail)
    controllers.outbox.append(log_event)
    controllers.config.on_watch_lost()
