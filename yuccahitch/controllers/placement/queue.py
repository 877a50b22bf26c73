"""A queue of requests that wait for a place at an upstream, fair between client accounts.

Source: start-time fair queuing, Goyal, Vin and Cheng, 1996, with two lanes for each account: short
requests and long ones.
"""

from __future__ import annotations

import collections
import itertools
import typing

from yuccahitch import records
from yuccahitch.controllers.placement import rules as policy

# An account with both kinds of requests gets one long request through after four short ones.
SHORT_REQUESTS_PER_LONG = 4


class QueuedRequest(records.Record):
    """A request in the queue.

    Attributes:
        request_id: Id of the request.
        account: Name of its client account.
        service: Name of its service.
        weight: Fair-queuing weight of the account.
        cost: Estimated work, in output tokens.
        is_long: Whether it counts as a long request.
        expires_at: When it stops waiting and is refused, in monotonic seconds.
    """

    __slots__ = ("request_id", "account", "service", "weight", "cost", "is_long", "expires_at")

    def __init__(
        self,
        *,
        request_id: str,
        account: str,
        service: str,
        weight: float,
        cost: float,
        is_long: bool,
        expires_at: float,
    ) -> None:
        self.request_id = request_id
        self.account = account
        self.service = service
        self.weight = weight
        self.cost = cost
        self.is_long = is_long
        self.expires_at = expires_at


class AccountQueue:
    """The queued requests of one account for one service.

    Attributes:
        short_requests: The lane of short requests, in order of arrival.
        long_requests: The lane of long requests, in order of arrival.
        virtual_start: Virtual start time of the next request; the account with the lowest goes
            first.
        requests_taken: Number of requests taken from the lanes so far.
        cost: Sum of the costs of the queued requests, in output tokens.
        weight: Fair-queuing weight of the account.
    """

    __slots__ = (
        "short_requests",
        "long_requests",
        "virtual_start",
        "requests_taken",
        "cost",
        "weight",
    )

    def __init__(self) -> None:
        self.short_requests: collections.deque[QueuedRequest] = collections.deque()
        self.long_requests: collections.deque[QueuedRequest] = collections.deque()
        self.virtual_start = 0.0
        self.requests_taken = 0
        self.cost = 0.0
        self.weight = 1.0


class RequestQueue:
    """Queues requests by service and, within a service, by client account.

    Args:
        capacity: Largest number of requests in the queue.
        rules: Placement rules in force. Without ``fair_queue`` all accounts share one queue with
            the account key "".

    Attributes:
        account_queues: Queues by service and account key.
        virtual_times: Virtual time by service, as in start-time fair queuing.
        queued_costs: Sum of the costs of the queued requests by service, in output tokens.
        size: Number of requests in the queue.
    """

    __slots__ = ("capacity", "rules", "account_queues", "virtual_times", "queued_costs", "size")

    def __init__(self, *, capacity: int = 512, rules: policy.Rules | None = None) -> None:
        self.capacity = capacity
        self.rules = rules or policy.Rules()
        self.account_queues: dict[str, dict[str, AccountQueue]] = {}
        self.virtual_times: dict[str, float] = {}
        self.queued_costs: dict[str, float] = {}
        self.size = 0

    def add(self, request: QueuedRequest) -> bool:
        """Append a request to its lane; return False if the queue is full."""
        if self.size >= self.capacity:
            return False
        account_key = request.account if self.rules.fair_queue else ""
        account_queue = self.account_queues.setdefault(request.service, {}).setdefault(
            account_key, AccountQueue()
        )
        if not account_queue.short_requests and not account_queue.long_requests:
            account_queue.virtual_start = max(
                account_queue.virtual_start, self.virtual_times.get(request.service, 0.0)
            )
        self._lane_of(account_queue, request).append(request)
        account_queue.cost += request.cost
        account_queue.weight = request.weight
        self.size += 1
        self.queued_costs[request.service] = (
            self.queued_costs.get(request.service, 0.0) + request.cost
        )
        return True

    def pop(self, service: str, *, allow_long: bool = True) -> QueuedRequest | None:
        """Remove and return the next request of a service, or None if there is none.

        Args:
            service: Name of the service.
            allow_long: Whether a long request may be taken.
        """
        account_queues = self.account_queues.get(service, {})
        eligible = [
            (account_queue.virtual_start, account_key)
            for account_key, account_queue in account_queues.items()
            if account_queue.short_requests or (account_queue.long_requests and allow_long)
        ]
        if not eligible:
            return None
        virtual_start, account_key = min(eligible)
        account_queue = account_queues[account_key]
        request = self._pop_next(account_queue, allow_long)
        self.virtual_times[service] = max(self.virtual_times.get(service, 0.0), virtual_start)
        account_queue.virtual_start = virtual_start + request.cost / request.weight
        self._drop_if_idle(request.service, account_key)
        self._record_removal(request)
        return request

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request, wherever it is queued; None if it is not."""
        for request in self._iter_requests():
            if request.request_id == request_id:
                return self._remove_request(request)
        return None

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that have expired."""
        return [
            self._remove_request(request)
            for request in list(self._iter_requests())
            if now >= request.expires_at
        ]

    def queued_cost(self, service: str) -> float:
        """Return the cost of all requests queued for a service, in output tokens."""
        return self.queued_costs.get(service, 0.0)

    def work_ahead(self, service: str, account: str, *, weight: float, cost: float) -> float:
        """Return the work that would be served before a new request, in output tokens.

        Of another account's queue, only as much counts as fair queuing would serve before the
        new request.

        Args:
            service: Name of the service.
            account: Name of the account of the new request.
            weight: Fair-queuing weight of the account.
            cost: Cost of the new request, in output tokens.
        """
        account_queues = self.account_queues.get(service, {})
        account_key = account if self.rules.fair_queue else ""
        own_cost = account_queues[account_key].cost if account_key in account_queues else 0.0
        weighted_cost = (own_cost + cost) / weight
        return own_cost + sum(
            min(account_queue.cost, weighted_cost * account_queue.weight)
            for name, account_queue in account_queues.items()
            if name != account_key
        )

    def waiting_services(self) -> list[str]:
        """Return the services that have queued requests."""
        return [
            service
            for service, account_queues in self.account_queues.items()
            if any(
                account_queue.short_requests or account_queue.long_requests
                for account_queue in account_queues.values()
            )
        ]

    def _iter_requests(self) -> typing.Iterator[QueuedRequest]:
        """Iterate over all queued requests of all services and accounts."""
        account_queues = itertools.chain.from_iterable(
            account_queues.values() for account_queues in self.account_queues.values()
        )
        return itertools.chain.from_iterable(
            itertools.chain(account_queue.short_requests, account_queue.long_requests)
            for account_queue in account_queues
        )

    def _lane_of(
        self, account_queue: AccountQueue, request: QueuedRequest
    ) -> collections.deque[QueuedRequest]:
        """Return the lane of an account's queue that a request belongs to."""
        return (
            account_queue.long_requests
            if request.is_long and self.rules.short_lane
            else account_queue.short_requests
        )

    def _pop_next(self, account_queue: AccountQueue, allow_long: bool) -> QueuedRequest:
        """Remove and return the next request of an account; prefers short requests."""
        account_queue.requests_taken += 1
        long_turn = account_queue.requests_taken % (SHORT_REQUESTS_PER_LONG + 1) == 0
        if (
            account_queue.long_requests
            and allow_long
            and (long_turn or not account_queue.short_requests)
        ):
            return account_queue.long_requests.popleft()
        return account_queue.short_requests.popleft()

    def _remove_request(self, request: QueuedRequest) -> QueuedRequest:
        """Remove a request from its lane, without charging it to its account."""
        account_key = request.account if self.rules.fair_queue else ""
        account_queues = self.account_queues[request.service]
        self._lane_of(account_queues[account_key], request).remove(request)
        self._drop_if_idle(request.service, account_key)
        self._record_removal(request)
        return request

    def _drop_if_idle(self, service: str, account_key: str) -> None:
        """Drop an account's queue if it is empty and its virtual start time has been reached.

        A later virtual start is kept: it delays the account for work that it already got.
        """
        account_queue = self.account_queues[service][account_key]
        if (
            not account_queue.short_requests
            and not account_queue.long_requests
            and account_queue.virtual_start <= self.virtual_times.get(service, 0.0)
        ):
            del self.account_queues[service][account_key]

    def _record_removal(self, request: QueuedRequest) -> None:
        """Subtract a removed request from the queue's size and costs."""
        account_key = request.account if self.rules.fair_queue else ""
        account_queue = self.account_queues[request.service].get(account_key)
        if account_queue is not None:
            account_queue.cost -= request.cost
        self.size -= 1
        self.queued_costs[request.service] -= request.cost
