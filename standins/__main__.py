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
DEFAULT_HOST = "127.0.0.1"


async def main(arguments: list[str]) -> None:
    """Run the stand-ins that the arguments list until SIGTERM or SIGINT."""
    # Fault switches abort connections on purpose; aiohttp would log an error for each.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    groups = [
        list(standin_arguments)
        for is_separator, standin_arguments in itertools.groupby(arguments, "--".__eq__)
        if not is_separator
    ]
    runners = [await _start_standin(standin_arguments) for standin_arguments in groups]
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    print(f"{len(runners)} stand-ins listening", flush=True)
    await stop_requested.wait()
    await asyncio.gather(*(runner.cleanup() for runner in runners))


async def _start_standin(standin_arguments: list[str]) -> web.AppRunner:
    """Start a stand-in, given as kind, port and options, on its hosts."""
    kind, port, *options = standin_arguments
    options_by_name = dict(option.split("=", 1) for option in options)
    host = options_by_name.pop("host", DEFAULT_HOST)
    runner = web.AppRunner(
        KINDS[kind](**options_by_name),
        access_log=None,
        auto_decompress=False,
        shutdown_timeout=0.2,
        handler_cancellation=True,
    )
    await runner.setup()
    for address in host.split(","):
        await web.TCPSite(runner, address, int(port)).start()
    return runner


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
