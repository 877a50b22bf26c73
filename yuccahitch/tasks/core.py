"""The core task: runs the decision logic of the instance and executes its commands."""

from __future__ import annotations

import asyncio
import functools
import traceback
import typing

from yuccahitch import clock, events
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.instance import gateway, request_log
from yuccahitch.controllers.runs import orders
from yuccahitch.filters import request_context
from yuccahitch.messages import (
    commands,
    pulses,
    request_lifecycle,
    upstream_notices,
)
from yuccahitch.tasks import core_messages, mailbox, metrics

# An order is refused if it waits longer than an earlier order may take plus this time.
ORDER_SEND_MARGIN_S = 60.0


class Core:
    """Runs the decision logic of one instance, one message at a time.

    Args:
        decisions: The decision logic, a ``Gateway`` or an ``Edge``.
        time: Clock of the instance.
        log: Log of the instance.
        metrics_collector: Collects the metrics of the instance.
        store: Mailbox of the store client.
        peers: Mailbox of the peer client.
        upstreams: Mailbox of the upstream client.
        pulse_socket: Mailbox of the socket for state reports (pulses); None where pulses aren't
            used.

    Attributes:
        inbox: Mailbox of this task.
        pending_requests: Replies owed to the tasks of waiting requests, by request id.
        pending_operator_calls: Replies owed to calls of operators, by ticket.
        drained: Set when the graceful shutdown is complete.
    """

    __slots__ = (
        "decisions",
        "time",
        "log",
        "metrics_collector",
        "store",
        "peers",
        "upstreams",
        "pulse_socket",
        "inbox",
        "pending_requests",
        "pending_operator_calls",
        "drained",
    )

    def __init__(
        self,
        decisions: gateway.Gateway,
        *,
        time: clock.Clock,
        log: events.Log,
        metrics_collector: metrics.Metrics,
        store: mailbox.Mailbox,
        peers: mailbox.Mailbox,
        upstreams: mailbox.Mailbox,
        pulse_socket: mailbox.Mailbox | None = None,
    ) -> None:
        self.decisions = decisions
        self.time = time
        self.log = log
        self.metrics_collector = metrics_collector
        self.store = store
        self.peers = peers
        self.upstreams = upstreams
        self.pulse_socket = pulse_socket
        self.inbox = mailbox.Mailbox()
        self.pending_requests: dict[str, mailbox.PendingReply] = {}
        self.pending_operator_calls: dict[str, mailbox.PendingReply] = {}
        self.drained = asyncio.Event()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self.inbox.get()
            try:
                self.handle(message)
            except Exception as error:  # a message that fails must not stop the instance
                self.log.write(
                    events.Event.FAULT,
                    error=repr(error),
                    where=_traceback_summary(error),
                    task="core",
                )
                self.metrics_collector.count("faults")

    def handle(self, message: typing.Any) -> None:
        """Handle one message and execute the commands that follow from it."""
        now = self.time.now()
        if type(message) is mailbox.PendingReply:
            handle_with_reply(message.message, message, self, now)
        else:
            handle_without_reply(message, self, now)
        for command in self.decisions.take_commands(now):
            execute_command(command, self)

    def reply_or_wait(
        self, pending_reply: mailbox.PendingReply, request_id: str, outcome: typing.Any
    ) -> None:
        """Reply to the task that runs a request, or store the pending reply if the request waits.

        Args:
            pending_reply: The reply that the task waits for.
            request_id: Id of the request.
            outcome: The next action for the request, or None if it waits.
        """
        if outcome is None:
            self.pending_requests[request_id] = pending_reply
        else:
            pending_reply.resolve(outcome)


@functools.singledispatch
def handle_with_reply(
    message: typing.Any, pending_reply: mailbox.PendingReply, core: Core, now: float
) -> None:
    """Handle a message whose sender waits for a reply, which may be sent later."""
    raise TypeError(type(message))


@handle_with_reply.register
def _(
    message: request_lifecycle.Begin, pending_reply: mailbox.PendingReply, core: Core, now: float
) -> None:
    core.metrics_collector.count("requests")
    request = message.request
    core.log.write(
        events.Event.REQUEST_BEGAN,
        request=request.id,
        target=request.target,
        forwarded_by=message.hop.sender if message.hop is not None else "",
    )
    outcome = core.decisions.begin(request, message.hop, now)
    core.reply_or_wait(pending_reply, request.id, outcome)


@handle_with_reply.register
def _(
    message: request_lifecycle.Resume, pending_reply: mailbox.PendingReply, core: Core, now: float
) -> None:
    outcome = core.decisions.resume(message.request_id, message.part, now)
    core.reply_or_wait(pending_reply, message.request_id, outcome)


@handle_with_reply.register
def _(
    message: request_lifecycle.Expire, pending_reply: mailbox.PendingReply, core: Core, now: float
) -> None:
    core.pending_requests.pop(message.request_id, None)
    pending_reply.resolve(core.decisions.expire(message.request_id, now))


@handle_with_reply.register
def _(
    message: core_messages.PeerMessage, pending_reply: mailbox.PendingReply, core: Core, now: float
) -> None:
    pending_reply.resolve(core.decisions.on_peer(message.body, message.sender, now))


@handle_with_reply.register
def _(
    message: core_messages.Query, pending_reply: mailbox.PendingReply, core: Core, now: float
) -> None:
    try:
        pending_reply.resolve(message.read(core.decisions))
    except Exception as error:  # raised in the task that sent the query
        pending_reply.future.set_exception(error)


@handle_with_reply.register
def _(
    message: configuration.Write, pending_reply: mailbox.PendingReply, core: Core, now: float
) -> None:
    core.pending_operator_calls[message.ticket] = pending_reply
    core.decisions.config.begin_write(message)


@handle_with_reply.register
def _(
    message: core_messages.ReleaseInstance,
    pending_reply: mailbox.PendingReply,
    core: Core,
    now: float,
) -> None:
    core.pending_operator_calls[message.ticket] = pending_reply
    core.decisions.reclaimer.release(message.instance, message.ticket)


@handle_with_reply.register
def _(message: orders.Order, pending_reply: mailbox.PendingReply, core: Core, now: float) -> None:
    core.pending_operator_calls[message.ticket] = pending_reply
    message.send_deadline = now + core.decisions.orders.max_duration_s + ORDER_SEND_MARGIN_S
    core.decisions.orders.begin_order(message, now)


@functools.singledispatch
def handle_without_reply(message: typing.Any, core: Core, now: float) -> None:
    """Handle a message whose sender expects no reply."""
    raise TypeError(type(message))


@handle_without_reply.register
def _(message: core_messages.Tick, core: Core, now: float) -> None:
    was_ready = core.decisions.members.own.ready
    core.decisions.tick(now)
    if core.decisions.members.own.ready and not was_ready:
        core.log.write(events.Event.READY)
    if core.decisions.closed:
        core.drained.set()


@handle_without_reply.register
def _(message: core_messages.ReportReceived, core: Core, now: float) -> None:
    core.decisions.on_report(message.report, now)


@handle_without_reply.register
def _(message: upstream_notices.UpstreamNotice, core: Core, now: float) -> None:
    core.decisions.on_upstream_notice(message, now)


@handle_without_reply.register
def _(message: core_messages.BeginDrain, core: Core, now: float) -> None:
    core.log.write(events.Event.DRAIN_BEGAN, open_requests=len(core.decisions.in_flight.contexts))
    core.decisions.begin_drain(now)


@handle_without_reply.register
def _(message: request_lifecycle.Received, core: Core, now: float) -> None:
    core.decisions.in_flight.record_received(message, now)


@handle_without_reply.register
def _(message: request_lifecycle.Finish, core: Core, now: float) -> None:
    context = core.decisions.finish(message, now)
    if context is None:
        return
    core.pending_requests.pop(message.request_id, None)
    _count_request_end(core, message, context, now)


@handle_without_reply.register
def _(message: commands.StoreReply, core: Core, now: float) -> None:
    core.decisions.on_store(message, now)


@handle_without_reply.register
def _(message: commands.PeerReply, core: Core, now: float) -> None:
    core.decisions.on_peer_reply(message, now)


@handle_without_reply.register
def _(message: commands.OrderReply, core: Core, now: float) -> None:
    core.decisions.orders.on_order_reply(message.order, message.error, now)


@handle_without_reply.register
def _(message: core_messages.WatchEventReceived, core: Core, now: float) -> None:
    core.decisions.on_watch(message.event, now)


@handle_without_reply.register
def _(message: core_messages.LoadReported, core: Core, now: float) -> None:
    core.decisions.upstream_states.record_report(message.load, now)


@handle_without_reply.register
def _(message: core_messages.EntriesUnreadable, core: Core, now: float) -> None:
    for detail in message.details:
        core.log.write(events.Event.ENTRY_UNREADABLE, key=message.source, detail=detail)


@handle_without_reply.register
def _(message: core_messages.SeedsDiscovered, core: Core, now: float) -> None:
    known_seeds = core.decisions.members.seeds
    own = core.decisions.members.own
    excluded_addresses = {*known_seeds, own.address, own.wan_address}
    known_seeds.extend(
        address for address in message.addresses if address not in excluded_addresses
    )


@handle_without_reply.register
def _(message: core_messages.ClientDirectoryRead, core: Core, now: float) -> None:
    core.decisions.config.merge_and_push(message.entries)


@functools.singledispatch
def execute_command(command: typing.Any, core: Core) -> None:
    """Execute a command of the decision logic, or post it to the task that executes it.

    The next action of a waiting request is sent to the task that runs the request.
    """
    raise TypeError(type(command))


@execute_command.register
def _(command: commands.StoreCall, core: Core) -> None:
    core.store.post(command)


@execute_command.register
def _(command: commands.WatchStore, core: Core) -> None:
    core.store.post(command)


@execute_command.register
def _(command: commands.SendOrder, core: Core) -> None:
    core.upstreams.post(command)


@execute_command.register
def _(command: pulses.SendDatagram, core: Core) -> None:
    core.pulse_socket.post(command)


@execute_command.register
def _(command: commands.PeerCall, core: Core) -> None:
    core.peers.post(command)


@execute_command.register
def _(command: commands.LogEvent, core: Core) -> None:
    core.log.write(command.event, **command.fields)


@execute_command.register
def _(command: commands.WakeRequest, core: Core) -> None:
    pending_reply = core.pending_operator_calls.pop(command.request_id, None)
    if pending_reply is not None:
        pending_reply.resolve(command.reply)


@execute_command.register
def _(command: request_lifecycle.NextAction, core: Core) -> None:
    pending_reply = core.pending_requests.pop(command.request_id, None)
    if pending_reply is not None:
        pending_reply.resolve(command)


def _count_request_end(
    core: Core,
    message: request_lifecycle.Finish,
    context: request_context.RequestContext,
    now: float,
) -> None:
    """Count a finished request in the metrics by its route, priority, outcome and error."""
    event = request_log.end_event_type(message, context)
    route = context.route.name if context.route is not None else ""
    rank = (
        ""
        if context.account is None or context.route is None
        else str(request_context.effective_priority(context))
    )
    reason = message.error.code.wire if message.error is not None else ""
    outcome = event.label.removeprefix("request-")
    core.metrics_collector.count("ends", route=route, rank=rank, outcome=outcome, reason=reason)
    core.metrics_collector.record_latency(
        "request", now - context.arrived_at, route=route, outcome=outcome
    )
    if message.first_byte_s is not None:
        core.metrics_collector.record_latency("first_byte", message.first_byte_s, route=route)
    core.metrics_collector.count("output_tokens", increment=message.usage.output)
    if message.error is not None:
        core.metrics_collector.count("refusals", code=reason)


def _traceback_summary(error: Exception) -> str:
    """Return function names and line numbers of the last six frames of a traceback."""
    frames = traceback.extract_tb(error.__traceback__)[-6:]
    return " < ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
