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

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
POLL_WAIT_S = 3.0
POLL_PAUSE_S = 0.1
LOST_AFTER_FAILURES = 3
MAX_CALLS = 32
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
        reply_to: Takes each reply.
        watch_to: Takes what the watch sees.
        rng: Source of jitter.
        dialect: Module that encodes calls and decodes replies.
        poll_wait_s: Longest wait of a call that waits for changes, in seconds.

    Attributes:
        series: Calls by kind and result, as the metrics count them.
    """

    __slots__ = (
        "url",
        "prefix",
        "timeout_s",
        "time",
        "log",
        "reply_to",
        "watch_to",
        "rng",
        "dialect",
        "poll_wait_s",
        "inbox",
        "children",
        "session",
        "failures",
        "watching",
        "slots",
        "series",
    )

    def __init__(
        self,
        url: str,
        *,
        prefix: str,
        timeout_s: float,
        time: clock.Clock,
        log: events.Log,
        reply_to: typing.Callable[[commands.StoreReply], None],
        watch_to: typing.Callable[[store.KeysChanged | store.WatchLost], None],
        rng: random.Random,
        dialect: typing.Any = etcd,
        poll_wait_s: float = POLL_WAIT_S,
    ) -> None:
        self.url = url.rstrip("/")
        self.prefix = prefix
        self.timeout_s = timeout_s
        self.time = time
        self.log = log
        self.reply_to = reply_to
        self.watch_to = watch_to
        self.rng = rng
        self.dialect = dialect
        self.poll_wait_s = poll_wait_s
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.ChildTasks()
        self.session: aiohttp.ClientSession | None = None
        self.failures = 0
        self.watching: dict[str, reactivex_abc.DisposableBase] = {}
        self.slots = asyncio.Semaphore(MAX_CALLS)
        self.series: dict[tuple[tuple[str, str], ...], int] = {}

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with aiohttp.ClientSession(read_bufsize=MAX_WATCH_LINE_BYTES) as session:
            self.session = session
            try:
                while True:
                    _handle(await self.inbox.get(), self)
            finally:
                await self.children.stop()

    async def call(self, call: store.Call) -> store.Reply:
        """Make one call and return its reply or failure."""
        post = self.dialect.encode(_prefixed(call, self.prefix))
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        kind = type(call).__name__.lower()
        try:
            async with self.session.request(
                post.method,
                self.url + post.path,
                params=post.query,
                json=post.body,
                timeout=timeout,
            ) as response:
                raw = await response.read()
                self._count(kind, str(response.status))
                reply = self.dialect.decode(call, response.status, raw)
                return _unprefixed(reply, self.prefix)
        except aiohttp.ClientConnectorError as error:
            self._count(kind, "unreachable")
            return store.CallFailed(may_have_applied=False, detail=type(error).__name__)
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
            self._count(kind, "failed")
            return store.CallFailed(may_have_applied=True, detail=type(error).__name__)

    async def perform(self, command: commands.StoreCall) -> None:
        """Make a call for the core and report the reply."""
        async with self.slots:
            sent_at = self.time.now()
            reply = await self.call(command.call)
        if type(reply) is store.CallFailed:
            self._failed(reply.detail)
            await asyncio.sleep(self._pause(self.failures))
        else:
            self._answered()
        self.reply_to(commands.StoreReply(purpose=command.purpose, reply=reply, sent_at=sent_at))

    def watch(self, prefix: str, revision: int) -> reactivex.Observable:
        """Return the changes under a prefix as an observable that ends when the watch breaks."""

        def subscribe(
            observer: reactivex_abc.ObserverBase, scheduler: typing.Any = None
        ) -> reactivex_abc.DisposableBase:
            work = self._poll if self.dialect.POLLING else self._watch
            task = self.children.start(work(prefix, revision, observer))
            return reactivex.disposable.Disposable(task.cancel)

        return reactivex.create(subscribe)

    def start_watch(self, command: commands.WatchStore) -> None:
        """Begin or end the watch that the core asks for."""
        earlier = self.watching.pop(command.prefix, None)
        if earlier is not None:
            earlier.dispose()
        if command.active:
            observable = self.watch(command.prefix, command.revision)
            self.watching[command.prefix] = observable.subscribe(on_next=self.watch_to)

    async def _watch(
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
        await asyncio.sleep(FIRST_PAUSE_S)
        observer.on_next(store.WatchLost(detail, prefix=prefix))
        observer.on_completed()

    async def _poll(self, prefix: str, revision: int, observer: reactivex_abc.ObserverBase) -> None:
        """Ask for the next changes again and again, until the store has lost the history."""
        failures = 0
        while True:
            try:
                status, raw = await self._changes_after(prefix, revision)
                if status == self.dialect.GONE:
                    break
                if status == 200:
                    change = self.dialect.decode_watch(self.prefix + prefix, raw)
                    revision = max(revision, change.revision)
                    change = _unprefixed_change(change, self.prefix)
                    change.prefix = prefix
                    observer.on_next(change)
                    self._answered()
                    failures = 0
                    # Changes that follow closely come with one call.
                    await asyncio.sleep(POLL_PAUSE_S)
                    continue
                detail = f"status {status}"
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
                detail = type(error).__name__
            failures += 1
            self._failed(detail)
            await asyncio.sleep(self._pause(failures))
        observer.on_next(store.WatchLost("the history is gone", prefix=prefix))
        observer.on_completed()

    async def _changes_after(self, prefix: str, revision: int) -> tuple[int, bytes]:
        query = self.dialect.watch_query(self.prefix + prefix, revision, self.poll_wait_s)
        timeout = aiohttp.ClientTimeout(total=self.poll_wait_s + self.timeout_s)
        result = "failed"
        try:
            async with self.session.get(
                self.url + self.dialect.WATCH_PATH, params=query, timeout=timeout
            ) as response:
                raw = await response.read()
                result = str(response.status)
                return response.status, raw
        finally:
            self._count("watch", result)

    def _count(self, kind: str, result: str) -> None:
        place = (("kind", kind), ("result", result))
        self.series[place] = self.series.get(place, 0) + 1

    def _failed(self, detail: str) -> None:
        self.failures += 1
        if self.failures == LOST_AFTER_FAILURES:
            self.log.write(events.Event.STORE_LOST, detail=detail)

    def _answered(self) -> None:
        if self.failures >= LOST_AFTER_FAILURES:
            self.log.write(events.Event.STORE_FOUND)
        self.failures = 0

    def _pause(self, failures: int) -> float:
        pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(failures, 8))
        return pause * (0.5 + self.rng.random() / 2)


@functools.singledispatch
def _handle(message: typing.Any, client: StoreClient) -> None:
    raise TypeError(type(message))


@_handle.register
def _(message: commands.StoreCall, client: StoreClient) -> None:
    client.children.start(client.perform(message))


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
        conditions=[store.Condition(prefix + e.key, e.revision) for e in call.conditions],
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
    items = [_cut(item, prefix) for item in reply.items]
    return store.RangeReply(items, revision=reply.revision, has_more=reply.has_more)


@_unprefixed.register
def _(reply: store.CommitReply, prefix: str) -> store.Reply:
    items = [_cut(item, prefix) for item in reply.items]
    return store.CommitReply(applied=reply.applied, items=items, revision=reply.revision)


@_unprefixed.register
def _(reply: store.CommitManyReply, prefix: str) -> store.Reply:
    return store.CommitManyReply([_unprefixed(inner, prefix) for inner in reply.replies])


def _unprefixed_change(change: store.KeysChanged, prefix: str) -> store.KeysChanged:
    items = [
        (key.removeprefix(prefix), _cut(item, prefix) if item is not None else None)
        for key, item in change.items
    ]
    return store.KeysChanged(items, revision=change.revision)


def _cut(item: store.KeyValue, prefix: str) -> store.KeyValue:
    return store.KeyValue(
        key=item.key.removeprefix(prefix), value=item.value, revision=item.revision
    )
