"""Starts stand-ins: ``python -m standins KIND PORT [OPTION=VALUE ...] [-- KIND PORT ...]``."""

from __future__ import annotations

import asyncio
import itertools
import logging
import signal
import sys
import typing

from aiohttp import web

from standins import (
    directory,
    engine,
    instance_list,
    keyvalue,
    link,
    plain,
    platform_store,
    replica,
    weights,
)

KINDS: dict[str, typing.Callable[..., web.Application]] = {
    "keyvalue": keyvalue.application,
    "directory": directory.application,
    "instances": instance_list.application,
    "weights": weights.application,
    "engine": engine.application,
    "plain": plain.application,
    "link": link.application,
    "platform_store": platform_store.application,
    "replica": replica.application,
}
HOST = "127.0.0.1"


async def main(arguments: list[str]) -> None:
    """Run the stand-ins that the arguments name until SIGTERM."""
    # Faults break connections on purpose; aiohttp would print each.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    groups = [
        list(words) for dashes, words in itertools.groupby(arguments, "--".__eq__) if not dashes
    ]
    runners = [await _start(words) for words in groups]
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    print(f"{len(runners)} stand-ins listen", flush=True)
    await stopped.wait()
    await asyncio.gather(*(runner.cleanup() for runner in runners))


async def _start(words: list[str]) -> web.AppRunner:
    kind, port, *options = words
    given = dict(option.split("=", 1) for option in options)
    host = given.pop("host", HOST)
    runner = web.AppRunner(
        KINDS[kind](**given), access_log=None, shutdown_timeout=0.2, handler_cancellation=True
    )
    await runner.setup()
    for place in host.split(","):
        await web.TCPSite(runner, place, int(port)).start()
    return runner


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
