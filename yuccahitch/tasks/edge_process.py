"""Puts the tasks of one instance on the users' platform together and runs them."""

from __future__ import annotations

import asyncio
import math
import os
import pathlib
import random
import signal
import sys
import typing
import uuid

import eliot

from yuccahitch import clock, events
from yuccahitch import settings as config_file
from yuccahitch.controllers import edge
from yuccahitch.platform import names, publication, upstreams
from yuccahitch.platform import store as store_dialect
from yuccahitch.tasks import (
    core,
    front_server,
    life,
    log_pipe,
    mailbox,
    metrics,
    peer_client,
    peer_server,
    pulse_socket,
    replica_client,
    runner,
    store_client,
)

SWEEP_S = 1.0
PEER_TIMEOUT_S = 2.0
# The platform hands out no secret: its network alone keeps others from the peer port.
NO_SECRET = ""


class EdgeProcess:
    """All tasks of one instance.

    Args:
        settings: Its settings.
        path: The file that they came from, read again on SIGHUP.
    """

    __slots__ = (
        "settings",
        "path",
        "instance",
        "time",
        "log",
        "figures",
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
        self.figures = metrics.Metrics()
        self.children = mailbox.Children()
        self.pipe = log_pipe.LogPipe(_descriptor(settings.log.file))
        eliot.add_destinations(self.pipe)
        rng = random.Random(uuid.uuid4().int)
        self.replicas = replica_client.ReplicaClient(time=self.time, log=self.log)
        self._make_core(rng)
        mailboxes = runner.Mailboxes(
            core=self.core.inbox,
            upstreams=self.replicas.inbox,
            peers=self.peers.inbox,
            capacity=settings.callers.answer_buffer_chunks,
            write_timeout_s=settings.callers.write_timeout_s,
        )
        self.front = front_server.FrontServer(
            settings,
            core_inbox=self.core.inbox,
            edge_state=self.core.decisions,
            mailboxes=mailboxes,
            metrics_registry=self.figures,
            time=self.time,
        )
        self._show_gauges()
        self.peer_server = peer_server.PeerServer(
            secret=NO_SECRET,
            core_inbox=self.core.inbox,
            mailboxes=mailboxes,
            time=self.time,
            log=self.log,
        )

    async def run(self) -> None:
        """Serve until a graceful shutdown is done."""
        self.pipe.start(asyncio.get_running_loop())
        host, _, port = self.settings.instance.peers.rpartition(":")
        await self.pulses.start(host, int(port))
        parts = (self.core, self.store, self.peers, self.replicas, self.pulses)
        tasks = [self.children.start(part.run()) for part in parts]
        await self.peer_server.start(host, int(port))
        await self.front.start()
        place = self.settings.instance
        self.log.write(events.Event.STARTED, region=place.region, zone=place.zone)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload)
        sweeps = (SWEEP_S, lambda: self.replicas.close_idle_connections(self.time.now()))
        await life.until_drained(self.core, tasks, children=self.children, rhythms=[sweeps])
        await self.front.stop()
        await self.peer_server.stop()
        self.log.write(events.Event.STOPPED)
        try:
            await life.end(tasks, children=self.children)
        finally:
            self.pipe.close()

    def _make_core(self, rng: random.Random) -> None:
        decisions = edge.Edge(
            self.settings,
            instance=self.instance,
            keyspace=names,
            read_publication=publication.decode,
            read_upstream=upstreams.decode,
            rng=rng,
            now=self.time.now(),
        )
        options = self.settings.store
        self.store = store_client.StoreClient(
            f"http://{options.address}",
            prefix="",
            timeout_s=options.timeout_s,
            time=self.time,
            log=self.log,
            on_reply=lambda reply: self.core.inbox.post(reply),
            on_watch_event=lambda event: self.core.inbox.post(core.WatchHeard(event)),
            rng=rng,
            dialect=store_dialect,
            poll_wait_s=options.watch_s,
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
            figures=self.figures,
            store=self.store.inbox,
            peers=self.peers.inbox,
            upstreams=self.replicas.inbox,
            pulse_socket=self.pulses.inbox,
        )
        self.pulses.core_inbox = self.core.inbox

    def _show_gauges(self) -> None:
        state, now = self.core.decisions, self.time.now
        self.figures.counters["events"] = self.log.series
        self.figures.counters["store_calls"] = self.store.call_counts
        self.figures.gauges.update(
            open_requests=lambda: len(state.in_flight.contexts),
            waiting_messages=lambda: len(self.core.inbox),
            live_instances=lambda: len(state.members.reachable_members(now())) + 1,
            pulse_age_seconds=lambda: state.members.oldest_pulse_age(now()),
            config_version=lambda: state.config.current.version if state.config.ready() else 0,
            store_age_seconds=lambda: _age(now(), state.feed.updated_at.values()),
            upstreams=lambda: state.registry.count_by_state(now()),
            upstream_connections_opened=lambda: self.replicas.opened_total,
            log_lines_dropped=lambda: self.pipe.dropped_total,
        )

    def _reload(self) -> None:
        """Read the settings again; a file with mistakes changes nothing."""
        try:
            loaded = config_file.load_edge(self.path)
        except config_file.SettingsError as error:
            self.log.write(events.Event.RELOADED, mistakes=str(error))
            return
        self.store.url = f"http://{loaded.store.address}"
        self.log.write(events.Event.RELOADED, store=loaded.store.address)


def serve(settings: config_file.EdgeSettings, path: pathlib.Path) -> None:
    """Run one instance on the users' platform until it is told to stop."""
    asyncio.run(EdgeProcess(settings, path).run())


def _descriptor(place: str) -> int:
    """Return the descriptor of a file, or of standard output."""
    if place == "-":
        return sys.stdout.fileno()
    return os.open(place, os.O_WRONLY | os.O_CREAT | os.O_APPEND)


def _age(now: float, heard_at: typing.Iterable[float]) -> float:
    """Return the age of the oldest word, in seconds; infinity before the first one."""
    return now - min(heard_at, default=-math.inf)
