"""Talks to the platform's key-value service."""

from __future__ import annotations

import asyncio
import functools
import json
import random
import typing

import aiohttp
import reactivex
from reactivex import abc as reactivex_abc

from yuccahitch import clock, events
from yuccahitch.codecs import etcd
from yuccahitch.messages import commands, store
from yuccahitch.tasks import mailbox

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
LONG_POLL_WAIT_S = 3.0
LONG_POLL_PAUSE_S = 0.1
STORE_LOST_FAILURES = 3
MAX_CONCURRENT_CALLS = 32
MAX_WATCH_LINE_BYTES = 16 * 1024 * 1024


class StoreClient:
    """Owns the connections to the store; one call of the core is one call of the store.

    Failed calls are reported after a pause that grows, so that nobody who tries again at once
    floods a store that is in trouble.

    Args:
        url: Base URL of the JSON interface.
        prefix: Prefix of all keys.
        timeout_s: Time-out of a call, in seconds.
        time: The clock.
        log: Writes events.
        on_reply: Takes each reply.
        on_watch_event: Takes what the watch sees.
        rng: Source of jitter.
        dialect: Module that encodes calls and decodes replies.
        poll_wait_s: Longest wait of a call that waits for changes, in seconds.

    Attributes:
        call_counts: Calls by kind and result, as the metrics count them.
    """

    __slots__ = (
        "url",
        "prefix",
        "timeout_s",
        "time",
        "log",
        "on_reply",
        "on_watch_event",
        "rng",
        "dialect",
        "poll_wait_s",
        "inbox",
        "children",
        "session",
        "consecutive_failures",
        "watches",
        "call_slots",
        "call_counts",
    )

    def __init__(
        self,
        url: str,
        *,
        prefix: str,
        timeout_s: float,
        time: clock.Clock,
        log: events.Log,
        on_reply: typing.Callable[[commands.StoreReply], None],
        on_watch_event: typing.Callable[[store.KeysChanged | store.WatchLost], None],
        rng: random.Random,
        dialect: typing.Any = etcd,
        poll_wait_s: float = LONG_POLL_WAIT_S,
    ) -> None:
        self.url = url.rstrip("/")
        self.prefix = prefix
        self.timeout_s = timeout_s
        self.time = time
        self.log = log
        self.on_reply = on_reply
        self.on_watch_event = on_watch_event
        self.rng = rng
        self.dialect = dialect
        self.poll_wait_s = poll_wait_s
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.Children()
        self.session: aiohttp.ClientSession | None = None
        self.consecutive_failures = 0
        self.watches: dict[str, reactivex_abc.DisposableBase] = {}
        self.call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self.call_counts: dict[tuple[tuple[str, str], ...], int] = {}

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with aiohttp.ClientSession(read_bufsize=MAX_WATCH_LINE_BYTES) as session:
            self.session = session
            try:
                while True:
                    _handle(await self.inbox.get(), self)
            finally:
                await self.children.stop()

    async def execute_call(self, call: store.Call) -> store.Reply:
        """Make one call and return its reply or failure."""
        http_request = self.dialect.encode(_prefixed(call, self.prefix))
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        call_type = type(call).__name__.lower()
        try:
            async with self.session.request(
                http_request.method,
                self.url + http_request.path,
                params=http_request.query,
                json=http_request.body,
                timeout=timeout,
            ) as response:
                response_body = await response.read()
                self._count_call(call_type, str(response.status))
                reply = self.dialect.decode(call, response.status, response_body)
                return _unprefixed(reply, self.prefix)
        except aiohttp.ClientConnectorError as error:
            self._count_call(call_type, "unreachable")
            return store.CallFailed(may_have_applied=False, detail=type(error).__name__)
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
            self._count_call(call_type, "failed")
            return store.CallFailed(may_have_applied=True, detail=type(error).__name__)

    async def execute_command(self, command: commands.StoreCall) -> None:
        """Make a call for the core and report the reply."""
        async with self.call_slots:
            sent_at = self.time.now()
            reply = await self.execute_call(command.call)
        if type(reply) is store.CallFailed:
            self._record_failure(reply.detail)
            await asyncio.sleep(self._backoff_s(self.consecutive_failures))
        else:
            self._record_success()
        self.on_reply(commands.StoreReply(purpose=command.purpose, reply=reply, sent_at=sent_at))

    def watch(self, prefix: str, revision: int) -> reactivex.Observable:
        """Return the changes under a prefix as an observable that ends when the watch breaks."""

        def subscribe(
            observer: reactivex_abc.ObserverBase, scheduler: typing.Any = None
        ) -> reactivex_abc.DisposableBase:
            run_watch = self._run_long_poll if self.dialect.POLLING else self._run_streaming_watch
            task = self.children.start(run_watch(prefix, revision, observer))
            return reactivex.disposable.Disposable(task.cancel)

        return reactivex.create(subscribe)

    def start_watch(self, command: commands.WatchStore) -> None:
        """Begin or end the watch that the core asks for."""
        previous_watch = self.watches.pop(command.prefix, None)
        if previous_watch is not None:
            previous_watch.dispose()
        if command.active:
            observable = self.watch(command.prefix, command.revision)
            self.watches[command.prefix] = observable.subscribe(on_next=self.on_watch_event)

    async def _run_streaming_watch(
        self, prefix: str, revision: int, observer: reactivex_abc.ObserverBase
    ) -> None:
        detail = "closed"
        body = etcd.watch_request(self.prefix + prefix, revision)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.timeout_s)
        try:
            async with self.session.post(
                self.url + "/v3/watch", json=body, timeout=timeout
            ) as response:
                async for line in response.content:
                    event = etcd.decode_watch(json.loads(line))
                    if type(event) is store.WatchLost:
                        detail = event.detail
                        break
                    if event.items:
                        observer.on_next(_unprefixed_change(event, self.prefix))
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
            detail = type(error).__name__
        await asyncio.sleep(INITIAL_BACKOFF_S)
        observer.on_next(store.WatchLost(detail, prefix=prefix))
        observer.on_completed()

    async def _run_long_poll(
        self, prefix: str, revision: int, observer: reactivex_abc.ObserverBase
    ) -> None:
        """Ask for the next changes again and again, until the store has lost the history."""
        consecutive_failures = 0
        while True:
            try:
                status, response_body = await self._fetch_changes(prefix, revision)
                if status == self.dialect.GONE:
                    break
                if status == 200:
                    change = self.dialect.decode_watch(self.prefix + prefix, response_body)
                    revision = max(revision, change.revision)
                    change = _unprefixed_change(change, self.prefix)
                    change.prefix = prefix
                    observer.on_next(change)
                    self._record_success()
                    consecutive_failures = 0
                    # Changes that follow closely come with one call.
                    await asyncio.sleep(LONG_POLL_PAUSE_S)
                    continue
                detail = f"status {status}"
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
                detail = type(error).__name__
            consecutive_failures += 1
            self._record_failure(detail)
            await asyncio.sleep(self._backoff_s(consecutive_failures))
        observer.on_next(store.WatchLost("the history is gone", prefix=prefix))
        observer.on_completed()

    async def _fetch_changes(self, prefix: str, revision: int) -> tuple[int, bytes]:
        query = self.dialect.watch_query(self.prefix + prefix, revision, self.poll_wait_s)
        timeout = aiohttp.ClientTimeout(total=self.poll_wait_s + self.timeout_s)
        result = "failed"
        try:
            async with self.session.get(
                self.url + self.dialect.WATCH_PATH, params=query, timeout=timeout
            ) as response:
                response_body = await response.read()
                result = str(response.status)
                return response.status, response_body
        finally:
            self._count_call("watch", result)

    def _count_call(self, call_type: str, result: str) -> None:
        labels = (("kind", call_type), ("result", result))
        self.call_counts[labels] = self.call_counts.get(labels, 0) + 1

    def _record_failure(self, detail: str) -> None:
        self.consecutive_failures += 1
        if self.consecutive_failures == STORE_LOST_FAILURES:
            self.log.write(events.Event.STORE_LOST, detail=detail)

    def _record_success(self) -> None:
        if self.consecutive_failures >= STORE_LOST_FAILURES:
            self.log.write(events.Event.STORE_FOUND)
        self.consecutive_failures = 0

    def _backoff_s(self, consecutive_failures: int) -> float:
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(consecutive_failures, 8))
        return backoff_s * (0.5 + self.rng.random() / 2)


@functools.singledispatch
def _handle(message: typing.Any, client: StoreClient) -> None:
    raise TypeError(type(message))


@_handle.register
def _(message: commands.StoreCall, client: StoreClient) -> None:
    client.children.start(client.execute_command(message))


@_handle.register
def _(message: commands.WatchStore, client: StoreClient) -> None:
    client.start_watch(message)


@functools.singledispatch
def _prefixed(call: typing.Any, prefix: str) -> typing.Any:
    return call


@_prefixed.register
def _(call: store.Range, prefix: str) -> store.Call:
    after = prefix + call.after_key if call.after_key else ""
    return store.Range(prefix + call.key, prefix=call.prefix, after_key=after)


@_prefixed.register
def _(call: store.Commit, prefix: str) -> store.Call:
    return store.Commit(
        conditions=[
            store.Condition(prefix + condition.key, condition.revision)
            for condition in call.conditions
        ],
        changes=[_prefixed(change, prefix) for change in call.changes],
    )


@_prefixed.register
def _(call: store.CommitMany, prefix: str) -> store.Call:
    return store.CommitMany([_prefixed(commit, prefix) for commit in call.commits])


@_prefixed.register
def _(change: store.Put, prefix: str) -> store.Put:
    return store.Put(prefix + change.key, change.value, lease=change.lease)


@_prefixed.register
def _(change: store.Delete, prefix: str) -> store.Delete:
    return store.Delete(prefix + change.key)


@functools.singledispatch
def _unprefixed(reply: typing.Any, prefix: str) -> typing.Any:
    return reply


@_unprefixed.register
def _(reply: store.RangeReply, prefix: str) -> store.Reply:
    items = [_unprefixed_item(item, prefix) for item in reply.items]
    return store.RangeReply(items, revision=reply.revision, has_more=reply.has_more)


@_unprefixed.register
def _(reply: store.CommitReply, prefix: str) -> store.Reply:
    items = [_unprefixed_item(item, prefix) for item in reply.items]
    return store.CommitReply(applied=reply.applied, items=items, revision=reply.revision)


@_unprefixed.register
def _(reply: store.CommitManyReply, prefix: str) -> store.Reply:
    return store.CommitManyReply([_unprefixed(inner, prefix) for inner in reply.replies])


def _unprefixed_change(change: store.KeysChanged, prefix: str) -> store.KeysChanged:
    items = [
        (key.removeprefix(prefix), _unprefixed_item(item, prefix) if item is not None else None)
        for key, item in change.items
    ]
    return store.KeysChanged(items, revision=change.revision)


def _unprefixed_item(item: store.KeyValue, prefix: str) -> store.KeyValue:
    return store.KeyValue(
        key=item.key.removeprefix(prefix), value=item.value, revision=item.revision
    )
