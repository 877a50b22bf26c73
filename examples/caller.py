"""Example client: lists the instances, streams a response and places an order once.

Run as ``python examples/caller.py``; ``--start`` starts the example deployment first.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from standins import deployment  # noqa: E402

HERE = pathlib.Path(__file__).parent


async def run_caller(url: str, key: str) -> None:
    """List the instances, stream a chat response and send one order twice.

    Both orders carry the same idempotency key, so that the upstream runs the order only once.
    """
    headers = {"Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.get(f"{url}/v1/instances") as response:
            instance_list = await response.json()
        entry_url, operation_key = (
            instance_list["instances"][0]["url"],
            instance_list["operation_keys"][0],
        )
        print("use", entry_url, "for", instance_list["ttl_s"], "s")
        body = {"model": "ice-model", "stream": True, "max_tokens": 5, "messages": []}
        async with session.post(f"{entry_url}/v1/chat/completions", json=body) as response:
            async for line in response.content:
                print(line.decode().strip())
        order_url = f"{entry_url}/v1/services/rink-desk/flood-orders"
        for _ in range(2):
            order_headers = {"Idempotency-Key": operation_key}
            async with session.post(
                order_url, json={"sheet": 4}, headers=order_headers
            ) as response:
                print(response.status, await response.text())


async def main() -> None:
    """Parse the arguments, start the deployment if asked to, and run the client."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", default="http://127.11.1.1:7001")
    parser.add_argument("--key", default="example-key-sahil-rinks")
    parser.add_argument("--start", action="store_true", help="start the example deployment")
    options = parser.parse_args()
    if not options.start:
        await run_caller(options.url, options.key)
        return
    cluster = deployment.Deployment(HERE / "ice-works", HERE.parent / ".run" / "caller")
    try:
        await cluster.start_standins()
        await cluster.start_all()
        await cluster.wait_until_discovered()
        await cluster.apply("muscat-a-1")
        await cluster.wait_until_synchronized()
        await run_caller(options.url, options.key)
    finally:
        await cluster.close()


if __name__ == "__main__":
    asyncio.run(main())
