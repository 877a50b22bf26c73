"""Token rate and burst of client accounts over the whole fleet, without a central counter.

Each instance spends the slice of an account's rate that the store records for it. When it runs out
of tokens, it borrows parts and tokens from the other holders for a short term. docs/DESIGN.md,
"Rate and burst", has the argument why the fleet never exceeds the rate and burst.
"""

from __future__ import annotations

import itertools
import math
import typing

from yuccahitch import errors, events, records
from yuccahitch.controllers.members import membership, rendezvous
from yuccahitch.controllers.rates import _holding, session, slice_knowledge, token_waiter
from yuccahitch.messages import commands, peers
from yuccahitch.resources import rate as rates

# Name of the decision step in errors.
STEP = "rate"
PARTS_PER_RATE = _holding.PARTS_PER_RATE
# Fraction of a loan's term after which the borrower returns it.
LOAN_RETURN_FRACTION = 0.6
# Time that a new waiter of an account waits after another began to ask lenders, in seconds.
MIN_ROUND_INTERVAL_S = 0.2
# Pause before the holders of a new record are asked again, in seconds.
LENDER_RETRY_S = 0.1
MAX_LENDERS_PER_ROUND = 8
INITIAL_HOLDERS_PER_REGION = 2
# Bounds of the time after which a refused caller is told to retry, in seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 60.0


class LoanRequest(records.Record):
    """Purpose of the call that asks a peer for a loan.

    Attributes:
        account: Name of the client account.
        loan_id: Id of the loan.
        request_id: Id of the request that waits for the tokens.
        lender: Instance id of the peer.
    """

    __slots__ = ("account", "loan_id", "request_id", "lender")

    def __init__(self, *, account: str, loan_id: str, request_id: str, lender: str) -> None:
        self.account = account
        self.loan_id = loan_id
        self.request_id = request_id
        self.lender = lender


class RateLimiter:
    """Reserves, settles, lends and borrows tokens of the client accounts.

    Args:
        instance: Id of this instance.
        members: The live instances.
        store_session: Decides whether the own slices may be spent.
        term_s: Longest loan, in seconds.
        drift_s: Margin for differences between clocks, in seconds.
        gather_s: Longest wait of a request for tokens from peers, in seconds.

    Attributes:
        holdings: What this instance may use of each account's rate, by account.
        knowledge: What is known of the holders of slices.
        waiters: Requests that wait for tokens, by account and request id, oldest first.
        round_allowed_at: When the next waiter of an account may ask lenders, in monotonic seconds.
        loan_numbers: Source of numbers for loan ids.
        may_lend: Whether peers may borrow here; False once the instance shuts down.
    """

    __slots__ = (
        "instance",
        "members",
        "store_session",
        "term_s",
        "drift_s",
        "gather_s",
        "holdings",
        "knowledge",
        "waiters",
        "round_allowed_at",
        "loan_numbers",
        "may_lend",
        "outbox",
    )

    def __init__(
        self,
        instance: str,
        members: membership.Membership,
        store_session: session.Session,
        *,
        term_s: float = 5.0,
        drift_s: float = 0.5,
        gather_s: float = 0.5,
    ) -> None:
        self.instance = instance
        self.members = members
        self.store_session = store_session
        self.term_s = term_s
        self.drift_s = drift_s
        self.gather_s = gather_s
        self.holdings: dict[str, _holding.Holding] = {}
        self.knowledge = slice_knowledge.SliceKnowledge(instance, store_session)
        self.waiters: dict[str, dict[str, token_waiter.TokenWaiter]] = {}
        self.round_allowed_at: dict[str, float] = {}
        self.loan_numbers = itertools.count(1)
        self.may_lend = True
        self.outbox: list[commands.Command] = []

    def current_holding(self, rate: rates.Rate, now: float) -> _holding.Holding:
        """Return an account's holding, created or updated to the rate and the time as needed."""
        holding = self.holdings.get(rate.name)
        if holding is None:
            holding = self.holdings[rate.name] = _holding.Holding(rate, now)
        elif holding.rate is not rate:
            holding.set_rate(rate, now)
        holding.update(now)
        return holding

    def reserve(self, rate: rates.Rate, request_id: str, tokens: int, now: float) -> bool:
        """Spend tokens for a request if this instance has enough; return whether it had."""
        holding = self.current_holding(rate, now)
        holding.record_demand(tokens, now)
        return holding.spend(request_id, tokens, own_usable=self.store_session.may_spend(now))

    def settle(self, account: str, request_id: str, unused: float, now: float) -> None:
        """Refund the unused tokens of a finished request."""
        holding = self.holdings.get(account)
        if holding is not None:
            holding.update(now)
            holding.settle(request_id, unused)
            self._wake_served(holding, now)

    def cancel(self, account: str, request_id: str) -> None:
        """Drop a waiting request that is over."""
        self.waiters.get(account, {}).pop(request_id, None)

    def borrow_for_request(
        self, rate: rates.Rate, request_id: str, tokens: int, deadline: float, now: float
    ) -> None:
        """Begin to borrow tokens for a request from the other holders.

        The request is woken with ``Granted`` once the tokens are there, or with ``Denied`` when
        they can't be had in time.

        Args:
            rate: Rate and burst of the client account.
            request_id: Id of the request.
            tokens: Tokens that the request needs.
            deadline: Deadline of the request, in monotonic seconds; the wait may end sooner.
            now: Monotonic seconds.
        """
        waiter = token_waiter.TokenWaiter(
            request_id, tokens=tokens, waiting_since=now, deadline=deadline
        )
        self.knowledge.record_wait(rate.name, now)
        self.waiters.setdefault(rate.name, {})[request_id] = waiter
        waiter.next_round_at = max(now, self.round_allowed_at.get(rate.name, 0.0))
        self._check_waiter(self.holdings[rate.name], waiter, now)

    def record_holders(self, account: str, holders: tuple[str, ...], now: float) -> None:
        """Record the holders of an account; when they become known, waiting requests ask them."""
        if not self.knowledge.record_holders(account, holders, now):
            return
        for waiter in list(self.waiters.get(account, {}).values()):
            waiter.lender_rounds = self._plan_lender_rounds(account)
            self._ask_next_lenders(account, waiter, now)

    def lend(self, request: peers.LoanRequest, now: float) -> peers.Loan:
        """Lend tokens to a peer that asks for them; return the loan, of 0 parts if refused."""
        holding = self.holdings.get(request.account)
        holders = self.knowledge.holders.get(request.account, ())
        no_loan = peers.Loan(loan_id=request.loan_id, parts=0, tokens=0.0, holders=holders)
        may_spend_own = self.may_lend and self.store_session.may_spend(now)
        if holding is None or not may_spend_own or request.loan_id in holding.outgoing_loans:
            return no_loan
        if not request.tokens > 0:
            # Demand below zero would let the rebalancing give away more parts than there are.
            log_event = commands.LogEvent(
                events.Event.PEER_GARBAGE,
                peer=request.borrower,
                detail=f"a loan of {request.tokens} tokens was requested",
            )
            self.outbox.append(log_event)
            return no_loan
        holding.update(now)
        holding.requested_by_peer[request.borrower] = (
            holding.requested_by_peer.get(request.borrower, 0.0) + request.tokens
        )
        if self._has_older_waiter(request, now):
            return no_loan
        tokens = min(request.tokens, holding.own_bucket.level)
        parts = min(holding.parts_to_cover(tokens), holding.unlent_parts())
        tokens = min(tokens, holding.burst_of(parts))
        if parts <= 0 or tokens <= 0:
            return no_loan
        expires_at = now + self.term_s + self.drift_s
        loan = _holding.OutgoingLoan(borrower=request.borrower, parts=parts, expires_at=expires_at)
        holding.lend(request.loan_id, loan, tokens)
        log_event = commands.LogEvent(
            events.Event.LOAN_GRANTED,
            account=request.account,
            borrower=request.borrower,
            parts=parts,
            tokens=round(tokens),
        )
        self.outbox.append(log_event)
        return peers.Loan(loan_id=request.loan_id, parts=parts, tokens=tokens, holders=holders)

    def _has_older_waiter(self, request: peers.LoanRequest, now: float) -> bool:
        """Return whether a request here has waited longer than the borrower's request."""
        waiters = self.waiters.get(request.account)
        if not waiters:
            return False
        oldest = now - next(iter(waiters.values())).waiting_since
        return (oldest, self.instance) > (request.waited_s, request.borrower)

    def accept_loan_return(self, message: peers.ReturnLoan, now: float) -> None:
        """Process a loan that a peer returns early; its tokens serve waiting requests."""
        holding = self.holdings.get(message.account)
        if holding is not None:
            holding.update(now)
            holding.accept_loan_return(message.loan_id, message.tokens)
            self._wake_served(holding, now)

    def on_loan_reply(
        self, purpose: LoanRequest, loan: peers.Loan | None, sent_at: float, now: float
    ) -> None:
        """Process a peer's reply to a loan request.

        Args:
            purpose: The loan request.
            loan: The reply, or None when the call failed.
            sent_at: When the request was sent, in monotonic seconds; the term begins here.
            now: Monotonic seconds.
        """
        holding = self.holdings[purpose.account]
        holding.update(now)
        expires_at = sent_at + self.term_s
        if loan is not None and loan.parts > 0 and now < expires_at:
            incoming_loan = _holding.IncomingLoan(
                lender=purpose.lender,
                parts=loan.parts,
                expires_at=expires_at,
                return_at=sent_at + self.term_s * LOAN_RETURN_FRACTION,
            )
            holding.borrow(purpose.loan_id, incoming_loan, loan.tokens)
            log_event = commands.LogEvent(
                events.Event.LOAN_TAKEN,
                account=purpose.account,
                lender=purpose.lender,
                parts=loan.parts,
                tokens=round(loan.tokens),
            )
            self.outbox.append(log_event)
        if loan is not None and loan.holders:
            self.knowledge.record_informed(purpose.account, purpose.lender)
        if loan is not None and loan.holders and purpose.account not in self.knowledge.holders:
            self.record_holders(purpose.account, loan.holders, now)
        waiter = self.waiters.get(purpose.account, {}).get(purpose.request_id)
        if waiter is not None:
            waiter.pending_lenders.discard(purpose.lender)
        self._wake_served(holding, now)
        if waiter is not None and waiter.request_id in self.waiters.get(purpose.account, {}):
            self._ask_next_lenders(purpose.account, waiter, now)

    def tick(self, now: float) -> None:
        """Serve or refuse waiting requests and return the loans that are due."""
        for holding in self.holdings.values():
            if not holding.incoming_loans and not self.waiters.get(holding.account):
                continue
            holding.update(now)
            self._wake_served(holding, now)
            self._return_due_loans(holding, now)
            for waiter in list(self.waiters.get(holding.account, {}).values()):
                self._check_waiter(holding, waiter, now)

    def _check_waiter(
        self, holding: _holding.Holding, waiter: token_waiter.TokenWaiter, now: float
    ) -> None:
        """Deny a request whose wait has expired, or begin its next round of loan requests."""
        if now >= self._wait_ends_at(waiter, holding.account, now):
            self._deny(holding, waiter, now)
        elif now >= waiter.next_round_at:
            waiter.next_round_at = math.inf
            waiter.lender_rounds = self._plan_lender_rounds(holding.account)
            self.round_allowed_at[holding.account] = now + MIN_ROUND_INTERVAL_S
            self._ask_next_lenders(holding.account, waiter, now)

    def _wait_ends_at(self, waiter: token_waiter.TokenWaiter, account: str, now: float) -> float:
        """Return when a waiting request is refused, in monotonic seconds."""
        since = waiter.waiting_since
        earliest = self.knowledge.earliest_refusal_at(account, since, now)
        return min(waiter.deadline, max(since + self.gather_s, earliest))

    def drop_own_slices(self, now: float) -> None:
        """Set all own slices to 0 parts, as the session under which they were read has ended."""
        for holding in self.holdings.values():
            holding.update(now)
            holding.set_own_parts(0, now)
            holding.own_bucket.clamp(0.0)
        self.knowledge.own_slices_read = False

    def mark_own_slices_read(self) -> None:
        """Record that the records of all slices were read under the present session."""
        self.knowledge.own_slices_read = True

    def return_all_loans(self, now: float) -> None:
        """Return all loans and stop lending when the instance shuts down."""
        self.may_lend = False
        for holding in self.holdings.values():
            holding.update(now)
            for loan_id in list(holding.incoming_loans):
                self._return_loan(holding, loan_id)

    def retry_after(self, rate: rates.Rate, tokens: int, now: float) -> float:
        """Return the estimated time until a number of tokens is available, in seconds."""
        holding = self.current_holding(rate, now)
        parts = holding.unlent_parts() + holding.borrowed_parts()
        refill_per_s = max(
            rate.tokens_per_s * parts / PARTS_PER_RATE, rate.tokens_per_s / 100, 1e-9
        )
        missing = tokens - holding.available(own_usable=self.store_session.may_spend(now))
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, missing / refill_per_s))

    def _plan_lender_rounds(self, account: str) -> list[list[peers.InstanceInfo]]:
        """Return the holders to ask for a loan: first those of the own region, then the others."""
        holders = self.knowledge.holders.get(account) or self._initial_holders(account)
        infos = [
            info
            for info in map(self.members.find, holders)
            if info is not None and info.instance != self.instance
        ]
        same_region = [info for info in infos if info.region == self.members.own.region]
        other_regions = [info for info in infos if info.region != self.members.own.region]
        return [group[:MAX_LENDERS_PER_ROUND] for group in (same_region, other_regions) if group]

    def _initial_holders(self, account: str) -> list[str]:
        """Return the probable holders of an account whose record is not known here."""
        infos = self.members.serving()
        return [
            name
            for region in sorted({info.region for info in infos})
            for name in initial_holders(account, infos, region)
        ]

    def _ask_next_lenders(self, account: str, waiter: token_waiter.TokenWaiter, now: float) -> None:
        """Ask the next round of lenders once the last one has answered.

        When no round is left and no other request waits for an answer, the request is denied or
        tried again.
        """
        if waiter.pending_lenders:
            return
        holding = self.holdings[account]
        if not waiter.lender_rounds:
            others_wait = any(other.pending_lenders for other in self.waiters[account].values())
            if not others_wait and account in self.knowledge.holders:
                self._deny_or_retry(holding, waiter, now)
            return
        missing = self._missing_tokens(holding, waiter, now)
        for info in waiter.lender_rounds.pop(0):
            waiter.pending_lenders.add(info.instance)
            self._request_loan(holding, waiter, info, missing, now)

    def _missing_tokens(
        self, holding: _holding.Holding, waiter: token_waiter.TokenWaiter, now: float
    ) -> float:
        """Return the tokens that a waiting request lacks once those before it have theirs."""
        waiters = self.waiters[holding.account].values()
        before = itertools.takewhile(lambda other: other is not waiter, waiters)
        available = holding.available(own_usable=self.store_session.may_spend(now))
        return waiter.tokens - max(0.0, available - sum(other.tokens for other in before))

    def _deny_or_retry(
        self, holding: _holding.Holding, waiter: token_waiter.TokenWaiter, now: float
    ) -> None:
        """Deny a request, or ask again when the holders may not know their new slices yet."""
        if not self.knowledge.are_settled(holding.account, now):
            waiter.next_round_at = now + LENDER_RETRY_S
        else:
            self._deny(holding, waiter, now)

    def _request_loan(
        self,
        holding: _holding.Holding,
        waiter: token_waiter.TokenWaiter,
        info: peers.InstanceInfo,
        tokens: float,
        now: float,
    ) -> None:
        loan_id = f"{self.instance}/{next(self.loan_numbers)}"
        body = peers.LoanRequest(
            account=holding.account,
            loan_id=loan_id,
            borrower=self.instance,
            tokens=tokens,
            waited_s=now - waiter.waiting_since,
        )
        purpose = LoanRequest(
            account=holding.account,
            loan_id=loan_id,
            request_id=waiter.request_id,
            lender=info.instance,
        )
        call = self.members.make_call(info, body, purpose=purpose)
        self.outbox.append(call)

    def _wake_served(self, holding: _holding.Holding, now: float) -> None:
        """Wake waiting requests in order of arrival, as far as the tokens suffice."""
        waiters = self.waiters.get(holding.account)
        if not waiters:
            return
        may_spend_own = self.store_session.may_spend(now)
        for waiter in list(waiters.values()):
            if not holding.spend(waiter.request_id, waiter.tokens, own_usable=may_spend_own):
                break
            del waiters[waiter.request_id]
            self.outbox.append(commands.WakeRequest(waiter.request_id, commands.WaitGranted()))

    def _deny(
        self, holding: _holding.Holding, waiter: token_waiter.TokenWaiter, now: float
    ) -> None:
        """Refuse a waiting request: exceeded if the slices are settled, otherwise unavailable."""
        del self.waiters[holding.account][waiter.request_id]
        is_settled = self.knowledge.are_settled(holding.account, now)
        if is_settled and holding.account in self.knowledge.holders:
            code = errors.Code.RATE_EXCEEDED
            retry_after = self.retry_after(holding.rate, waiter.tokens, now)
        else:
            code = errors.Code.RATE_UNAVAILABLE
            retry_after = slice_knowledge.NEW_SLICES_GRACE_S
        error = errors.GatewayError(code, step=STEP, peer=self.instance, retry_after=retry_after)
        self.outbox.append(commands.WakeRequest(waiter.request_id, commands.WaitDenied(error)))

    def _return_due_loans(self, holding: _holding.Holding, now: float) -> None:
        for loan_id in [n for n, loan in holding.incoming_loans.items() if now >= loan.return_at]:
            self._return_loan(holding, loan_id)

    def _return_loan(self, holding: _holding.Holding, loan_id: str) -> None:
        """End a loan from a peer and send its tokens back, if the lender is live."""
        info = self.members.find(holding.incoming_loans[loan_id].lender)
        tokens = holding.end_incoming_loan(loan_id)
        if info is None:
            return
        body = peers.ReturnLoan(account=holding.account, loan_id=loan_id, tokens=tokens)
        call = self.members.make_call(info, body)
        self.outbox.append(call)


def initial_holders(
    account: str, infos: typing.Iterable[peers.InstanceInfo], region: str
) -> list[str]:
    """Return the instances of a region that hold slices in an account's first record.

    Args:
        account: Name of the client account.
        infos: The instances that serve.
        region: The region.
    """
    names = [info.instance for info in infos if info.region == region]
    return rendezvous.ranked(account, names)[:INITIAL_HOLDERS_PER_REGION]
