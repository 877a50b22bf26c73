"""Reads load reports of upstreams, the instance list and the client directory.

Each upstream is polled by one instance of its region, and list and directory by one instance of
each zone; what they hear is passed on by gossip.
"""

from __future__ import annotations

import asyncio
import typing

import aiohttp
import reactivex
from reactivex.scheduler import eventloop

from yuccahitch import records
from yuccahitch import settings as config_file
from yuccahitch.codecs import platform, upstreams
from yuccahitch.controllers import gateway, rendezvous
from yuccahitch.messages import peers
from yuccahitch.tasks import core, mailbox

FAULTS = (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError)


class Duty(records.Record):
    """What an instance is to poll.

    Attributes:
        upstreams: Names and addresses of the upstreams.
        platform: Whether it reads the instance list and the directory.
        names: Instances among which the upstreams were shared out.
        arrivals: Arrivals in the catalog at that time.
    """

    __slots__ = ("upstreams", "platform", "names", "arrivals")

    def __init__(
        self,
        upstreams: list[tuple[str, str]],
        *,
        platform: bool,
        names: frozenset[str] = frozenset(),
        arrivals: int = 0,
    ) -> None:
        self.upstreams = upstreams
        self.platform = platform
        self.names = names
        self.arrivals = arrivals


def duty_of(decisions: gateway.Gateway, last: Duty) -> Duty:
    """Return what an instance is to poll, as the live instances say.

    Upstreams are shared out again only when instances or resources have changed.
    """
    members, own = decisions.members, decisions.members.own
    names = frozenset([row.instance for row in members.alive(region=own.region)] + [own.instance])
    arrivals = decisions.config.catalog.arrival_count
    if (names, arrivals) == (last.names, last.arrivals):
        last.platform = decisions.config.watching
        return last
    mine = [
        (item.name, item.address)
        for replicas in decisions.config.catalog.upstreams_by_service.values()
        for item in replicas.values()
        if item.region == own.region
        and "load" in item.abilities
        and rendezvous.owner(item.name, names) == own.instance
    ]
    return Duty(mine, platform=decisions.config.watching, names=names, arrivals=arrivals)


class Pollers:
    """Owns the connections for polling.

    Args:
        settings: Settings of the instance.
        decisions: Mailbox of the core.
    """

    __slots__ = ("settings", "decisions", "children", "session", "duty", "ticks")

    def __init__(self, settings: config_file.Settings, *, decisions: mailbox.Mailbox) -> None:
        self.settings = settings
        self.decisions = decisions
        self.children = mailbox.Children()
        self.session: aiohttp.ClientSession | None = None
        self.duty = Duty([], platform=False)
        self.ticks = mailbox.Mailbox()

    async def run(self) -> None:
        """Poll until cancelled."""
        loop = asyncio.get_running_loop()
        period = min(self.settings.policy.load_poll_s, self.settings.platform.poll_s)
        clockwork = reactivex.interval(period, scheduler=eventloop.AsyncIOScheduler(loop))
        subscription = clockwork.subscribe(on_next=self.ticks.post)
        timeout = aiohttp.ClientTimeout(total=self.settings.store.timeout_s)
        rounds = max(1, round(self.settings.platform.poll_s / period))
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                self.session = session
                while True:
                    number = await self.ticks.get()
                    last = self.duty
                    self.duty = await self.decisions.ask(
                        core.Query(lambda gateway, last=last: duty_of(gateway, last))
                    )
                    self._start(number % rounds == 0)
        finally:
            subscription.dispose()
            await self.children.stop()

    def _start(self, with_platform: bool) -> None:
        for name, address in self.duty.upstreams:
            self.children.start(self._poll_load(name, address))
        if with_platform and self.duty.platform:
            self.children.start(self._poll_instances())
            self.children.start(self._poll_directory())

    async def _poll_load(self, name: str, address: str) -> None:
        data = await self._read(f"{address}/load")
        if data is None:
            return
        try:
            load = upstreams.decode_load_report(name, data)
        except FAULTS:
            return
        self.decisions.post(core.LoadHeard(load))

    async def _poll_instances(self) -> None:
        data = await self._read(self.settings.platform.instances_url + "/instances")
        if data is None:
            return
        try:
            listed = platform.instances_from_json(data)
        except FAULTS:
            return
        seeds = [item.address for item in listed if item.gateway and not item.leaving]
        self.decisions.post(core.SeedsHeard(seeds))
        for item in listed:
            if not item.gateway and item.leaving:
                self.decisions.post(core.LoadHeard(_leaving(item.name)))

    async def _poll_directory(self) -> None:
        data = await self._read(self.settings.platform.directory_url + "/clients")
        if data is None:
            return
        try:
            entries = platform.clients_from_json(data)
        except FAULTS:
            return
        self.decisions.post(core.ClientsHeard(entries))

    async def _read(self, url: str) -> typing.Any:
        try:
            async with self.session.get(url) as response:
                return await response.json() if response.status == 200 else None
        except FAULTS:
            return None


def _leaving(name: str) -> peers.LoadReport:
    return peers.LoadReport(upstream=name, running=0, waiting=0, sequence=0, leaving=True, age_ms=0)
