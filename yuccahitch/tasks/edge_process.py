"""Assembles and runs the tasks of one instance on the users' platform."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import sys
import uuid

import eliot

from yuccahitch import clock, events
from yuccahitch import settings as config_file
from yuccahitch.controllers.instance import edge
from yuccahitch.platform import names, publication, upstreams
from yuccahitch.platform import store as store_dialect
from yuccahitch.tasks import (
    core,
    core_messages,
    front_server,
    intake,
    log_pipe,
    mailbox,
    metrics,
    peer_client,
    peer_server,
    process_lifecycle,
    pulse_socket,
    replica_client,
    runner,
    store_client,
)

IDLE_SWEEP_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 2.0
# The platform provides no fleet secret; only its network restricts access to the peer port.
NO_SECRET = ""


class EdgeProcess:
    """Creates, starts and stops all tasks of one instance.

    Args:
        settings: Settings of the instance.
        path: File of the settings, read again on SIGHUP.

    Attributes:
        instance: Id of the instance: its configured name and a random suffix for this run.
        time: Clock of the instance.
        log: Log of the instance.
        metrics_collector: Collects the metrics of the instance.
        caller_intake: Grants memory and connections to callers.
        core: Task that runs the decision logic.
        store: Client of the store.
        peers: Client that sends messages and forwards requests to other instances.
        replicas: Client that sends requests to upstreams.
        pulses: Socket for state reports (pulses).
        front: HTTP servers for callers, directory, readiness and metrics.
        peer_server: gRPC server for other instances.
        children: Owns the running tasks.
        pipe: Writes the log lines to a file or to standard output.
    """

    __slots__ = (
        "settings",
        "path",
        "instance",
        "time",
        "log",
        "metrics_collector",
        "caller_intake",
        "core",
        "store",
        "peers",
        "replicas",
        "pulses",
        "front",
        "peer_server",
        "children",
        "pipe",
    )

    def __init__(self, settings: config_file.EdgeSettings, path: pathlib.Path) -> None:
        self.settings = settings
        self.path = path
        self.time = clock.SystemClock()
        self.instance = f"{settings.instance.name}~{uuid.uuid4().hex[:8]}"
        self.log = events.Log(self.instance, events.HybridClock(self.time.wall))
        self.metrics_collector = metrics.Metrics()
        self.caller_intake = intake.Intake(
            intake.limits_of_machine(settings.callers.memory_mb, settings.callers.max_descriptors),
            time=self.time,
            log=self.log,
        )
        self.children = mailbox.ChildTasks()
        self.pipe = log_pipe.LogPipe(_open_log(settings.log.file))
        eliot.add_destinations(self.pipe)
        rng = random.Random(uuid.uuid4().int)
        self.replicas = replica_client.ReplicaClient(
            time=self.time,
            log=self.log,
            on_notice=lambda notice: self.core.inbox.post(notice),
        )
        self._make_core(rng)
        mailboxes = runner.Mailboxes(
            core=self.core.inbox,
            upstreams=self.replicas.inbox,
            peers=self.peers.inbox,
            stream_capacity=settings.callers.answer_buffer_chunks,
            write_timeout_s=settings.callers.write_timeout_s,
        )
        self.front = front_server.FrontServer(
            settings,
            core_inbox=self.core.inbox,
            edge_state=self.core.decisions,
            mailboxes=mailboxes,
            metrics_registry=self.metrics_collector,
            caller_intake=self.caller_intake,
            time=self.time,
        )
        self._register_gauges()
        self.peer_server = peer_server.PeerServer(
            secret=NO_SECRET,
            core_inbox=self.core.inbox,
            mailboxes=mailboxes,
            caller_intake=self.caller_intake,
            time=self.time,
            log=self.log,
        )

    async def run(self) -> None:
        """Serve until the graceful shutdown is complete."""
        self.pipe.start(asyncio.get_running_loop())
        host, _, port = self.settings.instance.peers.rpartition(":")
        await self.pulses.start(host, int(port))
        components = (self.core, self.store, self.peers, self.replicas, self.pulses)
        tasks = [self.children.start(component.run()) for component in components]
        await self.peer_server.start(host, int(port))
        await self.front.start()
        instance_settings = self.settings.instance
        self.log.write(
            events.Event.STARTED, region=instance_settings.region, zone=instance_settings.zone
        )
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload_settings)
        idle_sweep = (
            IDLE_SWEEP_INTERVAL_S,
            lambda: self.replicas.close_idle_connections(self.time.now()),
        )
        await process_lifecycle.run_until_drained(
            self.core, tasks, children=self.children, periodic_calls=[idle_sweep]
        )
        await self.front.stop()
        await self.peer_server.stop()
        self.log.write(events.Event.STOPPED)
        try:
            await process_lifecycle.stop_tasks(tasks, children=self.children)
        finally:
            self.pipe.close()

    def _make_core(self, rng: random.Random) -> None:
        """Create the decision logic, the clients, the pulse socket and the core task."""
        decisions = edge.Edge(
            self.settings,
            instance=self.instance,
            keyspace=names,
            read_publication=publication.decode,
            read_upstream=upstreams.decode,
            rng=rng,
            now=self.time.now(),
        )
        store_settings = self.settings.store
        self.store = store_client.StoreClient(
            f"http://{store_settings.address}",
            prefix="",
            timeout_s=store_settings.timeout_s,
            time=self.time,
            log=self.log,
            on_reply=lambda reply: self.core.inbox.post(reply),
            on_watch_event=lambda event: self.core.inbox.post(
                core_messages.WatchEventReceived(event)
            ),
            rng=rng,
            dialect=store_dialect,
            poll_wait_s=decisions.times.watch_s,
        )
        self.peers = peer_client.PeerClient(
            self.instance,
            secret=NO_SECRET,
            timeout_s=PEER_TIMEOUT_S,
            time=self.time,
            log=self.log,
            on_reply=lambda reply: self.core.inbox.post(reply),
        )
        self.pulses = pulse_socket.PulseSocket(core_inbox=mailbox.Mailbox(), log=self.log)
        self.core = core.Core(
            decisions,
            time=self.time,
            log=self.log,
            metrics_collector=self.metrics_collector,
            store=self.store.inbox,
            peers=self.peers.inbox,
            upstreams=self.replicas.inbox,
            pulse_socket=self.pulses.inbox,
        )
        self.pulses.core_inbox = self.core.inbox

    def _register_gauges(self) -> None:
        """Register the counters and gauges that are read when metrics are collected."""
        state, now = self.core.decisions, self.time.now
        self.metrics_collector.counters["events"] = self.log.series
        self.metrics_collector.counters["callers_closed"] = self.caller_intake.closed
        self.metrics_collector.counters["store_calls"] = self.store.call_counts
        self.metrics_collector.gauges.update(
            held_bytes=self.caller_intake.budget.held_by_way,
            caller_connections=lambda: len(self.caller_intake.connections),
            open_requests=lambda: len(state.in_flight.contexts),
            admission_levels=lambda: state.admission.levels_by_service(),
            waiting_messages=lambda: len(self.core.inbox),
            live_instances=lambda: len(state.members.reachable_members(now())) + 1,
            pulse_age_seconds=lambda: state.members.oldest_pulse_age(now()),
            config_version=lambda: state.config.current.version if state.config.ready() else 0,
            store_age_seconds=lambda: now() - state.feed.updated_at,
            store_watched=lambda: float(state.feed.watching),
            feed_reports_dropped=lambda: state.relay.dropped,
            upstreams=lambda: state.registry.count_by_state(now()),
            streams_recorded_elsewhere=lambda: state.recorded.size,
            take_ups_waiting=lambda: len(state.take_ups.waits),
            upstreams_with_rate=lambda: state.registry.limits.count_in_force(),
            upstream_connections_opened=lambda: self.replicas.opened_total,
            log_lines_dropped=lambda: self.pipe.dropped_total,
        )

    def _reload_settings(self) -> None:
        """Read the settings file again and apply the address of the store.

        A file with mistakes changes nothing; the mistakes are logged.
        """
        try:
            new_settings = config_file.load_edge(self.path)
        except config_file.SettingsError as error:
            self.log.write(events.Event.RELOADED, mistakes=str(error))
            return
        self.store.url = f"http://{new_settings.store.address}"
        self.log.write(events.Event.RELOADED, store=new_settings.store.address)


def serve(settings: config_file.EdgeSettings, path: pathlib.Path) -> None:
    """Run one instance on the users' platform until SIGTERM or SIGINT shuts it down gracefully."""
    asyncio.run(EdgeProcess(settings, path).run())


def _open_log(log_path: str) -> int:
    """Open the log file for appending and return its file descriptor.

    Args:
        log_path: Path of the file, or ``-`` for standard output.
    """
    if log_path == "-":
        return sys.stdout.fileno()
    return os.open(log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
