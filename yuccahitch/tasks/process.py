"""Assembles the tasks of one instance and runs them until its graceful shutdown is complete."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import uuid

import eliot

from yuccahitch import clock, events
from yuccahitch import settings as config_file
from yuccahitch.controllers.instance import gateway
from yuccahitch.controllers.rates import electorate, session
from yuccahitch.messages import store
from yuccahitch.tasks import (
    caller_server,
    core,
    core_messages,
    intake,
    mailbox,
    metrics,
    operator_server,
    peer_client,
    peer_server,
    pollers,
    process_lifecycle,
    runner,
    store_client,
    upstream_client,
)


class Process:
    """Creates, starts and stops all tasks of one instance.

    Args:
        settings: Settings of the instance.

    Attributes:
        instance: Id of the instance: its configured name and a random suffix for this run.
        time: Clock of the instance.
        log: Log of the instance.
        metrics_collector: Collects the metrics of the instance.
        caller_intake: Grants memory and connections to callers.
        core: Task that runs the decision logic.
        store: Client of the store.
        peers: Client that sends messages and forwards requests to other instances.
        upstreams: Client that sends requests and orders to upstreams.
        pollers: Task that polls load reports, the instance list and the client directory.
        callers: HTTP server for callers.
        operators: HTTP server for operators.
        peer_server: gRPC server for other instances.
        children: Owns the running tasks.
    """

    __slots__ = (
        "settings",
        "instance",
        "time",
        "log",
        "metrics_collector",
        "caller_intake",
        "core",
        "store",
        "peers",
        "upstreams",
        "pollers",
        "callers",
        "operators",
        "peer_server",
        "children",
    )

    def __init__(self, settings: config_file.Settings) -> None:
        self.settings = settings
        self.time = clock.SystemClock()
        self.instance = f"{settings.instance.name}~{uuid.uuid4().hex[:8]}"
        self.log = events.Log(self.instance, events.HybridClock(self.time.wall))
        self.metrics_collector = metrics.Metrics()
        self.caller_intake = intake.Intake(
            intake.limits_of_machine(settings.callers.memory_mb, settings.callers.max_descriptors),
            time=self.time,
            log=self.log,
        )
        # Requests in the queue hold no connection to an upstream.
        self.caller_intake.max_runs += settings.policy.queue_requests
        self.children = mailbox.ChildTasks()
        rng = random.Random(os.urandom(16))
        self.upstreams = upstream_client.UpstreamClient(
            time=self.time,
            log=self.log,
            on_reply=lambda reply: self.core.inbox.post(reply),
            on_notice=lambda notice: self.core.inbox.post(notice),
        )
        self.core = self._make_core(rng)
        mailboxes = runner.Mailboxes(
            core=self.core.inbox,
            upstreams=self.upstreams.inbox,
            peers=self.peers.inbox,
            stream_capacity=settings.callers.answer_buffer_chunks,
            write_timeout_s=settings.callers.write_timeout_s,
        )
        self._make_servers(mailboxes)

    async def run(self) -> None:
        """Serve until the graceful shutdown is complete."""
        tasks = [
            self.children.start(component.run())
            for component in (self.core, self.store, self.peers, self.upstreams, self.pollers)
        ]
        instance_settings = self.settings.instance
        await self.peer_server.start(instance_settings.listen, instance_settings.peer_port)
        await self.operators.start()
        await self.callers.start()
        self.log.write(
            events.Event.STARTED, region=instance_settings.region, zone=instance_settings.zone
        )
        await process_lifecycle.run_until_drained(self.core, tasks, children=self.children)
        await self._deregister()
        await self.callers.stop()
        await self.operators.stop()
        await self.peer_server.stop()
        self.log.write(events.Event.STOPPED)
        await process_lifecycle.stop_tasks(tasks, children=self.children)

    def _make_core(self, rng: random.Random) -> core.Core:
        """Create the decision logic, the clients of store and peers, and the core task."""
        decisions = gateway.Gateway(
            self.settings,
            instance=self.instance,
            time=self.time,
            rng=rng,
            new_id=lambda: uuid.uuid4().hex,
        )
        self.store = store_client.StoreClient(
            self.settings.store.url,
            prefix=self.settings.store.prefix,
            timeout_s=self.settings.store.timeout_s,
            time=self.time,
            log=self.log,
            on_reply=lambda reply: self.core.inbox.post(reply),
            on_watch_event=lambda event: self.core.inbox.post(
                core_messages.WatchEventReceived(event)
            ),
            rng=rng,
        )
        self.peers = peer_client.PeerClient(
            self.instance,
            secret=self.settings.peers.secret,
            timeout_s=self.settings.peers.timeout_s,
            time=self.time,
            log=self.log,
            on_reply=lambda reply: self.core.inbox.post(reply),
        )
        return core.Core(
            decisions,
            time=self.time,
            log=self.log,
            metrics_collector=self.metrics_collector,
            store=self.store.inbox,
            peers=self.peers.inbox,
            upstreams=self.upstreams.inbox,
        )

    def _make_servers(self, mailboxes: runner.Mailboxes) -> None:
        """Create the servers and the poller, which all post to the core's mailbox."""
        inbox, decisions = self.core.inbox, self.core.decisions
        self.pollers = pollers.Pollers(self.settings, core_inbox=inbox)
        self.callers = caller_server.CallerServer(
            self.settings,
            core_inbox=inbox,
            mailboxes=mailboxes,
            metrics_registry=self.metrics_collector,
            caller_intake=self.caller_intake,
            time=self.time,
        )
        changes = operator_server.observe_entries(decisions.config.listeners)
        self.operators = operator_server.OperatorServer(
            self.settings, core_inbox=inbox, entry_changes=changes
        )
        self.peer_server = peer_server.PeerServer(
            secret=self.settings.peers.secret,
            core_inbox=inbox,
            mailboxes=mailboxes,
            caller_intake=self.caller_intake,
            time=self.time,
            log=self.log,
        )
        self._register_gauges(decisions)

    def _register_gauges(self, decisions: gateway.Gateway) -> None:
        """Register the counters and gauges that are read when metrics are collected."""
        now = self.time.now
        self.metrics_collector.counters["events"] = self.log.series
        self.metrics_collector.counters["callers_closed"] = self.caller_intake.closed
        self.metrics_collector.counters["store_calls"] = self.store.call_counts
        self.metrics_collector.gauges.update(
            held_bytes=self.caller_intake.budget.held_by_way,
            caller_connections=lambda: len(self.caller_intake.connections),
            open_requests=lambda: len(decisions.in_flight.contexts),
            waiting_requests=lambda: decisions.queue.size,
            live_instances=lambda: len(decisions.members.members) + 1,
            config_age_seconds=lambda: min(1e9, decisions.config.age(now())),
            resources=lambda: len(decisions.config.catalog.entries),
            may_spend=lambda: float(decisions.store_session.may_spend(now())),
            peer_messages=lambda: self.peers.messages_total,
            peer_bytes=lambda: self.peers.bytes_total,
            retries=lambda: decisions.retry_budget.retries_taken,
        )

    async def _deregister(self) -> None:
        """Record in the store that this instance left, so that its slices are free at once.

        Does nothing without a lease, or if the hand-over was not complete.
        """
        store_session = self.core.decisions.store_session
        if not store_session.lease or not self.core.decisions.shutdown.hand_over_complete:
            return
        departure_ttl_s = self.settings.limits.horizon_s
        grant_reply = (await self.store.execute_call(store.GrantLease(departure_ttl_s))).reply
        lease = grant_reply.lease if type(grant_reply) is store.LeaseReply else 0
        commit = store.Commit(
            conditions=[],
            changes=[
                store.Put(session.LEFT_PREFIX + self.instance, b"graceful", lease=lease),
                store.Delete(electorate.PREFIX + self.instance),
            ],
        )
        await self.store.execute_call(commit)
        await self.store.execute_call(store.RevokeLease(store_session.lease))


def serve(settings: config_file.Settings) -> None:
    """Run one instance until SIGTERM or SIGINT shuts it down gracefully."""
    log_file = sys.stdout if settings.log.file == "-" else open(settings.log.file, "a", buffering=1)
    eliot.to_file(log_file)
    asyncio.run(Process(settings).run())
