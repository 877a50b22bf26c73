"""Routes replies of the store, messages of peers and watch events to the controllers."""

from __future__ import annotations

import functools
import typing

from yuccahitch import clock, events
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.members import gossip, membership
from yuccahitch.controllers.rates import (
    electorate,
    limits,
    reclaim,
    session,
    slice_transfer,
    slices,
)
from yuccahitch.controllers.runs import operations, orders
from yuccahitch.messages import commands, peers, store


class Controllers(typing.Protocol):
    """The controllers of a gateway that process inputs."""

    time: clock.Clock
    config: configuration.Configuration
    store_session: session.Session
    rate_limiter: limits.RateLimiter
    slices: slices.Slices
    reclaimer: reclaim.SliceReclaimer
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
    **dict.fromkeys(
        (
            session.LeaseGrant,
            session.LeaseRenewal,
            session.SessionRegistration,
            electorate.ElectorateWrite,
        ),
        "store_session",
    ),
    **dict.fromkeys(
        (
            slices.RecordRead,
            slices.FullRead,
            slices.Creation,
            slice_transfer.TransferWrite,
            slice_transfer.TransferReadBack,
        ),
        "slices",
    ),
    **dict.fromkeys(
        (
            reclaim.StateRead,
            reclaim.HeldSlicesRead,
            reclaim.SliceTakeover,
            reclaim.ElectorateRemoval,
            reclaim.OperatorRelease,
        ),
        "reclaimer",
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


@on_peer.register(peers.LoanRequest)
def _(body: peers.LoanRequest, controllers: Controllers, now: float) -> peers.Body:
    return controllers.rate_limiter.lend(body, now)


@on_peer.register(peers.ReturnLoan)
def _(body: peers.ReturnLoan, controllers: Controllers, now: float) -> peers.Body:
    controllers.rate_limiter.accept_loan_return(body, now)
    return peers.Ack()


@on_peer.register(peers.SlicesChanged)
def _(body: peers.SlicesChanged, controllers: Controllers, now: float) -> peers.Body:
    controllers.slices.reread_changed(body, now)
    return peers.Ack()


@on_peer.register(peers.AskVouch)
def _(body: peers.AskVouch, controllers: Controllers, now: float) -> peers.Body:
    return controllers.store_session.vouch(now)


@on_peer.register(peers.AskAttest)
def _(body: peers.AskAttest, controllers: Controllers, now: float) -> peers.Body:
    return controllers.store_session.attest(now)


@functools.singledispatch
def on_peer_reply(
    purpose: typing.Any, controllers: Controllers, reply: commands.PeerReply, now: float
) -> None:
    """Process a peer's reply to a call; replies to calls without a purpose are dropped."""


@on_peer_reply.register(membership.Heartbeat)
def _(
    purpose: membership.Heartbeat,
    controllers: Controllers,
    reply: commands.PeerReply,
    now: float,
) -> None:
    if type(reply.body) is not peers.Gossip:
        return
    requested_infos = controllers.gossip.record_report(reply.body, now)
    if requested_infos:
        controllers.gossip.send_infos(reply.body.sender, requested_infos, now)


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


@on_peer_reply.register(limits.LoanRequest)
def _(
    purpose: limits.LoanRequest, controllers: Controllers, reply: commands.PeerReply, now: float
) -> None:
    loan = reply.body if type(reply.body) is peers.Loan else None
    controllers.rate_limiter.on_loan_reply(purpose, loan, reply.sent_at, now)


@on_peer_reply.register(session.VouchRequest)
def _(
    purpose: session.VouchRequest, controllers: Controllers, reply: commands.PeerReply, now: float
) -> None:
    if type(reply.body) is peers.Vouch and reply.body.instance == purpose.instance:
        controllers.store_session.record_vouch(reply.body, requested_at=reply.sent_at, now=now)


@on_peer_reply.register(reclaim.AttestRequest)
def _(
    purpose: reclaim.AttestRequest, controllers: Controllers, reply: commands.PeerReply, now: float
) -> None:
    if type(reply.body) is peers.Attest:
        controllers.reclaimer.record_attest(purpose, reply.body, now)


@functools.singledispatch
def on_watch(event: typing.Any, controllers: Controllers, now: float) -> None:
    """Process an event of the watch on the store."""
    raise TypeError(type(event))


@on_watch.register(store.KeysChanged)
def _(event: store.KeysChanged, controllers: Controllers, now: float) -> None:
    controllers.config.apply_change(event, now)


@on_watch.register(store.WatchLost)
def _(event: store.WatchLost, controllers: Controllers, now: float) -> None:
    log_event = commands.LogEvent(events.Event.WATCH_BROKEN, detail=event.detail)
    controllers.outbox.append(log_event)
    controllers.config.on_watch_lost()
