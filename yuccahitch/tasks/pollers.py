"""Polls load reports of upstreams, the instance list and the client directory.

One instance of its region polls each upstream, and one instance of each zone polls the list and the
directory; the results are spread by gossip. Where the reports of an upstream grow old, its poller
may have crashed, stand still or be cut off, and the next one in the ranking polls it too.
"""

from __future__ import annotations

import asyncio
import json
import typing

import aiohttp
import reactivex
from reactivex.scheduler import eventloop

from yuccahitch import records
from yuccahitch import settings as config_file
from yuccahitch.codecs import platform, upstreams
from yuccahitch.controllers.instance import gateway
from yuccahitch.controllers.members import rendezvous
from yuccahitch.messages import peers
from yuccahitch.tasks import bounded_body, core_messages, mailbox

# Exceptions of a failed or malformed response; the poll is skipped.
READ_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
    ArithmeticError,
    RecursionError,
)

# Largest load report that is read, in bytes: four numbers, read from many upstreams at a time.
MAX_REPORT_BYTES = 64 * 1024
# Largest instance list or client directory that is read, in bytes.
MAX_LIST_BYTES = 4 * 1024 * 1024
# Instances that may poll an upstream in place of its poller.
MAX_BACKUPS = 1
# Age of an upstream's report from which the first of them polls it, in seconds; each further one
# waits as long again.
BACKUP_AFTER_S = 2.5


class AssignedUpstream(records.Record):
    """An upstream that this instance polls.

    Attributes:
        name: Its name.
        address: Its base URL.
        rank: Place of this instance in the ranking for it: 0 polls it always, others in its place.
    """

    __slots__ = ("name", "address", "rank")

    def __init__(self, name: str, address: str, *, rank: int) -> None:
        self.name = name
        self.address = address
        self.rank = rank


class PollAssignment(records.Record):
    """The polls assigned to this instance.

    Attributes:
        upstreams: The upstreams to poll, always or in the place of others.
        polls_platform: Whether to poll the instance list and the client directory.
        live_instances: Ids of the instances that the upstreams of the region are assigned to.
        catalog_arrivals: Number of entries merged into the catalog when the upstreams were
            assigned.
    """

    __slots__ = ("upstreams", "polls_platform", "live_instances", "catalog_arrivals")

    def __init__(
        self,
        upstreams: list[AssignedUpstream],
        *,
        polls_platform: bool,
        live_instances: frozenset[str] = frozenset(),
        catalog_arrivals: int = 0,
    ) -> None:
        self.upstreams = upstreams
        self.polls_platform = polls_platform
        self.live_instances = live_instances
        self.catalog_arrivals = catalog_arrivals


def assign_polls(decisions: gateway.Gateway, previous: PollAssignment) -> PollAssignment:
    """Return the polls assigned to this instance by rendezvous hashing over the live instances.

    Upstreams are assigned again only when instances or resources have changed.

    Args:
        decisions: Decision logic of this instance.
        previous: The previous assignment, updated and returned if the upstreams stay the same.
    """
    members, own = decisions.members, decisions.members.own
    live_instances = frozenset(
        [info.instance for info in members.alive(region=own.region)] + [own.instance]
    )
    catalog_arrivals = decisions.config.catalog.arrival_count
    if (live_instances, catalog_arrivals) == (previous.live_instances, previous.catalog_arrivals):
        previous.polls_platform = decisions.config.watching
        return previous
    rankings = [
        (
            upstream_spec,
            rendezvous.ranked(upstream_spec.name, live_instances)[: MAX_BACKUPS + 1],
        )
        for replicas in decisions.config.catalog.upstreams_by_service.values()
        for upstream_spec in replicas.values()
        if upstream_spec.region == own.region and "load" in upstream_spec.abilities
    ]
    return PollAssignment(
        [
            AssignedUpstream(
                upstream_spec.name, upstream_spec.address, rank=ranking.index(own.instance)
            )
            for upstream_spec, ranking in rankings
            if own.instance in ranking
        ],
        polls_platform=decisions.config.watching,
        live_instances=live_instances,
        catalog_arrivals=catalog_arrivals,
    )


def due_upstreams(
    decisions: gateway.Gateway, assignment: PollAssignment, now: float
) -> list[AssignedUpstream]:
    """Return the assigned upstreams that this instance polls now.

    Args:
        decisions: Decision logic of this instance.
        assignment: Its polls.
        now: Monotonic seconds.
    """
    return [
        assigned
        for assigned in assignment.upstreams
        if decisions.upstream_states.report_age_s(assigned.name, now)
        >= assigned.rank * BACKUP_AFTER_S
    ]


def _read_polls(
    decisions: gateway.Gateway, previous: PollAssignment
) -> tuple[PollAssignment, list[AssignedUpstream]]:
    """Return the polls assigned to this instance, and the upstreams that it polls now."""
    assignment = assign_polls(decisions, previous)
    return assignment, due_upstreams(decisions, assignment, decisions.time.now())


class Pollers:
    """Polls upstreams and the platform, and posts the results to the core.

    Replies bear no id, so each poll has a connection of its own.

    Args:
        settings: Settings of the instance.
        core_inbox: Mailbox of the core.

    Attributes:
        children: Tasks of the polls in progress.
        session: HTTP session with a new connection for each poll, or None before ``run``.
        assignment: The polls assigned to this instance.
        ticks: Numbers of the timer ticks, each of which starts the polls that are due.
        unreadable: Entries that the last poll of each list could not read, by its name.
    """

    __slots__ = (
        "settings",
        "core_inbox",
        "children",
        "session",
        "assignment",
        "ticks",
        "unreadable",
    )

    def __init__(self, settings: config_file.Settings, *, core_inbox: mailbox.Mailbox) -> None:
        self.settings = settings
        self.core_inbox = core_inbox
        self.children = mailbox.ChildTasks()
        self.session: aiohttp.ClientSession | None = None
        self.assignment = PollAssignment([], polls_platform=False)
        self.ticks = mailbox.Mailbox()
        self.unreadable: dict[str, list[str]] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        loop = asyncio.get_running_loop()
        tick_interval_s = min(self.settings.policy.load_poll_s, self.settings.platform.poll_s)
        poll_timer = reactivex.interval(tick_interval_s, scheduler=eventloop.AsyncIOScheduler(loop))
        subscription = poll_timer.subscribe(on_next=self.ticks.post)
        timeout = aiohttp.ClientTimeout(total=self.settings.store.timeout_s)
        ticks_per_platform_poll = max(1, round(self.settings.platform.poll_s / tick_interval_s))
        try:
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True), timeout=timeout
            ) as session:
                self.session = session
                while True:
                    tick_number = await self.ticks.get()
                    previous = self.assignment
                    self.assignment, due = await self.core_inbox.ask(
                        core_messages.Query(
                            lambda gateway, previous=previous: _read_polls(gateway, previous)
                        )
                    )
                    self._start_polls(due, tick_number % ticks_per_platform_poll == 0)
        finally:
            subscription.dispose()
            await self.children.stop()

    def _start_polls(self, due: list[AssignedUpstream], include_platform: bool) -> None:
        """Start the polls of some upstreams, and those of the platform if they are due."""
        for assigned in due:
            self.children.start(self._poll_load(assigned.name, assigned.address))
        if include_platform and self.assignment.polls_platform:
            self.children.start(self._poll_instances())
            self.children.start(self._poll_directory())

    async def _poll_load(self, name: str, address: str) -> None:
        """Read the load report of an upstream and post it to the core."""
        body = await self._get_json(f"{address}/load", MAX_REPORT_BYTES)
        if body is None:
            return
        try:
            load = upstreams.decode_load_report(name, body)
        except READ_ERRORS:
            return
        self.core_inbox.post(core_messages.LoadReported(load))

    async def _poll_instances(self) -> None:
        """Read the instance list; post gateways as seeds and leaving upstreams as load reports."""
        body = await self._get_json(
            self.settings.platform.instances_url + "/instances", MAX_LIST_BYTES
        )
        if body is None:
            return
        try:
            listing = platform.instances_from_json(body)
        except READ_ERRORS:
            return
        self._report_unreadable("instance list", listing.unreadable)
        listed_instances = listing.entries
        seeds = [item.address for item in listed_instances if item.gateway and not item.leaving]
        self.core_inbox.post(core_messages.SeedsDiscovered(seeds))
        for item in listed_instances:
            if not item.gateway and item.leaving:
                self.core_inbox.post(core_messages.LoadReported(_leaving_report(item.name)))

    async def _poll_directory(self) -> None:
        """Read the client directory and post its entries to the core."""
        body = await self._get_json(
            self.settings.platform.directory_url + "/clients", MAX_LIST_BYTES
        )
        if body is None:
            return
        try:
            listing = platform.clients_from_json(body)
        except READ_ERRORS:
            return
        self._report_unreadable("client directory", listing.unreadable)
        self.core_inbox.post(core_messages.ClientDirectoryRead(listing.entries))

    def _report_unreadable(self, source: str, details: list[str]) -> None:
        """Post the entries of a list that can't be read, unless they were posted before."""
        if details and details != self.unreadable.get(source):
            self.core_inbox.post(core_messages.EntriesUnreadable(source, details))
        self.unreadable[source] = details

    async def _get_json(self, url: str, max_bytes: int) -> typing.Any:
        """Return the JSON of a limited size at a URL, or None if it can't be read."""
        try:
            async with self.session.get(url) as response:
                if response.status != 200:
                    return None
                return json.loads(await bounded_body.read(response, max_bytes))
        except READ_ERRORS:
            return None


def _leaving_report(name: str) -> peers.LoadReport:
    """Return a load report that marks an upstream as leaving."""
    return peers.LoadReport(upstream=name, running=0, waiting=0, sequence=0, leaving=True, age_ms=0)
