"""Instances of the own interface with stand-ins, in this process and on free ports."""

from __future__ import annotations

import asyncio
import base64
import signal

import aiohttp
from aiohttp import web

from standins import deployment, directory, engine, instance_list, keyvalue
from tests import builders, forwarding_pair
from yuccahitch.codecs import resources
from yuccahitch.tasks import process

HOST = "127.0.0.1"
# Region of each instance and of each engine.
INSTANCES = {"cen-a-1": "cen-a", "cen-a-2": "cen-a", "nte-a-1": "nte-a"}
ENGINES = {
    "pintor-lm-2": "cen-a",
    "pintor-lm-5": "cen-a",
    "pintor-lm-3": "nte-a",
    "pintor-lm-6": "nte-a",
}
ACCOUNT = "centro"
TOKENS = 1_000_000.0
STORE_PREFIX = "/yuccahitch/"
READY_LIMIT_S = 20.0
SETTLE_S = 2.0


class OwnSite:
    """The instances, engines and platform stand-ins.

    Attributes:
        session: HTTP client, or None before the start.
        ports: Port of each stand-in and of each instance for callers, by name.
        processes: The instances.
        tasks: The tasks that run them.
        app_runners: Runners of the stand-ins.
    """

    __slots__ = ("session", "ports", "processes", "tasks", "app_runners")

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None
        self.ports: dict[str, int] = {}
        self.processes: dict[str, process.Process] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.app_runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Start everything; return once each instance answers a chat."""
        self.session = aiohttp.ClientSession()
        store_app = keyvalue.application()
        await self._serve("store", store_app)
        await self._serve("instances", instance_list.application())
        await self._serve("directory", directory.application())
        for name in ENGINES:
            await self._serve(name, engine.application(name=name))
        self._write_resources(store_app["state"])
        peer_ports = dict(zip(INSTANCES, forwarding_pair.free_ports(len(INSTANCES)), strict=True))
        for name in INSTANCES:
            self._start_instance(name, peer_ports)
        for name in INSTANCES:
            await deployment.wait_until(lambda name=name: self._is_ready(name), READY_LIMIT_S)
        await asyncio.sleep(SETTLE_S)

    async def close(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for running in self.processes.values():
            await running.callers.stop()
            await running.operators.stop()
            await running.peer_server.stop()
            await running.children.stop()
        for app_runner in self.app_runners:
            await app_runner.cleanup()
        await self.session.close()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().remove_signal_handler(signal_number)

    def url(self, name: str) -> str:
        """Return the base URL of an instance for callers, or of a stand-in."""
        return f"http://{HOST}:{self.ports[name]}"

    def standin_urls(self, kind: str) -> dict[str, str]:
        """Return the base URLs of the engines by name."""
        return {name: self.url(name) for name in ENGINES}

    async def set_faults(self, url: str, **switches: object) -> None:
        """Set fault switches of a stand-in; none at all resets them."""
        async with self.session.post(url + "/faults", json=switches) as response:
            assert response.status == 200, await response.text()

    async def get_json(self, url: str) -> object:
        """Return the JSON at a URL."""
        async with self.session.get(url) as response:
            return await response.json()

    async def _serve(self, name: str, app: web.Application) -> None:
        (self.ports[name],) = forwarding_pair.free_ports(1)
        app_runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await app_runner.setup()
        await web.TCPSite(app_runner, HOST, self.ports[name]).start()
        self.app_runners.append(app_runner)

    def _write_resources(self, state: keyvalue.KeyValue) -> None:
        engines = [
            builders.an_upstream(
                name,
                service="pintor-lm",
                region=region,
                address=self.url(name),
                abilities=("load", "echo", "priority"),
                slots=8,
            )
            for name, region in ENGINES.items()
        ]
        specs = [
            builders.an_account(ACCOUNT),
            builders.a_key(f"example-key-{ACCOUNT}", ACCOUNT),
            builders.a_rate(ACCOUNT, TOKENS, TOKENS),
            builders.a_service("pintor-lm"),
            builders.a_route("pintor-lm"),
            *engines,
        ]
        for spec in specs:
            item = builders.an_entry(spec)
            key = f"{STORE_PREFIX}config/{item.kind}/{item.name}".encode()
            value = base64.b64encode(resources.entry_to_bytes(item)).decode()
            state.revision += 1
            state.put({"key": base64.b64encode(key).decode(), "value": value}, state.revision)

    def _start_instance(self, name: str, peer_ports: dict[str, int]) -> None:
        caller_port, operator_port = forwarding_pair.free_ports(2)
        self.ports[name] = caller_port
        times = dict(builders.SHORT_TIMES)
        seeds = ", ".join(f"{HOST}:{port}" for other, port in peer_ports.items() if other != name)
        settings = builders.settings(
            instance={
                "name": name,
                "region": INSTANCES[name],
                "zone": f"{INSTANCES[name]}1",
                "listen": HOST,
                "caller_port": str(caller_port),
                "operator_port": str(operator_port),
                "peer_port": str(peer_ports[name]),
            },
            **times
            | {
                "peers": times["peers"] | {"seeds": seeds},
                "store": times["store"] | {"url": self.url("store"), "prefix": STORE_PREFIX},
                "platform": {
                    "directory_url": self.url("directory"),
                    "instances_url": self.url("instances"),
                },
            },
        )
        self.processes[name] = process.Process(settings)
        self.tasks.append(asyncio.ensure_future(self.processes[name].run()))

    async def _is_ready(self, name: str) -> bool:
        """Return whether an instance answers a chat."""
        body = builders.chat_body(model="pintor-lm", max_tokens=1)
        url = self.url(name) + "/v1/chat/completions"
        try:
            async with self.session.post(
                url, json=body, headers=builders.key_header(ACCOUNT)
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False
