"""Steps for loans of a rate between instances and for pauses of one instance."""

from __future__ import annotations

import behave

from tests import builders, histories, limited_fleets
from yuccahitch import events
from yuccahitch.messages import commands, peers


@behave.given(
    "a fleet of {count:d} instances in each of 2 regions whose clocks lose {drift:g} of the time"
)
def step_start_fleet_with_slow_clocks(context, count, drift):
    context.fleet = builders.a_fleet(
        0,
        regions=histories.REGIONS,
        per_region=count,
        specs=limited_fleets.a_site(histories.REGIONS),
        clocks=[1 - drift] * 2 * count,
        serve=histories.serve_partial_usage,
    )
    context.spendable_monitors = [limited_fleets.SpendableMonitor(context.fleet)]


@behave.when("instance 3 pauses twice for {seconds:g} seconds under traffic")
def step_pause_twice_under_traffic(context, seconds):
    context.player = histories.HistoryPlayer(context.fleet, seed=0)
    context.player.start_traffic(
        tokens_per_s=4 * limited_fleets.RATE, mean_tokens=20, max_request_tokens=150
    )
    context.player.play([histories.Pause(2, seconds), histories.Wait(seconds + 1)] * 2)


@behave.when(
    "requests for {large:g} and {small:g} of the burst arrive at instance 1 at the same time"
)
def step_wait_for_two_requests(context, large, small):
    borrower = limited_fleets.member(context, 1)
    limiter, now = borrower.decisions.rate_limiter, borrower.local_time(context.fleet.now)
    rate = borrower.decisions.config.catalog.rate("rinks")
    limiter.outbox.clear()
    for name, share in (("large", large), ("small", small)):
        tokens = int(share * limited_fleets.BURST)
        limiter.borrow_for_request(rate, name, tokens, now + 5.0, now)
        limiter.round_allowed_at.clear()
    calls = [command for command in limiter.outbox if type(command) is commands.PeerCall]
    context.loan_requests = [call.body for call in calls if type(call.body) is peers.LoanRequest]


@behave.then("each loan request that instance 1 sends is for more than 0 tokens")
def step_loan_requests_positive(context):
    tokens = [request.tokens for request in context.loan_requests]
    assert len(tokens) >= 2 and min(tokens) > 0, tokens


@behave.when("instance 2 asks instance 1 for a loan of {tokens:g} tokens")
def step_request_loan(context, tokens):
    lender, borrower = context.members[:2]
    request = peers.LoanRequest(
        account="rinks", loan_id="x", borrower=borrower.name, tokens=tokens, waited_s=9.0
    )
    now = lender.local_time(context.fleet.now)
    lender.decisions.rate_limiter.outbox.clear()
    context.loan = lender.decisions.rate_limiter.lend(request, now)


@behave.then("instance 1 lends nothing and records no demand of instance 2")
def step_nothing_lent(context):
    lender, borrower = context.members[:2]
    holding = lender.decisions.rate_limiter.holdings["rinks"]
    assert context.loan.parts == 0 and not holding.outgoing_loans, context.loan
    assert borrower.name not in holding.requested_by_peer, holding.requested_by_peer


@behave.then("the message of instance 2 is logged as unreadable")
def step_loan_request_logged(context):
    logged = [
        command.event
        for command in limited_fleets.member(context, 1).decisions.rate_limiter.outbox
        if type(command) is commands.LogEvent
    ]
    assert events.Event.PEER_GARBAGE in logged, logged
