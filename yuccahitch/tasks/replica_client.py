"""The HTTP client for upstreams of published routes, over pooled connections."""

from __future__ import annotations

import asyncio
import collections
import functools
import typing

from yuccahitch import clock, errors, events
from yuccahitch.messages import actions, upstream_notices
from yuccahitch.tasks import (
    answer_stream,
    incarnation_check,
    mailbox,
    replica_connection,
    replica_exchange,
    tcp_connection,
    upstream_client,
)

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_PER_ADDRESS = 64
# Method whose answers end with their heads. What follows a head that came again can't be told from
# its body where requests of this method share a connection with others.
BODILESS_METHOD = "HEAD"


class ReplicaClient:
    """Owns the connections to upstreams that are reached by their address.

    Args:
        time: Source of monotonic time.
        log: Event log.
        on_notice: Called with what the head of each answer says of its upstream.

    Attributes:
        inbox: Messages for this task, ``upstream_client.OpenDispatch``.
        children: Tasks of the running attempts.
        pools: Idle connections by address, the most recently used one last.
        opened_total: Connections that this client tried to open.
    """

    __slots__ = ("time", "log", "on_notice", "inbox", "children", "pools", "opened_total")

    def __init__(
        self,
        *,
        time: clock.Clock,
        log: events.Log,
        on_notice: typing.Callable[[upstream_notices.UpstreamNotice], None],
    ) -> None:
        self.time = time
        self.log = log
        self.on_notice = on_notice
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.ChildTasks()
        self.pools: dict[str, collections.deque[replica_connection.Connection]] = {}
        self.opened_total = 0

    async def run(self) -> None:
        """Start an attempt for each message of the inbox; close idle connections when cancelled."""
        try:
            while True:
                _handle(await self.inbox.get(), self)
        finally:
            await self.children.stop()
            for pool in self.pools.values():
                for connection in pool:
                    connection.protocol.close()

    async def run_attempt(
        self, action: actions.Dispatch, stream: answer_stream.AnswerStream
    ) -> None:
        """Send a request to its upstream and put the answer, or the failure, into the stream.

        The connection goes back to the pool after a complete answer and is closed otherwise.
        """
        try:
            connection = await self._take_connection(action)
        except (*replica_connection.CONNECTION_ERRORS, TimeoutError) as error:
            await _put_not_run(action, stream, errors.Code.UPSTREAM_REFUSED, error)
            return
        except incarnation_check.StartError as error:
            if error.is_other:
                self.on_notice(_replacement_notice(action))
            await _put_not_run(action, stream, errors.Code.UPSTREAM_REPLACED, error)
            return
        answer_complete, cause = False, "given up"
        try:
            exchange = replica_exchange.Exchange(
                action, stream, connection, self.log, self.on_notice
            )
            answer_complete = await exchange.run(self.time.now())
            cause = "the rest of the answer is not read"
        except replica_connection.CONNECTION_ERRORS as error:
            cause = str(error) or type(error).__name__
            # Bytes that are no answer don't show that the upstream crashed; a lost connection does.
            crashed = connection.protocol.eof_reached or connection.protocol.closed
            await stream.put(
                replica_exchange.failure(
                    action, errors.Code.UPSTREAM_FAILED, error, crashed=crashed
                )
            )
        except replica_connection.InvalidAnswerError as error:
            cause = str(error)
            await stream.put(replica_exchange.failure(action, errors.Code.UPSTREAM_FAILED, error))
        finally:
            if not answer_complete:
                self._log_closed(action, connection, cause)
                connection.protocol.abort()
            elif not self._return_to_pool(action, connection):
                connection.protocol.close()

    def _log_closed(
        self, action: actions.Dispatch, connection: replica_connection.Connection, cause: str
    ) -> None:
        """Log that an attempt ends before its answer does."""
        self.log.write(
            events.Event.ATTEMPT_CLOSED,
            request=action.request.id,
            attempt=action.attempt,
            upstream=action.upstream,
            connection=connection.number,
            cause=cause,
        )

    async def _take_connection(self, action: actions.Dispatch) -> replica_connection.Connection:
        """Return a connection from the pool that may carry the request, or open a new one.

        A new one replaces the oldest idle one, so that request ids that come again don't add to the
        connections of an upstream.

        Raises:
            OSError: When the upstream refuses a connection, or it breaks before the report.
            TimeoutError: When a connection does not open in time, or the report does not come.
            h11.RemoteProtocolError: When the report is not valid HTTP.
            incarnation_check.StartError: When it leads to no start that may get the request.
        """
        pool = self.pools.get(action.address, collections.deque())
        now = self.time.now()
        for connection in reversed(list(pool)):
            if not _is_reusable(connection, now):
                pool.remove(connection)
                self._close_pooled(connection, action.address)
            elif (
                _may_share(action)
                and connection.may_carry(action.request.id)
                and _is_at_start(connection, action)
            ):
                pool.remove(connection)
                connection.protocol.idle = False
                return connection
        if action.required_start is not None and _may_share(action):
            connection = await self._ask_idle(pool, action)
            if connection is not None:
                return connection
        if pool:
            self._close_pooled(pool.popleft(), action.address)
            # The socket is closed a turn of the loop later.
            await asyncio.sleep(0)
        if action.required_start is None:
            return await self._open_connection(action)
        return await self._open_checked(action)

    async def _ask_idle(
        self, pool: collections.deque[replica_connection.Connection], action: actions.Dispatch
    ) -> replica_connection.Connection | None:
        """Return an idle connection that leads to the start that a request is bound to, or None.

        One that was opened for other requests is asked now.

        Raises:
            TimeoutError: When the report does not come.
            incarnation_check.StartError: When it leads to no start that may get the request.
        """
        unasked = [
            connection
            for connection in pool
            if connection.born_ms is None and connection.may_carry(action.request.id)
        ]
        if not unasked:
            return None
        connection = unasked[-1]
        pool.remove(connection)
        connection.protocol.idle = False
        try:
            await self._check(connection, action)
        except replica_connection.CONNECTION_ERRORS:
            return None
        return connection if _begin_next(connection) else None

    async def _open_checked(self, action: actions.Dispatch) -> replica_connection.Connection:
        """Open a connection that leads to the start of the upstream that a request is bound to.

        Raises:
            OSError, TimeoutError, h11.RemoteProtocolError, incarnation_check.StartError: As
                ``_take_connection``.
        """
        connection = await self._open_connection(action)
        await self._check(connection, action)
        if _begin_next(connection):
            return connection
        # It takes a connection for each request. What a later one tells holds for the earlier one.
        connection = await self._open_connection(action)
        try:
            witness = await self._open_connection(action)
            await self._check(witness, action)
        except BaseException:
            connection.protocol.abort()
            raise
        witness.protocol.close()
        connection.born_ms = witness.born_ms
        return connection

    async def _check(
        self, connection: replica_connection.Connection, action: actions.Dispatch
    ) -> None:
        """Check where a new connection leads; it is closed if it can't be told or won't do."""
        try:
            self.on_notice(await incarnation_check.check(connection, action))
        except BaseException as error:
            self._log_closed(action, connection, str(error) or type(error).__name__)
            connection.protocol.abort()
            raise

    async def _open_connection(self, action: actions.Dispatch) -> replica_connection.Connection:
        """Open a connection to the upstream of an attempt.

        Raises:
            OSError: When the upstream refuses it.
            TimeoutError: When it does not open within CONNECT_TIMEOUT_S.
        """
        host, _, port = action.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened_total += 1
        number = self.opened_total
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, wire_protocol = await loop.create_connection(
                tcp_connection.TcpConnection, host.strip("[]"), int(port)
            )
        return replica_connection.Connection(wire_protocol, number=number)

    def _return_to_pool(
        self, action: actions.Dispatch, connection: replica_connection.Connection
    ) -> bool:
        """Put a connection back into the pool; return False if it cannot be reused."""
        if not connection.is_ready() or connection.is_used_up():
            return False
        if not _may_share(action) or not _is_reusable(connection, self.time.now()):
            return False
        connection.http_state.start_next_cycle()
        pool = self.pools.setdefault(action.address, collections.deque(maxlen=MAX_IDLE_PER_ADDRESS))
        if len(pool) == MAX_IDLE_PER_ADDRESS:
            self._close_pooled(pool.popleft(), action.address)
        connection.protocol.idle = True
        pool.append(connection)
        return True

    def close_idle_connections(self, now: float) -> None:
        """Close the pooled connections that expired or were closed by the upstream.

        Called periodically by the process.
        """
        for address, pool in list(self.pools.items()):
            while pool and not _is_reusable(pool[0], now):
                self._close_pooled(pool.popleft(), address)
            if not pool:
                del self.pools[address]

    def _close_pooled(self, connection: replica_connection.Connection, address: str) -> None:
        """Close an idle connection; log that bytes arrived on it, if any did."""
        if connection.protocol.received_idle:
            self.log.write(
                events.Event.ANSWER_DROPPED,
                address=address,
                connection=connection.number,
                detail="bytes arrived on an idle connection",
            )
        connection.protocol.close()


def _may_share(action: actions.Dispatch) -> bool:
    """Return whether a request may go over a connection that carries others."""
    return action.request.method != BODILESS_METHOD


def _is_reusable(connection: replica_connection.Connection, now: float) -> bool:
    """Return whether an idle connection is still open and within its keep-alive time."""
    return connection.reusable_until > now and connection.protocol.is_idle()


def _begin_next(connection: replica_connection.Connection) -> bool:
    """Prepare a connection for the request after a report; close it if it can't carry one."""
    if not connection.is_ready():
        connection.protocol.close()
        return False
    connection.http_state.start_next_cycle()
    return True


def _is_at_start(connection: replica_connection.Connection, action: actions.Dispatch) -> bool:
    """Return whether an idle connection is known to lead where a request may go."""
    required = action.required_start
    if required is None:
        return True
    return connection.born_ms is not None and required.admits(connection.born_ms)


async def _put_not_run(
    action: actions.Dispatch,
    stream: answer_stream.AnswerStream,
    code: errors.Code,
    cause: Exception,
) -> None:
    """Put the failure of an attempt that was not sent into the stream."""
    await stream.put(replica_exchange.failure(action, code, cause, may_have_run=False))


def _replacement_notice(action: actions.Dispatch) -> upstream_notices.UpstreamNotice:
    """Return the notice that an upstream has started again."""
    return upstream_notices.UpstreamNotice(
        action.upstream, incarnation=action.incarnation, replaced=True
    )


@functools.singledispatch
def _handle(message: typing.Any, client: ReplicaClient) -> None:
    """Start the attempt that a message of the inbox asks for."""
    raise TypeError(type(message))


@_handle.register
def _(message: upstream_client.OpenDispatch, client: ReplicaClient) -> None:
    message.stream.start(client.children, client.run_attempt(message.action, message.stream))
