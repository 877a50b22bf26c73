"""The HTTP client for upstreams of published routes, over pooled connections."""

from __future__ import annotations

import asyncio
import collections
import functools
import typing

import h11

from yuccahitch import clock, errors, events
from yuccahitch.messages import actions, upstream_notices
from yuccahitch.tasks import (
    answer_stream,
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
        except (OSError, TimeoutError) as error:
            await stream.put(
                replica_exchange.failure(
                    action, errors.Code.UPSTREAM_REFUSED, error, may_have_run=False
                )
            )
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
        """
        pool = self.pools.get(action.address, collections.deque())
        now = self.time.now()
        for connection in reversed(list(pool)):
            if not _is_reusable(connection, now):
                pool.remove(connection)
                self._close_pooled(connection, action.address)
            elif _may_share(action) and connection.may_carry(action.request.id):
                pool.remove(connection)
                connection.protocol.idle = False
                return connection
        if pool:
            self._close_pooled(pool.popleft(), action.address)
            # The socket is closed a turn of the loop later.
            await asyncio.sleep(0)
        return await self._open_connection(action)

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
        http_state = connection.http_state
        both_done = http_state.our_state is h11.DONE and http_state.their_state is h11.DONE
        if not both_done or http_state.trailing_data[0] or connection.is_used_up():
            return False
        if not _may_share(action) or not _is_reusable(connection, self.time.now()):
            return False
        http_state.start_next_cycle()
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


@functools.singledispatch
def _handle(message: typing.Any, client: ReplicaClient) -> None:
    """Start the attempt that a message of the inbox asks for."""
    raise TypeError(type(message))


@_handle.register
def _(message: upstream_client.OpenDispatch, client: ReplicaClient) -> None:
    message.stream.start(client.children, client.run_attempt(message.action, message.stream))
