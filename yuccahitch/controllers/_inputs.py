"""Brings replies of the store and messages of peers to the controllers they are for."""

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


class Parts(typing.Protocol):
    """The controllers that inputs are for."""

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
def on_store(purpose: typing.Any, parts: Parts, reply: commands.StoreReply, now: float) -> None:
    owner = _OWNERS[type(purpose)]
    getattr(parts, owner).on_store(purpose, reply.reply, reply.sent_at, now)


_OWNERS = {
    **dict.fromkeys(
        (
            configuration.ReadAll,
            configuration.CheckHead,
            configuration.Repair,
            configuration.ReadFirst,
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
    **dict.fromkeys((orders.Lock, orders.ReadFence, orders.WriteFence, orders.Close), "orders"),
}


@on_store.register(operations.ClaimsLease)
@on_store.register(operations.Claiming)
@on_store.register(operations.Settling)
def _(purpose: typing.Any, parts: Parts, reply: commands.StoreReply, now: float) -> None:
    wall = parts.time.wall()
    parts.operations.on_store(purpose, reply.reply, reply.sent_at, now, wall)


@functools.singledispatch
def on_peer(body: peers.Body, parts: Parts, now: float) -> peers.Body:
    """Answer what needs no answer of its own, such as a reply that came unasked."""
    return peers.Ack()


@on_peer.register(peers.Gossip)
def _(body: peers.Gossip, parts: Parts, now: float) -> peers.Body:
    return parts.gossip.answer(body, now)


@on_peer.register(peers.PullEntries)
def _(body: peers.PullEntries, parts: Parts, now: float) -> peers.Body:
    return parts.config.pull(body)


@on_peer.register(peers.Entries)
def _(body: peers.Entries, parts: Parts, now: float) -> peers.Body:
    parts.config.receive(body, sender="", pulled=False, now=now)
    return peers.Ack()


@on_peer.register(peers.LoanRequest)
def _(body: peers.LoanRequest, parts: Parts, now: float) -> peers.Body:
    return parts.limits.lend(body, now)


@on_peer.register(peers.ReturnLoan)
def _(body: peers.ReturnLoan, parts: Parts, now: float) -> peers.Body:
    parts.limits.take_back(body, now)
    return peers.Ack()


@on_peer.register(peers.SlicesChanged)
def _(body: peers.SlicesChanged, parts: Parts, now: float) -> peers.Body:
    parts.slices.changed(body, now)
    return peers.Ack()


@on_peer.register(peers.AskVouch)
def _(body: peers.AskVouch, parts: Parts, now: float) -> peers.Body:
    return parts.access.vouch(now)


@on_peer.register(peers.AskAttest)
def _(body: peers.AskAttest, parts: Parts, now: float) -> peers.Body:
    return parts.access.attest(now)


@functools.singledispatch
def on_peer_reply(purpose: typing.Any, parts: Parts, reply: commands.PeerReply, now: float) -> None:
    """Messages that need no answer end here."""


@on_peer_reply.register(membership.HeartbeatSent)
def _(
    purpose: membership.HeartbeatSent,
    parts: Parts,
    reply: commands.PeerReply,
    now: float,
) -> None:
    if type(reply.body) is not peers.Gossip:
        return
    missed = parts.gossip.hear(reply.body, now)
    if missed:
        parts.gossip.tell_rows(reply.body.sender, missed, now)


@on_peer_reply.register(configuration.Pulled)
def _(purpose: configuration.Pulled, parts: Parts, reply: commands.PeerReply, now: float) -> None:
    if type(reply.body) is peers.Entries:
        parts.config.receive(reply.body, sender=purpose.instance, pulled=True, now=now)


@on_peer_reply.register(limits.LoanAsked)
def _(purpose: limits.LoanAsked, parts: Parts, reply: commands.PeerReply, now: float) -> None:
    loan = reply.body if type(reply.body) is peers.Loan else None
    parts.limits.loan_came(purpose, loan, reply.sent_at, now)


@on_peer_reply.register(session.VouchAsked)
def _(purpose: session.VouchAsked, parts: Parts, reply: commands.PeerReply, now: float) -> None:
    if type(reply.body) is peers.Vouch and reply.body.instance == purpose.instance:
        parts.access.vouch_came(reply.body, asked_at=reply.sent_at, now=now)


@on_peer_reply.register(reclaim.AttestAsked)
def _(purpose: reclaim.AttestAsked, parts: Parts, reply: commands.PeerReply, now: float) -> None:
    if type(reply.body) is peers.Attest:
        parts.reclaim.attest_came(purpose, reply.body, now)


@functools.singledispatch
def on_watch(event: typing.Any, parts: Parts, now: float) -> None:
    """Take in what the watch on the store saw."""
    raise TypeError(type(event))


@on_watch.register(store.KeysChanged)
def _(event: store.KeysChanged, parts: Parts, now: float) -> None:
    parts.config.changed(event, now)


@on_watch.register(store.WatchLost)
def _(event: store.WatchLost, parts: Parts, now: float) -> None:
    note = commands.LogEvent(events.Event.WATCH_BROKEN, detail=event.detail)
    parts.outbox.append(note)
    parts.config.watch_lost()
