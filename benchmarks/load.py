"""Load generator with open-loop arrivals.

Run as ``python -m benchmarks.load URL KEY --rate 50 --seconds 10``. Latency is measured from the
time at which a request was due, so that a slow response does not hide the delay of later requests.
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

# Highest latency that the histograms record, in microseconds.
MAX_LATENCY_US = 600_000_000
PERCENTILES = (50.0, 90.0, 99.0)


class LoadResult(records.Record):
    """Latencies and counts of one load run.

    Attributes:
        first_byte_times: Histogram of the time from due to the first byte, in microseconds.
        last_byte_times: Histogram of the time from due to the last byte, in microseconds, of
            successful requests.
        failures: Number of requests that ended with an error or a status other than 200.
        tokens: Number of tokens in all responses.
    """

    __slots__ = ("first_byte_times", "last_byte_times", "failures", "tokens")

    def __init__(self) -> None:
        self.first_byte_times = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.last_byte_times = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.failures = 0
        self.tokens = 0

    def figures(self) -> dict[str, float]:
        """Return the latency percentiles in milliseconds, and the counts, by name."""
        percentiles = {
            f"first_p{p:g}_ms": self.first_byte_times.get_value_at_percentile(p) / 1e3
            for p in PERCENTILES
        }
        percentiles |= {
            f"whole_p{p:g}_ms": self.last_byte_times.get_value_at_percentile(p) / 1e3
            for p in PERCENTILES
        }
        return percentiles | {
            "requests": self.last_byte_times.get_total_count(),
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
) -> LoadResult:
    """Send chat requests with exponentially distributed gaps and return the measurements.

    Args:
        url: Base URL of an instance or an engine.
        key: API key of the client account.
        model: Model that the requests name.
        rate: Mean number of requests per second.
        seconds: Time during which requests are sent, in seconds.
        tokens: Limit of the output tokens of each request.
        seed: Seed of the arrival times and the prompts.
        stream: Whether responses are streamed.
    """
    rng = random.Random(seed)
    load_result = LoadResult()
    headers = {"Authorization": f"Bearer {key}"}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        started_at = time.monotonic()
        offset_s, tasks = 0.0, []
        while (offset_s := offset_s + rng.expovariate(rate)) < seconds:
            await asyncio.sleep(max(0.0, started_at + offset_s - time.monotonic()))
            body = {
                "model": model,
                "stream": stream,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": f"question {rng.randrange(10**6)}"}],
            }
            tasks.append(
                asyncio.ensure_future(
                    _send_request(session, url, body, started_at + offset_s, load_result)
                )
            )
        await asyncio.gather(*tasks)
    return load_result


async def _send_request(
    session: aiohttp.ClientSession, url: str, body: dict, due_at: float, load_result: LoadResult
) -> None:
    """Send one request that was due at a time and add its measurements to the result."""
    try:
        async with session.post(f"{url}/v1/chat/completions", json=body) as response:
            awaiting_first_byte = True
            async for data in response.content.iter_any():
                if awaiting_first_byte:
                    load_result.first_byte_times.record_value(
                        max(1, int((time.monotonic() - due_at) * 1e6))
                    )
                    awaiting_first_byte = False
                load_result.tokens += data.count(b'"content"')
            if response.status != 200:
                load_result.failures += 1
                return
    except (aiohttp.ClientError, TimeoutError):
        load_result.failures += 1
        return
    load_result.last_byte_times.record_value(max(1, int((time.monotonic() - due_at) * 1e6)))


def main(arguments: list[str]) -> int:
    """Run the load generator, print the figures and return 1 if any request failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("url")
    parser.add_argument("key")
    parser.add_argument("--model", default="ice-model")
    parser.add_argument("--rate", type=float, default=50.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--tokens", type=int, default=20)
    options = parser.parse_args(arguments)
    load_result = asyncio.run(
        run(
            options.url,
            options.key,
            model=options.model,
            rate=options.rate,
            seconds=options.seconds,
            tokens=options.tokens,
        )
    )
    print(json.dumps(load_result.figures(), indent=1))
    return 1 if load_result.failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
