"""Steps about prompt parts that crash upstreams, in virtual time."""

from __future__ import annotations

import behave

from tests import builders, crash_simulation, edge_simulation, platform_builders
from yuccahitch import errors
from yuccahitch.controllers.members import fleet
from yuccahitch.controllers.runs import suspects
from yuccahitch.messages import suspects as suspect_messages

# First parts of prompts; requests with a crashing part have one of them too.
FIRST_PARTS = tuple(f"first{number}" for number in range(6))

# Time from one crash of an upstream that goes down and up by turns to the next, in seconds.
FLAP_PERIOD_S = 1.4


@behave.given("instances in {regions} and requests of which {share:g} hold a part of {crashing}")
def step_start_site(context, regions, share, crashing):
    context.prompts = [parts.split() for parts in crashing.split(", ")]
    crashing_parts = {part for parts in context.prompts for part in parts}
    context.share = share
    context.site = crash_simulation.CrashSite(regions.split(", "), crashing_parts=crashing_parts)
    context.edges = list(context.site.edges.values())
    context.site.run(1.0)


@behave.when("callers send {rate:d} requests a second for {seconds:d} seconds")
def step_send_requests(context, rate, seconds):
    site = context.site
    for _ in range(rate * seconds):
        edge = site.rng.choice(context.edges)
        first_part = site.rng.choice(FIRST_PARTS)
        if site.rng.random() < context.share:
            site.send(edge, "crashing", (first_part, *site.rng.choice(context.prompts)))
        else:
            site.send(edge, "sound", (first_part,))
        site.run(1 / rate)


@behave.when("callers send {rate:d} reads alike a second for {seconds:d} seconds")
def step_send_reads_alike(context, rate, seconds):
    site = context.site
    for _ in range(rate * seconds):
        site.send(site.rng.choice(context.edges), "read", (), body=b"the same")
        site.run(1 / rate)


@behave.then("no read of the last {seconds:d} seconds was refused")
def step_check_reads_served(context, seconds):
    site = context.site
    refused = [error.code for time, _, error in site.refusals if time > site.now - seconds]
    served = [began for time, _, began in site.first_attempts if time > site.now - seconds]
    assert not refused and len(served) > 100, (len(refused), set(refused), len(served))


@behave.when("all upstreams crash within 0.1 seconds")
def step_crash_all(context):
    site = context.site
    for name in list(site.running):
        site.crash(name)
        site.run(0.02)


@behave.then("no request was refused for a part or for itself")
def step_check_no_poison(context):
    codes = [error.code for _, _, error in context.site.refusals]
    assert codes and errors.Code.POISON not in codes, codes.count(errors.Code.POISON)


@behave.when("the first instance is restarted")
def step_restart_first(context):
    site = context.site
    old = context.edges[0]
    site.edges.pop(old.decisions.instance)
    new = platform_builders.EdgeUnderTest("edge-0", now=old.now)
    new.publish(platform_builders.a_publication())
    for name in site.running:
        new.register_upstream(name, service="model", zone="east-a", capacity=64)
    site.edges[new.decisions.instance] = new
    context.edges[0] = new
    edge_simulation.discover_all(context.edges)


@behave.then("at most {count:d} crashing requests are sent later than {seconds:d} seconds {when}")
def step_check_crashing_sends(context, count, seconds, when):
    for part, crash_times in context.site.crash_times.items():
        assert crash_times, part
        fifth_or_last = crash_times[:5][-1]
        sends = [t for t in context.site.crashing_sends[part] if t > fifth_or_last + seconds]
        assert len(sends) <= count, (part, len(sends), len(crash_times))


@behave.then("sound requests with the same first part begin at least half as often as before")
def step_check_sound_requests(context):
    steady_from = max(times[:5][-1] for times in context.site.crash_times.values()) + 10
    sound = [
        began
        for time, tag, began in context.site.first_attempts
        if tag == "sound" and time > steady_from
    ]
    refused = [t for t, tag, _ in context.site.refusals if tag == "sound" and t > steady_from]
    assert len(sound) > 20
    assert sum(sound) >= 0.5 * (len(sound) + len(refused)), (sum(sound), len(sound), len(refused))


@behave.given("two tables of suspects, of which the second knows {answered}")
def step_make_tables(context, answered):
    context.now = 100.0
    context.tables = [suspects.Suspects(crash_limit=3, memory_s=120.0) for _ in range(2)]
    context.known_part = answered.rpartition(" ")[2]


# Pause before each crash in seconds, and the number of each crash among those of its request.
CRASH_SERIES = {
    "together": ((0.01, 1), (0.01, 1), (0.01, 1)),
    "together, and at a fourth one": ((0.01, 1), (0.01, 2), (0.01, 1), (0.05, 1)),
    "a second after each other": ((1.0, 1), (1.0, 1), (1.0, 1)),
    "on its attempts, quickly after each other": ((0.03, 1), (0.03, 2), (0.03, 3)),
}


@behave.when("three upstreams crash {how} on request {name}")
def step_crash_on_request(context, name, how):
    for number, (pause_s, crash_number) in enumerate(CRASH_SERIES[how]):
        context.now += pause_s
        request = builders.a_suspect_request(name, crash_number=crash_number)
        context.tables[0].record_crash(request, f"u{number}", context.now)


@behave.when("the second table has seen the same request crash them on its attempts")
def step_crash_at_second_table(context):
    for number in range(3):
        request = builders.a_suspect_request("status", crash_number=number + 1)
        context.tables[1].record_crash(request, f"u{number}", context.now)


@behave.then("it refuses request {name} for {seconds:d} seconds after a report of the second table")
def step_check_refusal_after_report(context, name, seconds):
    first, second = context.tables
    first.record_report(second.make_report(context.now), context.now)
    step_check_refusal_time(context, name, seconds)


@behave.then("the first table refuses request {name} for {seconds:d} seconds")
def step_check_request_refusal_time(context, name, seconds):
    step_check_refusal_time(context, name, seconds)


@behave.then("after that one crash is enough to refuse request {name} for long")
def step_check_refused_for_long(context, name):
    context.tables[0].record_crash(builders.a_suspect_request(name), "u9", context.now)
    step_check_refusal_time(context, name, 120)


@behave.when("it is answered after the refusal")
def step_answer_after_refusal(context):
    context.now += suspects.TRIAL_AFTER_S + 0.1
    context.tables[0].record_answer((builders.a_trait("status"),), context.now, context.now)
    context.now += 1.0


@behave.when("request {name} runs at an upstream that crashes")
def step_crash_once(context, name):
    context.tables[0].record_crash(builders.a_suspect_request(name), "u9", context.now)


@behave.when("three upstreams crash on different requests with part {part}, as the first table saw")
def step_crash_on_part(context, part):
    for number in range(3):
        request = builders.a_suspect_request(f"request {number}", part)
        context.tables[0].record_crash(request, f"u{number}", context.now)
        context.now += 1.0
    traits = (builders.a_trait(context.known_part),)
    context.tables[1].record_answer(traits, context.now, context.now)
    context.tables[0].expire(context.now)


@behave.when(
    "request {bystander} runs at three upstreams that crash on different requests with part {part}"
)
def step_run_beside_crashes(context, bystander, part):
    table = context.tables[0]
    for number in range(3):
        for name, parts in ((bystander, ("own",)), (f"request {number}", (part,))):
            request = builders.a_suspect_request(name, *parts)
            table.record_crash(request, f"u{number}", context.now)
        context.now += 0.3
    assert refuses(context, bystander)
    context.now += 1.0
    table.expire(context.now)


def refuses(context, name):
    """Return whether the first table refuses the trait of that name."""
    trait = builders.a_trait(name)
    return context.tables[0].refused_trait((trait,), context.now) == trait


@behave.then("the first table refuses part {part} but not request {bystander}")
def step_check_cause_refused(context, part, bystander):
    assert refuses(context, part)
    assert not refuses(context, bystander)


@behave.then("the first table refuses part {part} for {seconds:d} seconds")
def step_check_refusal_time(context, part, seconds):
    context.now += seconds - 1
    context.tables[0].expire(context.now)
    assert refuses(context, part)
    context.now += 2
    context.tables[0].expire(context.now)
    assert not refuses(context, part)


@behave.then("the first table refuses part {part}")
def step_check_part_refused(context, part):
    assert refuses(context, part)


@behave.then("it accepts part {part} after a report to the second table and one back")
def step_exchange_reports(context, part):
    first, second = context.tables
    second.record_report(first.make_report(context.now), context.now)
    first.record_report(second.make_report(context.now), context.now)
    assert not refuses(context, part)


@behave.then("after that one crash is enough to refuse part {part}")
def step_check_one_crash(context, part):
    request = builders.a_suspect_request("another", part)
    context.tables[0].record_crash(request, "u9", context.now)
    context.now += 1.0
    context.tables[0].expire(context.now)
    assert refuses(context, part)


@behave.when("request {name} runs at three upstreams that crash, and is answered after the second")
def step_answer_between_crashes(context, name):
    table = context.tables[0]
    for number in range(3):
        if number == 2:
            table.record_answer((builders.a_trait(name),), context.now, context.now)
        context.now += 1.0
        table.record_crash(builders.a_suspect_request(name), f"u{number}", context.now)


@behave.then("the first table does not refuse request {name}")
def step_check_request_accepted(context, name):
    assert not refuses(context, name)


@behave.given(
    "an instance with {near:d} others in its region and {far:d} elsewhere, each on a link of"
    " {link:d} Mbit/s"
)
def step_start_on_small_link(context, near, far, link):
    context.near, context.far = near, far
    context.link_bytes_per_s = link * 1_000_000 / 8
    context.edge = platform_builders.EdgeUnderTest()


@behave.when(
    "{rate:d} requests a second end with crashes of {count:d} upstreams for {seconds:d} seconds"
)
def step_crash_often(context, rate, count, seconds):
    table, edge = context.edge.decisions.suspects, context.edge
    near_period_s = max(
        fleet.NEAR_PULSE_PERIOD_S, fleet.NEAR_PULSE_PERIOD_PER_PEER_S * context.near
    )
    context.sent_bytes, pulse_due_at, began_at = 0.0, edge.now, edge.now
    for number in range(rate * seconds):
        edge.now += 1 / rate
        # Each upstream crashes again and again, as one that goes down and up by turns.
        incarnation = f"u{number % count}~{int((edge.now - began_at) / FLAP_PERIOD_S)}"
        request = suspect_messages.SuspectRequest(number % 500, (number, number % 7))
        table.record_crash(request, incarnation, edge.now)
        table.expire(edge.now)
        if table.announcement_due:
            table.announcement_due = False
            context.sent_bytes += (context.near + context.far) * len(edge.encode_pulse())
        if edge.now >= pulse_due_at:
            pulse_due_at += near_period_s
            context.sent_bytes += context.near * len(edge.encode_pulse())
    context.bytes_per_s = context.sent_bytes / seconds


@behave.then("what it sends to the others needs at most a third of its link")
def step_check_link(context):
    assert context.bytes_per_s <= context.link_bytes_per_s / 3, context.bytes_per_s
