"""A load tool with open-loop arrivals.

Run as ``python -m benchmarks.load URL KEY --rate 50 --seconds 10``. Latencies count from the time
at which a request was due, so that a slow answer does not hide those after it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time

import aiohttp
from hdrh import histogram

from yuccahitch import records

HIGHEST_US = 600_000_000
PERCENTILES = (50.0, 90.0, 99.0)


class Outcome(records.Record):
    """What a run of load saw.

    Attributes:
        first: Times to the first byte, in microseconds.
        whole: Times to the last byte, in microseconds.
        failures: Requests that failed.
        tokens: Tokens of all answers.
    """

    __slots__ = ("first", "whole", "failures", "tokens")

    def __init__(self) -> None:
        self.first = histogram.HdrHistogram(1, HIGHEST_US, 3)
        self.whole = histogram.HdrHistogram(1, HIGHEST_US, 3)
        self.failures = 0
        self.tokens = 0

    def figures(self) -> dict[str, float]:
        """Return percentiles in milliseconds, and counts."""
        found = {
            f"first_p{p:g}_ms": self.first.get_value_at_percentile(p) / 1e3 for p in PERCENTILES
        }
        found |= {
            f"whole_p{p:g}_ms": self.whole.get_value_at_percentile(p) / 1e3 for p in PERCENTILES
        }
        return found | {
            "requests": self.whole.get_total_count(),
            "failures": self.failures,
            "tokens": self.tokens,
        }


async def run(
    url: str,
    key: str,
    *,
    model: str,
    rate: float,
    seconds: float,
    tokens: int,
    seed: int = 1,
    stream: bool = True,
) -> Outcome:
    """Send requests at random times and return what was seen."""
    rng = random.Random(seed)
    outcome = Outcome()
    headers = {"Authorization": f"Bearer {key}"}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        began = time.monotonic()
        due, jobs = 0.0, []
        while (due := due + rng.expovariate(rate)) < seconds:
            await asyncio.sleep(max(0.0, began + due - time.monotonic()))
            body = {
                "model": model,
                "stream": stream,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": f"question {rng.randrange(10**6)}"}],
            }
            jobs.append(asyncio.ensure_future(_one(session, url, body, began + due, outcome)))
        await asyncio.gather(*jobs)
    return outcome


async def _one(
    session: aiohttp.ClientSession, url: str, body: dict, due: float, outcome: Outcome
) -> None:
    try:
        async with session.post(f"{url}/v1/chat/completions", json=body) as response:
            first = True
            async for data in response.content.iter_any():
                if first:
                    outcome.first.record_value(max(1, int((time.monotonic() - due) * 1e6)))
                    first = False
                outcome.tokens += data.count(b'"content"')
            if response.status != 200:
                outcome.failures += 1
                return
    except (aiohttp.ClientError, TimeoutError):
        outcome.failures += 1
        return
    outcome.whole.record_value(max(1, int((time.monotonic() - due) * 1e6)))


def main(arguments: list[str]) -> int:
    """Run the tool."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("url")
    parser.add_argument("key")
    parser.add_argument("--model", default="ice-model")
    parser.add_argument("--rate", type=float, default=50.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--tokens", type=int, default=20)
    options = parser.parse_args(arguments)
    outcome = asyncio.run(
        run(
            options.url,
            options.key,
            model=options.model,
            rate=options.rate,
            seconds=options.seconds,
            tokens=options.tokens,
        )
    )
    print(json.dumps(outcome.figures(), indent=1))
    return 1 if outcome.failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
