"""An instance of the own interface, a process that polls upstreams whose reports have no end."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import os
import pathlib
import sys
import typing

import aiohttp
from aiohttp import web

from standins import deployment, directory, instance_list, keyvalue
from tests import builders, forwarding_pair
from yuccahitch.codecs import resources

HOST = "127.0.0.1"
REGION = "muscat-a"
SERVICE = "ice-model"
STORE_PREFIX = "/yuccahitch/"
UPSTREAM_COUNT = 12
PIECE = b" " * 65536
# Size of the first part of a report that goes on slowly, below the limit of its reader.
SLOW_PART_BYTES = 4_000_000
SLOW_PERIOD_S = 0.05


class PollingInstance:
    """The instance, its store and its lists, and the server of the upstreams' reports.

    Args:
        folder: Folder that settings and log are written to.
        pace: How the reports go on: ``fast`` as they are read, or ``slowly`` after a large part.

    Attributes:
        process: The instance, or None before the start.
        session: HTTP client, or None before the start.
        ports: Ports of the stand-ins and of the instance, by name.
        app_runners: Runners of the stand-ins.
        polls: Number of reports that the instance has begun to read.
    """

    __slots__ = ("folder", "pace", "process", "session", "ports", "app_runners", "polls")

    def __init__(self, folder: pathlib.Path, pace: str) -> None:
        self.folder = folder
        self.pace = pace
        self.process: asyncio.subprocess.Process | None = None
        self.session: aiohttp.ClientSession | None = None
        self.ports: dict[str, int] = {}
        self.app_runners: list[web.AppRunner] = []
        self.polls = 0

    async def start(self) -> None:
        """Start the stand-ins and the instance; return once it is ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.session = aiohttp.ClientSession()
        store_app = keyvalue.application()
        reports_app = web.Application()
        reports_app.router.add_route("*", "/{path:.*}", self._report)
        for name, app in (
            ("store", store_app),
            ("instances", instance_list.application()),
            ("directory", directory.application()),
            ("reports", reports_app),
        ):
            await self._serve(name, app)
        self._write_resources(store_app["state"])
        path = self.folder / "polling-1.ini"
        path.write_text(_ini(self._sections()))
        with (self.folder / "polling-1.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "yuccahitch", "serve", str(path)),
                cwd=deployment.ROOT,
                env=os.environ | {"PYTHONPATH": str(deployment.ROOT)},
                stdout=log,
                stderr=log,
            )
        await deployment.wait_until(self._is_ready)

    async def close(self) -> None:
        """Stop everything."""
        if self.process is not None:
            self.process.kill()
            await self.process.wait()
        for app_runner in self.app_runners:
            await app_runner.cleanup()
        await self.session.close()

    async def ask(self) -> int:
        """Ask the instance whether it is ready; return the HTTP status."""
        url = f"http://{HOST}:{self.ports['callers']}/readyz"
        async with self.session.get(url) as response:
            return response.status

    async def _is_ready(self) -> bool:
        try:
            return await self.ask() == 200
        except aiohttp.ClientError:
            return False

    async def _report(self, request: web.Request) -> web.StreamResponse:
        """Send a report without an end until the instance closes."""
        self.polls += 1
        response = web.StreamResponse()
        await response.prepare(request)
        if self.pace == "slowly":
            await response.write(b" " * SLOW_PART_BYTES)
        with contextlib.suppress(ConnectionError):
            while True:
                await response.write(PIECE if self.pace == "fast" else b" ")
                await asyncio.sleep(0.0 if self.pace == "fast" else SLOW_PERIOD_S)
        return response

    async def _serve(self, name: str, app: web.Application) -> None:
        (self.ports[name],) = forwarding_pair.free_ports(1)
        app_runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await app_runner.setup()
        await web.TCPSite(app_runner, HOST, self.ports[name]).start()
        self.app_runners.append(app_runner)

    def _write_resources(self, state: keyvalue.KeyValue) -> None:
        """Write a service and its upstreams, all of which report their load."""
        upstreams = [
            builders.an_upstream(
                f"ice-{number}", region=REGION, address=self._url("reports"), abilities=("load",)
            )
            for number in range(UPSTREAM_COUNT)
        ]
        for spec in (builders.a_service(SERVICE), builders.a_route(SERVICE), *upstreams):
            item = builders.an_entry(spec)
            key = f"{STORE_PREFIX}config/{item.kind}/{item.name}".encode()
            value = base64.b64encode(resources.entry_to_bytes(item)).decode()
            state.revision += 1
            state.put({"key": base64.b64encode(key).decode(), "value": value}, state.revision)

    def _sections(self) -> dict[str, dict[str, typing.Any]]:
        names = ("callers", "operators", "peers")
        self.ports |= dict(zip(names, forwarding_pair.free_ports(len(names)), strict=True))
        return builders.raw_settings(
            instance={
                "name": "polling-1",
                "region": REGION,
                "zone": f"{REGION}1",
                "listen": HOST,
                "caller_port": str(self.ports["callers"]),
                "operator_port": str(self.ports["operators"]),
                "peer_port": str(self.ports["peers"]),
            },
            store={"url": self._url("store"), "prefix": STORE_PREFIX},
            platform={
                "directory_url": self._url("directory"),
                "instances_url": self._url("instances"),
            },
        )

    def _url(self, name: str) -> str:
        return f"http://{HOST}:{self.ports[name]}"


def _ini(sections: dict[str, dict[str, typing.Any]]) -> str:
    """Return sections as the text of a settings file."""
    return "\n".join(
        "\n".join([f"[{name}]", *(f"{option} = {value}" for option, value in options.items()), ""])
        for name, options in sections.items()
    )
