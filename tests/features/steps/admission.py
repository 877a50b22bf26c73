"""Steps about the admission of requests by priority, in virtual time."""

from __future__ import annotations

import collections

import behave

from tests import admission_builders
from yuccahitch import errors, events
from yuccahitch.controllers.admission import account_shares, levels, room
from yuccahitch.messages import actions

PREFIX_BY_NAME = dict(
    zip(("urgent", "normal", "late"), admission_builders.PREFIXES.values(), strict=True)
)
LEVEL_EVENT = events.Event.ADMISSION_CHANGED


def start_site(context, instances, **options):
    """Start a site whose instances the checks of events see."""
    context.site = admission_builders.UrgentSite(instances, **options)
    context.edges = context.site.edges


def set_rates(site, urgent, normal, late):
    """Let callers send requests of each priority."""
    for name, rate in (("urgent", urgent), ("normal", normal), ("late", late)):
        site.set_rate(PREFIX_BY_NAME[name], rate)


def level_events(site):
    """Return the logged events of changed levels, with their times and instances."""
    return [entry for entry in site.logged if entry[2].event is LEVEL_EVENT]


@behave.given("{count:d} instance before {upstreams:d} upstreams with {slots:d} slots each")
@behave.given("{count:d} instances before {upstreams:d} upstreams with {slots:d} slots each")
def step_start_site(context, count, upstreams, slots):
    start_site(context, count, upstreams=upstreams, slots=slots)


@behave.given(
    "{count:d} instances that are not to admit by urgency, before {upstreams:d} upstreams with "
    "{slots:d} slots each"
)
def step_start_without(context, count, upstreams, slots):
    start_site(context, count, upstreams=upstreams, slots=slots, urgency="off")


@behave.given(
    "{count:d} instance before {upstreams:d} upstreams with {slots:d} slots each, for 3 accounts"
)
@behave.given(
    "{count:d} instances before {upstreams:d} upstreams with {slots:d} slots each, for 3 accounts"
)
def step_start_with_accounts(context, count, upstreams, slots):
    start_site(context, count, upstreams=upstreams, slots=slots, accounts=("a", "b", "hot"))


@behave.given(
    "{count:d} instance before {upstreams:d} upstreams with {slots:d} slots each, for an account "
    "with a quota"
)
def step_start_with_quota(context, count, upstreams, slots):
    start_site(context, count, upstreams=upstreams, slots=slots, rate_per_s=100_000)


@behave.given(
    "{count:d} instances before {upstreams:d} upstreams with {slots:d} slots each, and another "
    "region with {idle:d} idle ones"
)
def step_start_two_regions(context, count, upstreams, slots, idle):
    start_site(context, count, upstreams=upstreams, slots=slots)
    context.site.start_far_region(idle)


@behave.given(
    "{count:d} instances before {upstreams:d} upstreams with {slots:d} slots each, and another "
    "region that may serve none"
)
def step_start_homed(context, count, upstreams, slots):
    start_site(context, count, upstreams=upstreams, slots=slots, homes=("east",))
    context.site.start_far_region(upstreams)


@behave.when("callers send {rate:d} requests a second of each priority for {seconds:d} second")
@behave.when("callers send {rate:d} requests a second of each priority for {seconds:d} seconds")
def step_send_evenly(context, rate, seconds):
    set_rates(context.site, rate, rate, rate)
    context.site.run(seconds)


@behave.when(
    "callers send {urgent:d} urgent, {normal:d} normal and {late:d} late requests a second for "
    "{seconds:d} seconds"
)
def step_send(context, urgent, normal, late, seconds):
    set_rates(context.site, urgent, normal, late)
    context.site.run(seconds)


@behave.when(
    "callers send from {low:d} to {high:d} requests a second of each priority over {seconds:d} "
    "seconds"
)
def step_drift(context, low, high, seconds):
    for second in range(seconds):
        rate = low + (high - low) * second / seconds
        set_rates(context.site, rate, rate, rate)
        context.site.run(1)


@behave.when("an upstream goes and comes back {times:d} times within {seconds:d} seconds")
def step_flap(context, times, seconds):
    for _ in range(times):
        context.site.remove("desk-0")
        context.site.run(seconds / times / 2)
        context.site.register("desk-0", "desk")
        context.site.run(seconds / times / 2)


@behave.when("an instance dies")
@behave.when("an instance freezes")
def step_silence(context):
    context.gone = context.site.live.pop()


@behave.when("the frozen instance goes on")
def step_thaw(context):
    context.site.live.append(context.gone)


@behave.when("the instances hear nothing of each other")
def step_part(context):
    context.site.parted = True


@behave.when(
    "callers send {rate:d} requests a second to the service with a single priority for "
    "{seconds:d} seconds"
)
def step_send_single(context, rate, seconds):
    context.site.set_rate(admission_builders.SINGLE_PREFIX, rate)
    context.site.run(seconds)


@behave.when(
    "each account sends {rate:d} normal requests a second beside {urgent:d} urgent ones, for "
    "{seconds:d} seconds"
)
def step_send_accounts(context, rate, urgent, seconds):
    site = context.site
    site.set_rate(PREFIX_BY_NAME["urgent"], urgent)
    for account in ("a", "b", "hot"):
        site.set_rate(PREFIX_BY_NAME["normal"], rate, account)
    site.run(seconds)
    context.before = taken_by_account(site)


@behave.when("the hot account sends {rate:d} a second instead, for {seconds:d} seconds")
def step_send_hot(context, rate, seconds):
    context.site.set_rate(PREFIX_BY_NAME["normal"], rate, "hot")
    context.site.run(seconds)


def taken_by_account(site):
    """Return how many normal requests upstreams took in the last 20 seconds, by account."""
    prefix = PREFIX_BY_NAME["normal"]
    return {account: site.callers_served(prefix, 20, account) for account in ("a", "b", "hot")}


@behave.when("a late request is sent")
def step_send_late(context):
    edge = context.site.edges[0]
    context.left = edge.decisions.rate_shares.available_tokens("rinks")
    context.outcome = edge.begin_request(PREFIX_BY_NAME["late"] + "x")


@behave.then("no request was refused at the entry")
def step_check_none_refused(context):
    refused = [entry for entry in context.site.tries if entry[-1] is errors.Code.NOT_ADMITTED]
    assert not refused, len(refused)


@behave.then("no request of the last second was refused at the entry")
def step_check_none_refused_now(context):
    site = context.site
    refused = [
        entry
        for entry in site.tries
        if entry[-1] is errors.Code.NOT_ADMITTED and entry[0] >= site.now - 1
    ]
    assert not refused, refused


@behave.then("no urgent request of the last {seconds:d} seconds was refused at the entry")
def step_check_urgent(context, seconds):
    codes = context.site.codes(PREFIX_BY_NAME["urgent"], seconds)
    assert codes[None] and not codes[errors.Code.NOT_ADMITTED], codes


@behave.then(
    "upstreams took at least {share:g} of the {name} requests of the last {seconds:d} seconds"
)
def step_check_served(context, share, name, seconds):
    codes = context.site.codes(PREFIX_BY_NAME[name], seconds)
    assert codes[None] >= share * codes.total(), codes


@behave.then(
    "at least {share:g} of the {name} callers of the last {seconds:d} seconds were served at some "
    "try"
)
def step_check_callers(context, share, name, seconds):
    site, prefix = context.site, PREFIX_BY_NAME[name]
    tries = [entry for entry in site.tries if entry[1] == prefix and entry[0] > site.now - seconds]
    callers = sum(entry[3] == 1 for entry in tries)
    assert site.codes(prefix, seconds)[None] >= share * callers, site.codes(prefix, seconds)


@behave.then(
    "upstreams took fewer than {share:g} of the {name} requests of the last {seconds:d} seconds"
)
def step_check_refused(context, share, name, seconds):
    codes = context.site.codes(PREFIX_BY_NAME[name], seconds)
    assert codes[None] < share * codes.total(), codes


@behave.then(
    "upstreams took at least {rate:d} late requests a second in the last {seconds:d} seconds"
)
def step_check_late(context, rate, seconds):
    codes = context.site.codes(PREFIX_BY_NAME["late"], seconds)
    assert codes[None] >= rate * seconds, codes


@behave.then("upstreams had at least {share:g} of their slots taken")
def step_check_occupancy(context, share):
    site = context.site
    total = 0.0
    for _ in range(50):
        site.run(0.1)
        total += site.occupancy()
    assert total / 50 >= share, total / 50


@behave.then("the log tells the level that is in force")
def step_check_log(context):
    site = context.site
    logged = {instance: event.fields for _, instance, event in level_events(site)}
    assert set(logged) == {edge.decisions.instance for edge in site.edges}, logged
    for edge in site.edges:
        told = edge.decisions.admission.levels_by_service()["desk"]
        assert 0 <= told <= 6 and logged[edge.decisions.instance]["demand"], (told, logged)
    context.caused_events = {LEVEL_EVENT.label}


@behave.then("the log tells that everything is admitted again")
def step_check_end_logged(context):
    last = {instance: event.fields["priority"] for _, instance, event in level_events(context.site)}
    assert last and set(last.values()) == {None}, last


@behave.then("the levels of the instances differ by less than {bound:g} for {seconds:d} seconds")
def step_check_agreement(context, bound, seconds):
    site = context.site
    for _ in range(seconds * 4):
        site.run(0.25)
        told = [edge.decisions.admission.levels_by_service()["desk"] for edge in site.edges]
        assert max(told) - min(told) < bound, told


@behave.then("no instance changed its level more than {count:d} times")
def step_check_changes(context, count):
    site = context.site
    for edge in site.edges:
        own = [entry for entry in level_events(site) if entry[1] == edge.decisions.instance]
        assert len(own) <= count, [(at, event.fields) for at, _, event in own]


@behave.then("no other instance counts its demand")
def step_check_forgotten(context):
    gone = context.gone.decisions.instance
    for edge in context.site.live:
        assert gone not in edge.decisions.admission.reports.reports


@behave.when("the other region is silent for {seconds:d} seconds")
def step_silence_far(context, seconds):
    context.site.far = None
    context.site.run(seconds)


@behave.then("the free room elsewhere is {places:d}")
def step_check_elsewhere(context, places):
    for edge in context.site.edges:
        service = edge.decisions.config.current.services["desk"]
        assert room.free_elsewhere(edge.decisions.balancer, service, edge.now) == places


@behave.then("the instances count a room of more than {places:d}")
def step_check_more_room(context, places):
    for edge in context.site.edges:
        assert edge.decisions.admission.states["desk"].room_per_s > places


@behave.then("the instances count a room of no more than {places:d}")
def step_check_less_room(context, places):
    for edge in context.site.edges:
        assert 0 < edge.decisions.admission.states["desk"].room_per_s <= places


@behave.then("the instances report no demand for that service")
@behave.then("the instances report no demand at all")
def step_check_silent(context):
    for edge in context.site.edges:
        assert edge.decisions.admission.report(edge.now) == []


@behave.then(
    "callers are told to return after {low:g} to {high:g} seconds, spread over at least {spread:g} "
    "seconds"
)
def step_check_returns(context, low, high, spread):
    delays = [delay for *_, delay in context.site.delays]
    assert low <= min(delays) and max(delays) <= high, (min(delays), max(delays))
    assert max(delays) - min(delays) >= spread


@behave.then("at most one refused caller in {part:d} is told to return after the same time")
def step_check_spread(context, part):
    delays = collections.Counter(round(delay, 3) for *_, delay in context.site.delays)
    (delay, count), *_ = delays.most_common(1)
    assert count * part <= delays.total(), (delay, count, delays.total())


@behave.then("returning normal requests are taken more often than new ones")
def step_check_preference(context):
    site, prefix = context.site, PREFIX_BY_NAME["normal"]
    tries = [entry for entry in site.tries if entry[1] == prefix and entry[0] > site.now - 10]
    first = [entry[-1] is not errors.Code.NOT_ADMITTED for entry in tries if entry[3] == 1]
    second = [entry[-1] is not errors.Code.NOT_ADMITTED for entry in tries if entry[3] > 1]
    shares = sum(first) / len(first), sum(second) / len(second)
    assert shares[1] > 1.5 * shares[0] > 0, shares


@behave.then("the other accounts got within {percent:d}% of what they got before")
def step_check_others(context, percent):
    after = taken_by_account(context.site)
    for account in ("a", "b"):
        least = context.before[account] * (1 - percent / 100)
        assert after[account] >= least, (context.before, after)


@behave.then("the hot account got at least {factor:g} times what it got before")
def step_check_hot(context, factor):
    after = taken_by_account(context.site)
    assert after["hot"] >= factor * context.before["hot"], (context.before, after)


@behave.then("it is refused as not admitted, not run, and the account has as many tokens as before")
def step_check_refusal(context):
    edge, action = context.site.edges[0], context.outcome.action
    assert type(action) is actions.Refuse, action
    assert action.error.code is errors.Code.NOT_ADMITTED and action.error.step == "urgency"
    assert action.error.run is errors.RunStatus.NOT_RUN and action.error.retry_after > 0
    assert "priority" in action.error.detail
    assert edge.decisions.rate_shares.available_tokens("rinks") == context.left


@behave.given(
    "work of {first:g} at priority 0, {second:g} at priority 3 and {third:g} at priority 7"
)
def step_given_work(context, first, second, third):
    context.work = {7: third, 0: first, 3: second}


@behave.then("with room for {room:g} the level is priority {priority} with a share of {share:g}")
def step_check_level(context, room, priority, share):
    level = levels.find_level(context.work, room)
    wanted = None if priority == "none" else int(priority)
    assert level == levels.AdmissionLevel(wanted, share), level


@behave.given("a share of {share:g} of the new work, and returning work of {returned:g} of it")
def step_given_share(context, share, returned):
    context.chances = levels.find_chances(share, returned_part=returned)


@behave.then("the chance of a new request is {new:g} and of a returning one {returning:g}")
def step_check_chances(context, new, returning):
    got = round(context.chances.new, 6), round(context.chances.returning, 6)
    assert got == (new, returning), got


@behave.given("accounts that ask for {work} with weights of {weights}")
def step_given_accounts(context, work, weights):
    context.work = dict(enumerate(map(float, work.split(","))))
    context.weights = dict(enumerate(map(float, weights.split(","))))


@behave.then("with room for {room:g} they get {granted}")
def step_check_granted(context, room, granted):
    shares = account_shares.divide(context.work, context.weights, room)
    got = [round(work * shares.get(name, 0.0), 6) for name, work in context.work.items()]
    assert got == list(map(float, granted.split(","))), got
