"""The core task: owns all decisions of the instance and passes on what they ask for."""

from __future__ import annotations

import asyncio
import functools
import traceback
import typing

from yuccahitch import clock, events, records
from yuccahitch.controllers import configuration, gateway, orders, request_log
from yuccahitch.filters import request_context
from yuccahitch.messages import commands, peers, pulses, request_lifecycle
from yuccahitch.tasks import mailbox, metrics

ORDER_WAIT_S = 60.0


class PulseHeard(records.Record):
    """A pulse came from another instance of the platform."""

    __slots__ = ("pulse",)

    def __init__(self, pulse: pulses.Pulse) -> None:
        self.pulse = pulse


class Tick(records.Record):
    """Time has passed."""

    __slots__ = ()


class PeerMessage(records.Record):
    """A peer sent a message; the reply is the answer."""

    __slots__ = ("body", "sender")

    def __init__(self, body: peers.Body, sender: str) -> None:
        self.body = body
        self.sender = sender


class LoadHeard(records.Record):
    """A load report came from an upstream or the instance list."""

    __slots__ = ("load",)

    def __init__(self, load: peers.LoadReport) -> None:
        self.load = load


class SeedsHeard(records.Record):
    """The instance list named instances."""

    __slots__ = ("addresses",)

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses


class ClientsHeard(records.Record):
    """The client directory was read."""

    __slots__ = ("entries",)

    def __init__(self, entries: list[typing.Any]) -> None:
        self.entries = entries


class WatchHeard(records.Record):
    """The watch on the store saw a change or broke."""

    __slots__ = ("event",)

    def __init__(self, event: typing.Any) -> None:
        self.event = event


class Query(records.Record):
    """A question to the decisions, answered at once; it must not change anything."""

    __slots__ = ("read",)

    def __init__(self, read: typing.Callable[[gateway.Gateway], typing.Any]) -> None:
        self.read = read


class Release(records.Record):
    """An operator states that an instance is dead; the reply says whether that was recorded."""

    __slots__ = ("instance", "ticket")

    def __init__(self, instance: str, ticket: str) -> None:
        self.instance = instance
        self.ticket = ticket


class BeginDrain(records.Record):
    """Begin the graceful shutdown."""

    __slots__ = ()


class Core:
    """Runs the decisions of one instance, one message at a time.

    Args:
        decisions: The controllers and chains.
        time: The clock.
        log: Writes events.
        figures: Collects metrics.
        store: Mailbox of the store client.
        peers: Mailbox of the peer client.
        upstreams: Mailbox of the upstream client.
        pulse_socket: Mailbox of the socket for pulses, on the users' platform.
    """

    __slots__ = (
        "decisions",
        "time",
        "log",
        "figures",
        "store",
        "peers",
        "upstreams",
        "pulse_socket",
        "inbox",
        "waiting",
        "tickets",
        "drained",
    )

    def __init__(
        self,
        decisions: gateway.Gateway,
        *,
        time: clock.Clock,
        log: events.Log,
        figures: metrics.Metrics,
        store: mailbox.Mailbox,
        peers: mailbox.Mailbox,
        upstreams: mailbox.Mailbox,
        pulse_socket: mailbox.Mailbox | None = None,
    ) -> None:
        self.decisions = decisions
        self.time = time
        self.log = log
        self.figures = figures
        self.store = store
        self.peers = peers
        self.upstreams = upstreams
        self.pulse_socket = pulse_socket
        self.inbox = mailbox.Mailbox()
        self.waiting: dict[str, mailbox.Ask] = {}
        self.tickets: dict[str, mailbox.Ask] = {}
        self.drained = asyncio.Event()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self.inbox.get()
            try:
                self.handle(message)
            except Exception as error:  # one faulty message must not end the instance
                self.log.write(
                    events.Event.FAULT, error=repr(error), where=_where(error), task="core"
                )
                self.figures.count("faults")

    def handle(self, message: typing.Any) -> None:
        """Handle one message and pass on what the decisions ask for."""
        now = self.time.now()
        if type(message) is mailbox.Ask:
            asked(message.message, message, self, now)
        else:
            told(message, self, now)
        for item in self.decisions.take_commands(now):
            pass_on(item, self)

    def settle(self, ask: mailbox.Ask, request_id: str, outcome: typing.Any) -> None:
        """Answer a task that runs a request, or keep it waiting."""
        if outcome is None:
            self.waiting[request_id] = ask
        else:
            ask.answer(outcome)


@functools.singledispatch
def asked(message: typing.Any, ask: mailbox.Ask, core: Core, now: float) -> None:
    """Answer a message whose sender waits."""
    raise TypeError(type(message))


@asked.register
def _(message: request_lifecycle.Begin, ask: mailbox.Ask, core: Core, now: float) -> None:
    core.figures.count("requests")
    request = message.request
    core.log.write(
        events.Event.REQUEST_BEGAN,
        request=request.id,
        target=request.target,
        forwarded_by=message.hop.sender if message.hop is not None else "",
    )
    outcome = core.decisions.begin(request, message.hop, now)
    core.settle(ask, request.id, outcome)


@asked.register
def _(message: request_lifecycle.Resume, ask: mailbox.Ask, core: Core, now: float) -> None:
    outcome = core.decisions.resume(message.request_id, message.part, now)
    core.settle(ask, message.request_id, outcome)


@asked.register
def _(message: request_lifecycle.Expire, ask: mailbox.Ask, core: Core, now: float) -> None:
    core.waiting.pop(message.request_id, None)
    ask.answer(core.decisions.expire(message.request_id, now))


@asked.register
def _(message: PeerMessage, ask: mailbox.Ask, core: Core, now: float) -> None:
    ask.answer(core.decisions.on_peer(message.body, message.sender, now))


@asked.register
def _(message: Query, ask: mailbox.Ask, core: Core, now: float) -> None:
    try:
        ask.answer(message.read(core.decisions))
    except Exception as error:  # the asking task is to see it
        ask.reply.set_exception(error)


@asked.register
def _(message: configuration.Write, ask: mailbox.Ask, core: Core, now: float) -> None:
    core.tickets[message.ticket] = ask
    core.decisions.config.begin_write(message)


@asked.register
def _(message: Release, ask: mailbox.Ask, core: Core, now: float) -> None:
    core.tickets[message.ticket] = ask
    core.decisions.reclaimer.release(message.instance, message.ticket)


@asked.register
def _(message: orders.Order, ask: mailbox.Ask, core: Core, now: float) -> None:
    core.tickets[message.ticket] = ask
    message.send_deadline = now + core.decisions.orders.max_duration_s + ORDER_WAIT_S
    core.decisions.orders.begin_order(message, now)


@functools.singledispatch
def told(message: typing.Any, core: Core, now: float) -> None:
    """Take in a message that nobody waits for."""
    raise TypeError(type(message))


@told.register
def _(message: Tick, core: Core, now: float) -> None:
    was_ready = core.decisions.members.own.ready
    core.decisions.tick(now)
    if core.decisions.members.own.ready and not was_ready:
        core.log.write(events.Event.READY)
    if core.decisions.closed:
        core.drained.set()


@told.register
def _(message: PulseHeard, core: Core, now: float) -> None:
    core.decisions.on_pulse(message.pulse, now)


@told.register
def _(message: BeginDrain, core: Core, now: float) -> None:
    core.log.write(events.Event.DRAIN_BEGAN, open_requests=len(core.decisions.in_flight.contexts))
    core.decisions.begin_drain(now)


@told.register
def _(message: request_lifecycle.Finish, core: Core, now: float) -> None:
    core.waiting.pop(message.request_id, None)
    context = core.decisions.finish(message, now)
    if context is None:
        return
    _count(core, message, context, now)


@told.register
def _(message: commands.StoreReply, core: Core, now: float) -> None:
    core.decisions.on_store(message, now)


@told.register
def _(message: commands.PeerReply, core: Core, now: float) -> None:
    core.decisions.on_peer_reply(message, now)


@told.register
def _(message: commands.OrderReply, core: Core, now: float) -> None:
    core.decisions.orders.on_order_reply(message.order, message.error, now)


@told.register
def _(message: WatchHeard, core: Core, now: float) -> None:
    core.decisions.on_watch(message.event, now)


@told.register
def _(message: LoadHeard, core: Core, now: float) -> None:
    core.decisions.upstream_states.record_report(message.load, now)


@told.register
def _(message: SeedsHeard, core: Core, now: float) -> None:
    known = core.decisions.members.seeds
    own = core.decisions.members.own
    taken = {*known, own.address, own.wan_address}
    known.extend(address for address in message.addresses if address not in taken)


@told.register
def _(message: ClientsHeard, core: Core, now: float) -> None:
    core.decisions.config.merge_and_push(message.entries)


@functools.singledispatch
def pass_on(item: typing.Any, core: Core) -> None:
    """Give what the decisions ask for to the task that does it."""
    raise TypeError(type(item))


@pass_on.register
def _(item: commands.StoreCall, core: Core) -> None:
    core.store.post(item)


@pass_on.register
def _(item: commands.WatchStore, core: Core) -> None:
    core.store.post(item)


@pass_on.register
def _(item: commands.SendOrder, core: Core) -> None:
    core.upstreams.post(item)


@pass_on.register
def _(item: pulses.SendPulse, core: Core) -> None:
    core.pulse_socket.post(item)


@pass_on.register
def _(item: commands.PeerCall, core: Core) -> None:
    core.peers.post(item)


@pass_on.register
def _(item: commands.LogEvent, core: Core) -> None:
    core.log.write(item.event, **item.fields)


@pass_on.register
def _(item: commands.WakeRequest, core: Core) -> None:
    ask = core.tickets.pop(item.request_id, None)
    if ask is not None:
        ask.answer(item.reply)


@pass_on.register
def _(item: request_lifecycle.NextAction, core: Core) -> None:
    ask = core.waiting.pop(item.request_id, None)
    if ask is not None:
        ask.answer(item)


def _count(
    core: Core,
    message: request_lifecycle.Finish,
    context: request_context.RequestContext,
    now: float,
) -> None:
    event = request_log.end_event_type(message, context)
    route = context.route.name if context.route is not None else ""
    rank = (
        ""
        if context.account is None or context.route is None
        else str(request_context.effective_priority(context))
    )
    reason = message.error.code.wire if message.error is not None else ""
    outcome = event.label.removeprefix("request-")
    core.figures.count("ends", route=route, rank=rank, outcome=outcome, reason=reason)
    core.figures.record("request", now - context.arrived_at, route=route, outcome=outcome)
    if message.first_byte_s is not None:
        core.figures.record("first_byte", message.first_byte_s, route=route)
    core.figures.count("output_tokens", by=message.usage.output)
    if message.error is not None:
        core.figures.count("refusals", code=reason)


def _where(error: Exception) -> str:
    """Return the places in the code that an error passed through, the innermost last."""
    frames = traceback.extract_tb(error.__traceback__)[-6:]
    return " < ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
