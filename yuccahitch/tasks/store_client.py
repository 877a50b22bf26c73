"""The HTTP client for the platform's key-value store."""

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
from yuccahitch.controllers.store_view import freshness
from yuccahitch.messages import commands, store
from yuccahitch.tasks import bounded_body, mailbox

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Longest time that the store holds a poll for changes open, unless the settings give another.
LONG_POLL_WAIT_S = 3.0
LONG_POLL_PAUSE_S = 0.1
# Failed calls in a row after which the store is logged as lost.
STORE_LOST_FAILURES = 3
MAX_CONCURRENT_CALLS = 32
# Longest line of a streaming watch; each line is one watch response.
MAX_WATCH_LINE_BYTES = 16 * 1024 * 1024
# Largest reply to a call: a page of values of 1 MiB, encoded as text, and more than one at its end.
MAX_REPLY_BYTES = 16 * 1024 * 1024


class _PollReply:
    """The reply to one call of a watch.

    Attributes:
        status: HTTP status.
        body: Body of the reply.
        era: Era of the store, or None if the reply names none.
    """

    __slots__ = ("status", "body", "era")

    def __init__(self, status: int, body: bytes, era: int | None) -> None:
        self.status = status
        self.body = body
        self.era = era


class StoreClient:
    """Owns the connections to the store; each call of the core is one HTTP request.

    Replies bear no id, so each call and each poll has a connection of its own.

    Failed calls are reported after a growing delay, so that callers that retry at once do not
    overload a failing store.

    Args:
        url: Base URL of the JSON interface.
        prefix: Prefix added to all keys in the store and removed from those in replies.
        timeout_s: Timeout of a call, in seconds.
        time: Source of monotonic time.
        log: Event log.
        on_reply: Called with the reply to each call of the core, or with its failure.
        on_watch_event: Called with each change under a watched prefix, with each failure of a
            watch and with its end.
        rng: Source of jitter for the delays.
        dialect: Module that encodes calls and decodes replies, ``codecs.etcd`` or
            ``platform.store``.
        poll_wait_s: Longest time that a poll for changes waits in the store, in seconds.

    Attributes:
        inbox: Messages for this task, ``commands.StoreCall`` and ``commands.WatchStore``.
        children: Tasks of the running calls and watches.
        call_session: HTTP session with a new connection for each call, or None before ``run``.
        poll_session: The same for the calls of the watches, whose replies have long lines.
        consecutive_failures: Failed calls since the last successful one.
        watches: Subscriptions of the running watches by prefix.
        call_slots: Limits the calls that run at the same time.
        call_counts: Number of calls by the metric labels for type and result of the call.
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
        "call_session",
        "poll_session",
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
        on_watch_event: typing.Callable[[store.WatchEvent], None],
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
        self.children = mailbox.ChildTasks()
        self.call_session: aiohttp.ClientSession | None = None
        self.poll_session: aiohttp.ClientSession | None = None
        self.consecutive_failures = 0
        self.watches: dict[str, reactivex_abc.DisposableBase] = {}
        self.call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self.call_counts: dict[tuple[tuple[str, str], ...], int] = {}

    async def run(self) -> None:
        """Start each call or watch that the inbox asks for; stop all of them when cancelled."""
        async with (
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True)) as call_session,
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True), read_bufsize=MAX_WATCH_LINE_BYTES
            ) as poll_session,
        ):
            self.call_session = call_session
            self.poll_session = poll_session
            try:
                while True:
                    _handle(await self.inbox.get(), self)
            finally:
                await self.children.stop()

    async def execute_call(self, call: store.Call) -> store.EraReply:
        """Make one call and return its reply, or its failure.

        After a failure to connect, the call was not applied; after any other failure, such as a
        timeout, it may have been.
        """
        prefixed_call = _prefixed(call, self.prefix)
        http_request = self.dialect.encode(prefixed_call)
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        call_type = type(call).__name__.lower()
        try:
            async with self.call_session.request(
                http_request.method,
                self.url + http_request.path,
                params=http_request.query,
                json=http_request.body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                response_body = await bounded_body.read(response, MAX_REPLY_BYTES)
                self._count_call(call_type, str(response.status))
                reply = self.dialect.decode(prefixed_call, response.status, response_body)
                return store.EraReply(_unprefixed(reply, self.prefix), era=self._era_of(response))
        except aiohttp.ClientConnectorError as error:
            self._count_call(call_type, "unreachable")
            failure = store.CallFailed(may_have_applied=False, detail=type(error).__name__)
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
            self._count_call(call_type, "failed")
            failure = store.CallFailed(may_have_applied=True, detail=type(error).__name__)
        return store.EraReply(failure, era=None)

    async def execute_command(self, command: commands.StoreCall) -> None:
        """Make a call for the core and pass its reply to ``on_reply``; a failure is delayed."""
        async with self.call_slots:
            sent_at = self.time.now()
            era_reply = await self.execute_call(command.call)
        reply = era_reply.reply
        if type(reply) is store.CallFailed:
            self._record_failure(reply.detail)
            await asyncio.sleep(self._backoff_s(self.consecutive_failures))
        else:
            self._record_success()
        message = commands.StoreReply(
            purpose=command.purpose, reply=reply, sent_at=sent_at, era=era_reply.era
        )
        self.on_reply(message)

    def watch(self, command: commands.WatchStore) -> reactivex.Observable:
        """Return an observable of the changes under a prefix after a revision.

        Failed calls of the watch are items too. The last item is ``store.WatchLost``. Each
        subscription runs its own watch, which is cancelled when the subscription is disposed.
        """

        def subscribe(
            observer: reactivex_abc.ObserverBase, scheduler: typing.Any = None
        ) -> reactivex_abc.DisposableBase:
            run_watch = (
                self._run_long_poll if self.dialect.WATCH_BY_POLLING else self._run_streaming_watch
            )
            task = self.children.start(run_watch(command, observer))
            return reactivex.disposable.Disposable(task.cancel)

        return reactivex.create(subscribe)

    def apply_watch_command(self, command: commands.WatchStore) -> None:
        """Start or stop the watch on a prefix; a running watch on the same prefix is replaced."""
        previous_watch = self.watches.pop(command.prefix, None)
        if previous_watch is not None:
            previous_watch.dispose()
        if command.active:
            observable = self.watch(command)
            self.watches[command.prefix] = observable.subscribe(on_next=self.on_watch_event)

    async def _run_streaming_watch(
        self, command: commands.WatchStore, observer: reactivex_abc.ObserverBase
    ) -> None:
        """Read changes from a streaming response until it breaks, then report the loss."""
        detail = "closed"
        body = etcd.watch_request(self.prefix + command.prefix, command.revision)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.timeout_s)
        try:
            async with self.poll_session.post(
                self.url + "/v3/watch", json=body, timeout=timeout
            ) as response:
                async for line in response.content:
                    event = etcd.decode_watch(json.loads(line))
                    if type(event) is store.WatchLost:
                        detail = event.detail
                        break
                    if event.changes:
                        observer.on_next(_unprefixed_change(event, self.prefix))
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
            detail = type(error).__name__
        await asyncio.sleep(INITIAL_BACKOFF_S)
        observer.on_next(store.WatchLost(detail, prefix=command.prefix))
        observer.on_completed()

    async def _run_long_poll(
        self, command: commands.WatchStore, observer: reactivex_abc.ObserverBase
    ) -> None:
        """Poll for changes until the store no longer has the history after the revision.

        That is so as well once the store was restored: the revision then means something else.
        """
        prefix, revision = command.prefix, command.revision
        consecutive_failures = 0
        wait_s = freshness.CONFIRMING_WAIT_S
        while True:
            try:
                sent_at = self.time.now()
                poll = await self._fetch_changes(prefix, revision, wait_s)
                was_restored = None not in (poll.era, command.era) and poll.era != command.era
                if poll.status == self.dialect.STATUS_GONE or was_restored:
                    break
                if poll.status == 200:
                    change = self._decode_changes(poll, prefix, revision)
                    now = self.time.now()
                    change.as_of = freshness.known_until(
                        change, sent_at=sent_at, wait_s=wait_s, now=now
                    )
                    wait_s = freshness.next_wait_s(change.as_of, now, longest_s=self.poll_wait_s)
                    revision = max(revision, change.revision)
                    observer.on_next(change)
                    self._record_success()
                    consecutive_failures = 0
                    # The pause lets changes that follow closely arrive in one poll.
                    await asyncio.sleep(LONG_POLL_PAUSE_S)
                    continue
                detail = f"status {poll.status}"
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, OSError) as error:
                detail = type(error).__name__
            consecutive_failures += 1
            wait_s = freshness.CONFIRMING_WAIT_S
            self._record_failure(detail)
            observer.on_next(store.WatchFailing(detail, prefix=prefix))
            await asyncio.sleep(self._backoff_s(consecutive_failures))
        observer.on_next(
            store.WatchLost(
                "the store no longer has the changes after the watched revision",
                prefix=prefix,
                era=poll.era,
            )
        )
        observer.on_completed()

    def _decode_changes(self, poll: _PollReply, prefix: str, revision: int) -> store.KeysChanged:
        """Return the changes under a prefix after a revision that a poll was answered with."""
        change = self.dialect.decode_watch(self.prefix + prefix, poll.body)
        change = _unprefixed_change(change, self.prefix)
        change.prefix, change.after, change.era = prefix, revision, poll.era
        return change

    async def _fetch_changes(self, prefix: str, revision: int, wait_s: float) -> _PollReply:
        """Poll once for the changes under a prefix after a revision.

        Args:
            prefix: Prefix of the watched keys.
            revision: Revision after which changes are returned.
            wait_s: Longest time that the store waits for a change, in seconds.
        """
        query = self.dialect.watch_query(self.prefix + prefix, revision, wait_s)
        timeout = aiohttp.ClientTimeout(total=wait_s + self.timeout_s)
        result = "failed"
        try:
            async with self.poll_session.get(
                self.url + self.dialect.WATCH_PATH, params=query, timeout=timeout
            ) as response:
                response_body = await bounded_body.read(response, MAX_REPLY_BYTES)
                result = str(response.status)
                return _PollReply(response.status, response_body, self._era_of(response))
        finally:
            self._count_call("watch", result)

    def _era_of(self, response: aiohttp.ClientResponse) -> int | None:
        """Return the era that a reply names, or None.

        Raises:
            ValueError: When the era is not a whole number.
        """
        text = response.headers.get(self.dialect.ERA_HEADER) if self.dialect.ERA_HEADER else None
        return None if text is None else int(text)

    def _count_call(self, call_type: str, result: str) -> None:
        """Count a call by its type and its HTTP status, or ``unreachable`` or ``failed``."""
        labels = (("kind", call_type), ("result", result))
        self.call_counts[labels] = self.call_counts.get(labels, 0) + 1

    def _record_failure(self, detail: str) -> None:
        """Count a failed call; log the store as lost when the limit is reached."""
        self.consecutive_failures += 1
        if self.consecutive_failures == STORE_LOST_FAILURES:
            self.log.write(events.Event.STORE_LOST, detail=detail)

    def _record_success(self) -> None:
        """Reset the count of failed calls; log a lost store as found again."""
        if self.consecutive_failures >= STORE_LOST_FAILURES:
            self.log.write(events.Event.STORE_FOUND)
        self.consecutive_failures = 0

    def _backoff_s(self, consecutive_failures: int) -> float:
        """Return the exponential delay after a number of failures, in seconds, with jitter."""
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(consecutive_failures, 8))
        return backoff_s * (0.5 + self.rng.random() / 2)


@functools.singledispatch
def _handle(message: typing.Any, client: StoreClient) -> None:
    """Start what a message of the inbox asks for."""
    raise TypeError(type(message))


@_handle.register
def _(message: commands.StoreCall, client: StoreClient) -> None:
    client.children.start(client.execute_command(message))


@_handle.register
def _(message: commands.WatchStore, client: StoreClient) -> None:
    client.apply_watch_command(message)


@functools.singledispatch
def _prefixed(call: typing.Any, prefix: str) -> typing.Any:
    """Return a call, commit or change with the prefix added to its keys."""
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
    commits = [_prefixed(commit, prefix) for commit in call.commits]
    return store.CommitMany(commits, reads_back=call.reads_back)


@_prefixed.register
def _(change: store.Put, prefix: str) -> store.Put:
    return store.Put(prefix + change.key, change.value, lease=change.lease)


@_prefixed.register
def _(change: store.Delete, prefix: str) -> store.Delete:
    return store.Delete(prefix + change.key)


@functools.singledispatch
def _unprefixed(reply: typing.Any, prefix: str) -> typing.Any:
    """Return a reply with the prefix removed from its keys."""
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
    """Return a change of watched keys with the prefix removed from the keys."""
    changes = [
        store.KeyChange(
            entry.key.removeprefix(prefix),
            _unprefixed_item(entry.item, prefix) if entry.item is not None else None,
            revision=entry.revision,
        )
        for entry in change.changes
    ]
    return store.KeysChanged(changes, revision=change.revision)


def _unprefixed_item(item: store.KeyValue, prefix: str) -> store.KeyValue:
    """Return a stored item with the prefix removed from its key."""
    return store.KeyValue(
        key=item.key.removeprefix(prefix), value=item.value, revision=item.revision
    )
