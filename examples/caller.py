"""Asks which instance to use, streams an answer, and orders once: ``python examples/caller.py``."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from standins import deployment  # noqa: E402

HERE = pathlib.Path(__file__).parent


async def talk(url: str, key: str) -> None:
    """Talk to the gateway as a caller does."""
    headers = {"Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.get(f"{url}/v1/instances") as response:
            told = await response.json()
        entry, operation = told["instances"][0]["url"], told["operation_keys"][0]
        print("use", entry, "for", told["ttl_s"], "s")
        body = {"model": "ice-model", "stream": True, "max_tokens": 5, "messages": []}
        async with session.post(f"{entry}/v1/chat/completions", json=body) as response:
            async for line in response.content:
                print(line.decode().strip())
        order = f"{entry}/v1/services/rink-desk/flood-orders"
        for _ in range(2):
            once = {"Idempotency-Key": operation}
            async with session.post(order, json={"sheet": 4}, headers=once) as response:
                print(response.status, await response.text())


async def main() -> None:
    """Read the arguments and talk."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", default="http://127.11.1.1:7001")
    parser.add_argument("--key", default="example-key-sahil-rinks")
    parser.add_argument("--start", action="store_true", help="start the example deployment")
    options = parser.parse_args()
    if not options.start:
        await talk(options.url, options.key)
        return
    world = deployment.Deployment(HERE / "ice-works", HERE.parent / ".run" / "caller")
    try:
        await world.start_standins()
        await world.start_all()
        await world.wait_until_discovered()
        await world.apply("muscat-a-1")
        await world.wait_until_synchronized()
        await talk(options.url, options.key)
    finally:
        await world.close()


if __name__ == "__main__":
    asyncio.run(main())
