"""Token rate and burst of client accounts over the whole fleet, without a central counter.

Each instance spends a recorded slice of an account's rate. Short of tokens, it borrows parts and
tokens from the other holders for a short term. docs/DESIGN.md, "Rate and burst", has the argument
why the fleet never exceeds the rate and burst.
"""

from __future__ import annotations

import itertools
import math
import typing

from yuccahitch import errors, events, records
from yuccahitch.controllers import _holding, membership, rendezvous, session
from yuccahitch.messages import commands, peers
from yuccahitch.resources import rate as rates

STEP = "rate"
PARTS = _holding.PARTS
RETURN_SHARE = 0.6
GATHER_PAUSE_S = 0.2
NEW_SLICES_S = 2.0
ASK_AGAIN_S = 0.1
MAX_LENDERS = 8
HOLDERS_PER_REGION = 2
MIN_RETRY_S = 0.05
MAX_RETRY_S = 60.0


class Waiter(records.Record):
    """A request that waits for tokens.

    Attributes:
        request_id: The request.
        tokens: Tokens that it needs.
        since: When it began to wait, in monotonic seconds.
        until: When it is refused, in monotonic seconds.
        asked: Lenders whose answers are outstanding.
        rounds: Lenders still to be asked, in groups.
        again_at: When they are asked again, as the slices are new, or never.
    """

    __slots__ = ("request_id", "tokens", "since", "until", "asked", "rounds", "again_at")

    def __init__(self, request_id: str, *, tokens: int, since: float, until: float) -> None:
        self.request_id = request_id
        self.tokens = tokens
        self.since = since
        self.until = until
        self.asked: set[str] = set()
        self.rounds: list[list[peers.InstanceInfo]] = []
        self.again_at = math.inf


class LoanAsked(records.Record):
    """Purpose: a loan was asked for."""

    __slots__ = ("account", "loan_id", "request_id", "lender")

    def __init__(self, *, account: str, loan_id: str, request_id: str, lender: str) -> None:
        self.account = account
        self.loan_id = loan_id
        self.request_id = request_id
        self.lender = lender


class Limits:
    """Reserves, settles, lends and borrows tokens.

    Args:
        instance: Id of this instance.
        members: The live instances.
        access: Says whether the own slices may be spent.
        term_s: Longest loan, in seconds.
        drift_s: Margin for differences between clocks, in seconds.
        gather_s: Longest wait for tokens from peers, in seconds.
    """

    __slots__ = (
        "instance",
        "members",
        "access",
        "term_s",
        "drift_s",
        "gather_s",
        "holdings",
        "holders",
        "holders_since",
        "waiting",
        "pause_until",
        "loan_numbers",
        "lending",
        "outbox",
    )

    def __init__(
        self,
        instance: str,
        members: membership.Membership,
        access: session.Session,
        *,
        term_s: float = 5.0,
        drift_s: float = 0.5,
        gather_s: float = 0.5,
    ) -> None:
        self.instance = instance
        self.members = members
        self.access = access
        self.term_s = term_s
        self.drift_s = drift_s
        self.gather_s = gather_s
        self.holdings: dict[str, _holding.Holding] = {}
        self.holders: dict[str, tuple[str, ...]] = {}
        self.holders_since: dict[str, float] = {}
        self.waiting: dict[str, dict[str, Waiter]] = {}
        self.pause_until: dict[str, float] = {}
        self.loan_numbers = itertools.count(1)
        self.lending = True
        self.outbox: list[commands.Command] = []

    def holding(self, rate: rates.Rate, now: float) -> _holding.Holding:
        """Return what is held of a client account, brought up to date."""
        held = self.holdings.get(rate.name)
        if held is None:
            held = self.holdings[rate.name] = _holding.Holding(rate, now)
        elif held.rate is not rate:
            held.set_rate(rate, now)
        held.update(now)
        return held

    def reserve(self, rate: rates.Rate, name: str, tokens: int, now: float) -> bool:
        """Spend tokens for a request if they are here; return whether they were."""
        held = self.holding(rate, now)
        held.wanted(tokens, now)
        return held.take(name, tokens, own_usable=self.access.may_spend(now))

    def settle(self, account: str, name: str, unused: float, now: float) -> None:
        """Give back what a request did not use."""
        held = self.holdings.get(account)
        if held is not None:
            held.update(now)
            held.settle(name, unused)
            self._serve(held, now)

    def cancel(self, account: str, name: str) -> None:
        """Drop a request that waits for tokens, as it is over."""
        self.waiting.get(account, {}).pop(name, None)

    def gather(self, rate: rates.Rate, name: str, tokens: int, until: float, now: float) -> None:
        """Borrow tokens for a request from the other holders; it is woken when they are there."""
        waiter = Waiter(name, tokens=tokens, since=now, until=min(until, now + self.gather_s))
        self.waiting.setdefault(rate.name, {})[name] = waiter
        waiter.again_at = max(now, self.pause_until.get(rate.name, 0.0))
        self._look_after(self.holdings[rate.name], waiter, now)

    def holders_came(self, account: str, holders: tuple[str, ...], now: float) -> None:
        """Take in who holds parts of an account's rate; those who waited for that ask them."""
        news = account not in self.holders
        self.holders[account] = holders
        if not news:
            return
        self.holders_since[account] = now
        for waiter in list(self.waiting.get(account, {}).values()):
            waiter.rounds = self._rounds(account)
            self._advance(account, waiter, now)

    def lend(self, request: peers.LoanRequest, now: float) -> peers.Loan:
        """Answer a peer that wants tokens."""
        held = self.holdings.get(request.account)
        holders = self.holders.get(request.account, ())
        nothing = peers.Loan(loan_id=request.loan_id, parts=0, tokens=0.0, holders=holders)
        usable = self.lending and self.access.may_spend(now)
        if held is None or not usable or request.loan_id in held.lent:
            return nothing
        held.update(now)
        held.asked[request.borrower] = held.asked.get(request.borrower, 0.0) + request.tokens
        if self._needs_more(request, now):
            return nothing
        tokens = min(request.tokens, held.own.level)
        parts = min(held.parts_for(tokens), held.free_parts())
        tokens = min(tokens, held.cap(parts))
        if parts <= 0 or tokens <= 0:
            return nothing
        until = now + self.term_s + self.drift_s
        loan = _holding.Lent(borrower=request.borrower, parts=parts, until=until)
        held.lend(request.loan_id, loan, tokens)
        note = commands.LogEvent(
            events.Event.LOAN_GRANTED,
            account=request.account,
            borrower=request.borrower,
            parts=parts,
            tokens=round(tokens),
        )
        self.outbox.append(note)
        return peers.Loan(loan_id=request.loan_id, parts=parts, tokens=tokens, holders=holders)

    def _needs_more(self, request: peers.LoanRequest, now: float) -> bool:
        """Return whether a request here has waited for longer than the borrower's."""
        waiting = self.waiting.get(request.account)
        if not waiting:
            return False
        oldest = now - next(iter(waiting.values())).since
        return (oldest, self.instance) > (request.waited_s, request.borrower)

    def take_back(self, message: peers.ReturnLoan, now: float) -> None:
        """Take back a loan that a peer returns early."""
        held = self.holdings.get(message.account)
        if held is not None:
            held.update(now)
            held.take_back(message.loan_id, message.tokens)
            self._serve(held, now)

    def loan_came(
        self, purpose: LoanAsked, loan: peers.Loan | None, sent_at: float, now: float
    ) -> None:
        """Take in a peer's answer to a request for tokens; None means that there was none."""
        held = self.holdings[purpose.account]
        held.update(now)
        until = sent_at + self.term_s
        if loan is not None and loan.parts > 0 and now < until:
            borrowed = _holding.Borrowed(
                lender=purpose.lender,
                parts=loan.parts,
                until=until,
                return_at=sent_at + self.term_s * RETURN_SHARE,
            )
            held.borrow(purpose.loan_id, borrowed, loan.tokens)
            note = commands.LogEvent(
                events.Event.LOAN_TAKEN,
                account=purpose.account,
                lender=purpose.lender,
                parts=loan.parts,
                tokens=round(loan.tokens),
            )
            self.outbox.append(note)
        if loan is not None and loan.holders and purpose.account not in self.holders:
            self.holders_came(purpose.account, loan.holders, now)
        waiter = self.waiting.get(purpose.account, {}).get(purpose.request_id)
        if waiter is not None:
            waiter.asked.discard(purpose.lender)
        self._serve(held, now)
        if waiter is not None and waiter.request_id in self.waiting.get(purpose.account, {}):
            self._advance(purpose.account, waiter, now)

    def tick(self, now: float) -> None:
        """Serve or refuse those who wait, and give loans back that are not needed any more."""
        for held in self.holdings.values():
            if not held.borrowed and not self.waiting.get(held.account):
                continue
            held.update(now)
            self._serve(held, now)
            self._return_loans(held, now)
            for waiter in list(self.waiting.get(held.account, {}).values()):
                self._look_after(held, waiter, now)

    def _look_after(self, held: _holding.Holding, waiter: Waiter, now: float) -> None:
        if now >= waiter.until:
            self._deny(held, waiter, now)
        elif now >= waiter.again_at:
            waiter.again_at = math.inf
            waiter.rounds = self._rounds(held.account)
            self.pause_until[held.account] = now + GATHER_PAUSE_S
            self._advance(held.account, waiter, now)

    def forget_own(self, now: float) -> None:
        """Drop all own slices, as the session under which they were read has ended."""
        for held in self.holdings.values():
            held.update(now)
            held.set_own_parts(0, now)
            held.own.limit(0.0)

    def return_all(self, now: float) -> None:
        """Give all loans back and lend no more, as the instance is shutting down."""
        self.lending = False
        for held in self.holdings.values():
            held.update(now)
            for loan_id in list(held.borrowed):
                self._return(held, loan_id)

    def retry_after(self, rate: rates.Rate, tokens: int, now: float) -> float:
        """Return after how many seconds so many tokens may be there."""
        held = self.holding(rate, now)
        parts = held.free_parts() + held.pool_parts()
        income = max(rate.tokens_per_s * parts / PARTS, rate.tokens_per_s / 100, 1e-9)
        missing = tokens - held.available(own_usable=self.access.may_spend(now))
        return min(MAX_RETRY_S, max(MIN_RETRY_S, missing / income))

    def _rounds(self, account: str) -> list[list[peers.InstanceInfo]]:
        holders = self.holders.get(account) or self._likely_holders(account)
        rows = [
            row
            for row in map(self.members.find, holders)
            if row is not None and row.instance != self.instance
        ]
        near = [row for row in rows if row.region == self.members.own.region]
        far = [row for row in rows if row.region != self.members.own.region]
        return [group[:MAX_LENDERS] for group in (near, far) if group]

    def _likely_holders(self, account: str) -> list[str]:
        rows = self.members.serving()
        return [
            name
            for region in sorted({row.region for row in rows})
            for name in likely_holders(account, rows, region)
        ]

    def _advance(self, account: str, waiter: Waiter, now: float) -> None:
        if waiter.asked:
            return
        held = self.holdings[account]
        if not waiter.rounds:
            others_wait = any(other.asked for other in self.waiting[account].values())
            if not others_wait and account in self.holders:
                self._deny_or_ask_again(held, waiter, now)
            return
        usable = self.access.may_spend(now)
        missing = waiter.tokens - held.available(own_usable=usable)
        for row in waiter.rounds.pop(0):
            waiter.asked.add(row.instance)
            self._ask(held, waiter, row, missing, now)

    def _deny_or_ask_again(self, held: _holding.Holding, waiter: Waiter, now: float) -> None:
        """Refuse, unless the holders may not have heard of their new slices yet."""
        if now - self.holders_since.get(held.account, now) < NEW_SLICES_S:
            waiter.again_at = now + ASK_AGAIN_S
        else:
            self._deny(held, waiter, now)

    def _ask(
        self,
        held: _holding.Holding,
        waiter: Waiter,
        row: peers.InstanceInfo,
        tokens: float,
        now: float,
    ) -> None:
        loan_id = f"{self.instance}/{next(self.loan_numbers)}"
        body = peers.LoanRequest(
            account=held.account,
            loan_id=loan_id,
            borrower=self.instance,
            tokens=tokens,
            waited_s=now - waiter.since,
        )
        purpose = LoanAsked(
            account=held.account,
            loan_id=loan_id,
            request_id=waiter.request_id,
            lender=row.instance,
        )
        call = self.members.call(row, body, purpose=purpose)
        self.outbox.append(call)

    def _serve(self, held: _holding.Holding, now: float) -> None:
        """Wake those who wait, first come first served, as far as the tokens go."""
        waiting = self.waiting.get(held.account)
        if not waiting:
            return
        usable = self.access.may_spend(now)
        for waiter in list(waiting.values()):
            if not held.take(waiter.request_id, waiter.tokens, own_usable=usable):
                break
            del waiting[waiter.request_id]
            self.outbox.append(commands.WakeRequest(waiter.request_id, commands.WaitGranted()))

    def _deny(self, held: _holding.Holding, waiter: Waiter, now: float) -> None:
        del self.waiting[held.account][waiter.request_id]
        known = self.access.may_spend(now) or held.borrowed or self.holders.get(held.account)
        code = errors.Code.RATE_EXCEEDED if known else errors.Code.RATE_UNAVAILABLE
        error = errors.GatewayError(
            code,
            step=STEP,
            peer=self.instance,
            retry_after=self.retry_after(held.rate, waiter.tokens, now),
        )
        self.outbox.append(commands.WakeRequest(waiter.request_id, commands.WaitDenied(error)))

    def _return_loans(self, held: _holding.Holding, now: float) -> None:
        for loan_id in [n for n, loan in held.borrowed.items() if now >= loan.return_at]:
            self._return(held, loan_id)

    def _return(self, held: _holding.Holding, loan_id: str) -> None:
        row = self.members.find(held.borrowed[loan_id].lender)
        tokens = held.give_up(loan_id)
        if row is None:
            return
        body = peers.ReturnLoan(account=held.account, loan_id=loan_id, tokens=tokens)
        call = self.members.call(row, body)
        self.outbox.append(call)


def likely_holders(
    account: str, rows: typing.Iterable[peers.InstanceInfo], region: str
) -> list[str]:
    """Return the instances of a region that an account's slices begin on."""
    names = [row.instance for row in rows if row.region == region]
    return rendezvous.ranked(account, names)[:HOLDERS_PER_REGION]
