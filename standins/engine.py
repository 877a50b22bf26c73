"""Stand-in for a model engine with continuous batching, a prefix cache, priorities and orders.

The time per token grows with the batch; the first token waits for the prefill of the prompt.
"""

from __future__ import annotations

import asyncio
import collections
import hashlib
import json
import time
import typing

from aiohttp import web

from standins import faults, request_recorder

# Length of the prompt's prefix that the cache is keyed by.
PREFIX_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
# Fault switches with their values without a fault; ``drop_events`` counts cache events.
# What an engine in trouble writes between two events.
GARBAGE = b"\x16\x03 no event\n\n"
FAULTS = {
    "down": False,
    "crash_on": "",
    "cut_after_tokens": 0,
    "garbage_after_tokens": 0,
    "garbage_after_end": 0,
    "cross_answers": False,
    "slow_factor": 1.0,
    "leaving": False,
    "load_lag_s": 0.0,
    "drop_events": 0,
    "refuse_status": 0,
    "half_head": False,
    "says_leaving": False,
    "busy_pause_s": 0,
    "word_mark": "",
}
# What the fault ``half_head`` sends of an answer before it closes the connection.
HALF_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Reque"


class Engine:
    """The state of an engine.

    Args:
        name: Name of the engine.
        slots: Size of the batch in requests.
        token_s: Time per token with an empty batch, in seconds.
        prefill_tokens_per_s: Prompt tokens processed per second.
        cache_prefixes: Capacity of the prefix cache.
        fencing: Whether orders with outdated fencing numbers are refused.

    Attributes:
        faults: Fault switches.
        recorder: Records the requests received.
        running: Number of requests in the batch.
        waiting: Queue of (priority, queue number, future set when a slot is granted).
        last_queue_number: Last queue number given, which orders requests of equal priority.
        prefix_cache: Cached prefixes, least recently used first.
        load_sequence: Sequence number of the last load report.
        load_reports: Latest load reports with their monotonic times, oldest first.
        cache_events: Prefixes stored and evicted, with event numbers from 1.
        highest_fence: Highest fencing number received.
        completed_orders: Executed orders with their fencing numbers.
        cancelled: Number of requests aborted before their answer was complete.
        kept: Unused.
        served: Number of requests whose prefill was completed.
    """

    __slots__ = (
        "name",
        "slots",
        "token_s",
        "prefill_tokens_per_s",
        "cache_prefixes",
        "fencing",
        "faults",
        "recorder",
        "running",
        "waiting",
        "last_queue_number",
        "prefix_cache",
        "load_sequence",
        "load_reports",
        "cache_events",
        "highest_fence",
        "completed_orders",
        "cancelled",
        "kept",
        "served",
    )

    def __init__(
        self,
        *,
        name: str,
        slots: int,
        token_s: float,
        prefill_tokens_per_s: float,
        cache_prefixes: int,
        fencing: bool,
    ) -> None:
        self.name = name
        self.slots = slots
        self.token_s = token_s
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.cache_prefixes = cache_prefixes
        self.fencing = fencing
        self.faults = faults.FaultSwitches(FAULTS)
        self.recorder = request_recorder.RequestRecorder()
        self.running = 0
        self.waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.last_queue_number = 0
        self.prefix_cache: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.load_sequence = 0
        self.load_reports: collections.deque[tuple[float, dict]] = collections.deque(maxlen=1000)
        self.cache_events: list[dict] = []
        self.highest_fence = 0
        self.completed_orders: list[dict] = []
        self.cancelled = 0
        self.kept: dict[str, list[str]] = {}
        self.served = 0

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a slot in the batch; a smaller priority goes first, then the earlier request."""
        if self.running < self.slots:
            self.running += 1
            return
        self.last_queue_number += 1
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append((priority, self.last_queue_number, granted))
        self.waiting.sort(key=lambda item: item[:2])
        try:
            await granted
        except asyncio.CancelledError:
            self.waiting = [item for item in self.waiting if item[2] is not granted]
            raise

    def release_slot(self) -> None:
        """Pass a slot of the batch to the next waiting request, or free it."""
        while self.waiting:
            _, _, granted = self.waiting.pop(0)
            if not granted.done():
                granted.set_result(None)
                return
        self.running -= 1

    def prefill_s(self, prompt: str) -> float:
        """Return the prefill time of a prompt in seconds, and add its prefix to the cache.

        A prompt with a cached prefix takes a tenth of the time.
        """
        prefix = hashlib.sha256(prompt[:PREFIX_CHARACTERS].encode()).hexdigest()
        tokens = len(prompt) / CHARACTERS_PER_TOKEN
        if prefix in self.prefix_cache:
            tokens *= 0.1
        self.prefix_cache[prefix] = None
        self.prefix_cache.move_to_end(prefix)
        self._record_cache_event("stored", prefix)
        while len(self.prefix_cache) > self.cache_prefixes:
            evicted_prefix, _ = self.prefix_cache.popitem(last=False)
            self._record_cache_event("evicted", evicted_prefix)
        return tokens / self.prefill_tokens_per_s * self.faults["slow_factor"]

    def decode_step_s(self) -> float:
        """Return the time per token with the current batch, in seconds."""
        batch_slowdown = 1 + 0.5 * self.running / self.slots
        return self.token_s * batch_slowdown * self.faults["slow_factor"]

    def load_report(self) -> dict:
        """Record the current load and return the report that is as old as ``load_lag_s``."""
        self.load_sequence += 1
        now = time.monotonic()
        report = {
            "running": self.running,
            "waiting": len(self.waiting),
            "sequence": self.load_sequence,
            "leaving": self.faults["leaving"],
        }
        self.load_reports.append((now, report))
        visible_reports = [
            past_report
            for recorded_at, past_report in self.load_reports
            if recorded_at <= now - self.faults["load_lag_s"]
        ]
        return visible_reports[-1] if visible_reports else self.load_reports[0][1]

    def _record_cache_event(self, event_kind: str, prefix: str) -> None:
        """Record that a prefix was stored or evicted, unless the fault drops the event."""
        if self.faults.consume("drop_events"):
            return
        self.cache_events.append(
            {"number": len(self.cache_events) + 1, "kind": event_kind, "prefix": prefix}
        )


def application(
    name: str = "engine",
    slots: str = "8",
    token_s: str = "0.002",
    prefill_tokens_per_s: str = "8000",
    cache_prefixes: str = "16",
    fencing: str = "yes",
) -> web.Application:
    """Return the application of an engine; the options are strings from the command line."""
    engine = Engine(
        name=name,
        slots=int(slots),
        token_s=float(token_s),
        prefill_tokens_per_s=float(prefill_tokens_per_s),
        cache_prefixes=int(cache_prefixes),
        fencing=fencing == "yes",
    )
    app = faults.application(engine.faults)
    app["engine"] = engine
    app.router.add_post("/v1/chat/completions", lambda request: _chat(engine, request))
    app.router.add_get("/load", lambda request: _handle_load(engine, request))
    app.router.add_get("/cache-events", lambda request: _list_cache_events(engine, request))
    app.router.add_post("/orders", lambda request: _handle_order(engine, request))
    app.router.add_get("/orders", lambda request: _list_orders(engine, request))
    app.router.add_get("/seen", engine.recorder.handle)
    app.router.add_get("/stats", lambda request: _stats(engine, request))
    return app


async def _chat(engine: Engine, request: web.Request) -> web.StreamResponse:
    """Answer a chat completion once a slot is free, with the faults applied."""
    text = await request.text()
    engine.recorder.record(request, text)
    crash_on = engine.faults["crash_on"]
    if engine.faults["down"] or (crash_on and crash_on in text):
        request.transport.abort()
        raise ConnectionResetError("connection aborted by a fault switch")
    if engine.faults["half_head"]:
        request.transport.write(HALF_HEAD)
        await asyncio.sleep(0.05)
        request.transport.close()
        raise ConnectionResetError("connection closed by a fault switch")
    if engine.faults["busy_pause_s"]:
        headers = {"x-request-id": request.headers.get("x-request-id", "")}
        headers["retry-after"] = str(engine.faults["busy_pause_s"])
        return web.json_response({"error": "busy"}, status=503, headers=headers)
    if engine.faults["refuse_status"]:
        echo_headers = {"x-request-id": request.headers.get("x-request-id", "")}
        return web.json_response(
            {"error": "busy"}, status=engine.faults["refuse_status"], headers=echo_headers
        )
    body = json.loads(text)
    await engine.acquire_slot(int(request.headers.get("x-priority", "0")))
    try:
        return await _generate(engine, request, body)
    except (ConnectionResetError, asyncio.CancelledError):
        engine.cancelled += 1
        raise
    finally:
        engine.release_slot()


async def _generate(engine: Engine, request: web.Request, body: dict) -> web.StreamResponse:
    """Generate the answer of a chat completion, whole or as a stream of events."""
    prompt = json.dumps(body["messages"])
    await asyncio.sleep(engine.prefill_s(prompt))
    token_limit = body.get("max_completion_tokens", body.get("max_tokens", 16))
    reply_tokens = body.get("reply_tokens", token_limit)
    mark = engine.faults["word_mark"]
    words = [f"{mark}w{index} " for index in range(min(token_limit, reply_tokens))]
    resume_from = int(request.headers.get("x-resume-from", "0"))
    request_id = request.headers.get("x-request-id", "")
    headers = {"x-request-id": "crossed" if engine.faults["cross_answers"] else request_id}
    if engine.faults["says_leaving"]:
        headers["x-leaving"] = "1"
    engine.served += 1
    usage = {"prompt_tokens": len(prompt) // CHARACTERS_PER_TOKEN, "completion_tokens": len(words)}
    if not body.get("stream"):
        await asyncio.sleep(engine.decode_step_s() * len(words))
        return _full_response(engine, request, body, words, usage, headers)
    response = web.StreamResponse(headers={"content-type": "text/event-stream"} | headers)
    await response.prepare(request)
    for number, word in enumerate(words):
        await asyncio.sleep(engine.decode_step_s())
        if engine.faults["cut_after_tokens"] and number >= engine.faults["cut_after_tokens"]:
            request.transport.abort()
            raise ConnectionResetError("connection aborted by a fault switch")
        if (
            engine.faults["garbage_after_tokens"]
            and number == engine.faults["garbage_after_tokens"]
        ):
            await response.write(GARBAGE)
        if number >= resume_from:
            await response.write(_chunk_event(body, {"content": word}, None))
    await response.write(_chunk_event(body, {}, "stop"))
    if (body.get("stream_options") or {}).get("include_usage"):
        usage_chunk = {"id": "c", "object": "chat.completion.chunk", "choices": [], "usage": usage}
        await response.write(b"data: " + json.dumps(usage_chunk).encode() + b"\n\n")
    await response.write(b"data: [DONE]\n\n")
    if engine.faults["garbage_after_end"]:
        await response.write(GARBAGE)
    await response.write_eof()
    return response


def _full_response(
    engine: Engine,
    request: web.Request,
    body: dict,
    words: list[str],
    usage: dict,
    headers: dict[str, str],
) -> web.Response:
    """Return the whole answer of a chat completion."""
    if engine.faults["cut_after_tokens"]:
        request.transport.abort()
        raise ConnectionResetError("connection aborted by a fault switch")
    message = {"role": "assistant", "content": "".join(words)}
    reply = {
        "id": "c",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": body["model"],
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": usage,
    }
    return web.json_response(reply, headers=headers)


def _chunk_event(body: dict, delta: dict, finish: str | None) -> bytes:
    """Return an event of the stream with a part of the answer."""
    data = {
        "id": "c",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": body["model"],
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    return b"data: " + json.dumps(data).encode() + b"\n\n"


async def _handle_load(engine: Engine, request: web.Request) -> web.Response:
    """Return the load report."""
    if engine.faults["down"]:
        raise web.HTTPServiceUnavailable
    return web.json_response(engine.load_report())


async def _list_cache_events(engine: Engine, request: web.Request) -> web.Response:
    """Return the cache events after the number ``since``."""
    since = int(request.query.get("since", "0"))
    return web.json_response(
        {"events": [event for event in engine.cache_events if event["number"] > since]}
    )


async def _handle_order(engine: Engine, request: web.Request) -> web.Response:
    """Execute an order for its ``seconds``, or refuse an outdated fencing number."""
    order: dict[str, typing.Any] = await request.json()
    fence = int(request.headers.get("x-fencing-number", "0"))
    if engine.fencing and fence < engine.highest_fence:
        return web.json_response({"error": "old fencing number"}, status=409)
    engine.highest_fence = max(engine.highest_fence, fence)
    await asyncio.sleep(float(order.get("seconds", 0.0)))
    engine.completed_orders.append(order | {"fence": fence})
    return web.json_response({"done": len(engine.completed_orders)})


async def _list_orders(engine: Engine, request: web.Request) -> web.Response:
    """Return the executed orders."""
    return web.json_response(engine.completed_orders)


async def _stats(engine: Engine, request: web.Request) -> web.Response:
    """Return the counters of the engine."""
    return web.json_response(
        {
            "served": engine.served,
            "cancelled": engine.cancelled,
            "running": engine.running,
            "cached": len(engine.prefix_cache),
        }
    )
