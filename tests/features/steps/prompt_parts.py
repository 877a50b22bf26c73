"""Steps about prompt parts that requests share, in virtual time."""

from __future__ import annotations

import behave

from tests import part_simulation

MAX_HOLDERS = 8
# Time for which an upstream is ejected, and then in use, when it goes down by turns, in seconds.
FLAP_S = 1.0


def start_site(context, instances, engines, max_holders):
    """Start the site under test, and one with a single unbounded holder for each part."""
    context.site, context.former = (
        part_simulation.PartSite(instances=instances, engines=engines, max_holders=most)
        for most in (max_holders, 0)
    )


@behave.given("{instances:d} instances with {engines:d} upstreams that keep prompt parts")
def step_start(context, instances, engines):
    start_site(context, instances, engines, MAX_HOLDERS)


@behave.given(
    "{instances:d} instances with {engines:d} upstreams that hold a part at {most:d} at most"
)
def step_start_bounded(context, instances, engines, most):
    start_site(context, instances, engines, most)


@behave.given("an instance with upstreams here and more in another region")
def step_start_regions(context):
    start_site(context, 1, 2, MAX_HOLDERS)
    for number in range(20):
        context.site.add_engine(f"w{number}", zone="west-a")


@behave.when(
    "callers send {rate:d} requests a second for {seconds:d} seconds, "
    "with a skewed set of shared parts"
)
def step_play(context, rate, seconds):
    context.site.play(rate=rate, seconds=seconds)
    context.former.play(rate=rate, seconds=seconds)


@behave.when(
    "callers send {rate:d} requests a second for {seconds:d} seconds while an upstream {trouble}"
)
def step_play_trouble(context, rate, seconds, trouble):
    for site in (context.site, context.former):
        site.play(rate=rate, seconds=seconds / 4)
        for number in range(round(seconds / 2 / FLAP_S)):
            if trouble == "leaves" and number == 0:
                site.remove_engine("m3")
            if trouble == "is ejected by turns":
                site.down = {"m3"} if number % 2 == 0 else set()
            if trouble == "is filled by other requests":
                site.fill_engine("m3", seconds=FLAP_S / 2)
            site.play(rate=rate, seconds=FLAP_S)
        site.down = set()
        site.play(rate=rate, seconds=seconds / 4)


@behave.then(
    "upstreams read at most half of the shared tokens again that one unbounded holder costs"
)
def step_check_rereads(context):
    figures = context.site.reread_tokens, context.former.reread_tokens
    assert context.former.reread_tokens > 0, figures
    assert context.site.reread_tokens <= 0.5 * context.former.reread_tokens, figures


@behave.then("requests don't wait longer in all than with one unbounded holder")
def step_check_queues(context):
    figures = context.site.queued, context.former.queued
    assert context.site.queued <= context.former.queued, figures


@behave.when("the holders of 60 parts are noted, and an upstream leaves")
def step_note_holders(context):
    site = context.site
    context.prompts = [part_simulation.a_prompt(f"part{number}") for number in range(60)]
    context.holders = [site.holders(prompt) for prompt in context.prompts]
    site.remove_engine("m3")


@behave.then("only the parts that it held have another holder")
def step_check_moved(context):
    moved = [
        before
        for prompt, before in zip(context.prompts, context.holders, strict=True)
        if context.site.holders(prompt) != before
    ]
    assert moved and all(before == {"m3"} for before in moved), moved


@behave.then("once it is back, all parts have the holder that they had")
def step_check_back(context):
    context.site.add_engine("m3")
    assert [context.site.holders(prompt) for prompt in context.prompts] == context.holders


@behave.when("each instance places a prompt with the same shared part")
def step_place_everywhere(context):
    context.prompt = part_simulation.a_prompt("part")
    context.chosen = context.site.choices(context.prompt)


@behave.then("they have all chosen its holder")
def step_check_chosen(context):
    assert context.chosen == context.site.holders(context.prompt), context.chosen


@behave.then("while the holder is full, all choose the same other upstream")
def step_check_next(context):
    (holder,) = context.chosen
    context.site.fill_engine(holder, seconds=5.0)
    context.site.advance(0.5)
    others = context.site.choices(context.prompt)
    assert len(others) == 1 and others != context.chosen, others


@behave.when("callers ask for one part {rate:d} times a second for {seconds:d} seconds")
def step_ask_for_one(context, rate, seconds):
    for _ in range(rate * seconds):
        context.site.send(part_simulation.a_prompt("part"), seconds=0.1)
        context.site.advance(1 / rate)


@behave.then("the instances count {holders:d} holders of it, and 1 half a minute later")
def step_check_holder_count(context, holders):
    prompt = part_simulation.a_prompt("part")
    counts = context.site.holder_counts(prompt)
    assert max(set(counts), key=counts.count) == holders, counts
    context.site.advance(30.0)
    assert set(context.site.holder_counts(prompt)) == {1}, context.site.holder_counts(prompt)


@behave.when("its callers ask {times:d} times for a part whose holder is in the other region")
def step_ask_for_far(context, times):
    prompts = (part_simulation.a_prompt(f"part{number}") for number in range(100))
    context.prompt = next(
        prompt for prompt in prompts if context.site.holders(prompt).pop().startswith("w")
    )
    context.site.ask(context.prompt, times)


@behave.then("the holder is {where}")
def step_check_holder_region(context, where):
    (holder,) = context.site.holders(context.prompt)
    assert holder.startswith("m") == (where == "here"), holder


@behave.then("the holder of the same part for data of the other region is there")
def step_check_homed(context):
    (holder,) = context.site.holders(context.prompt, regions=frozenset(("west",)))
    assert holder.startswith("w"), holder


@behave.when("a request with {prompt} is placed")
def step_place(context, prompt):
    tokens = int(prompt.split()[-2]) if prompt.endswith("tokens") else 0
    shared = (("part", tokens),) if tokens else ()
    context.narrowed = context.site.narrowed((*shared, ("own", 100)))


@behave.then("it may go to {count:d} upstreams")
def step_check_narrowed(context, count):
    assert len(context.narrowed) == count, context.narrowed


@behave.when("the holder of a part runs {running:d} requests on its 8 slots")
def step_load_part_holder(context, running):
    context.prompt = part_simulation.a_prompt("part")
    (holder,) = context.site.holders(context.prompt)
    context.site.fill_engine(holder, seconds=5.0, requests=running)


@behave.then("a request with that part may go to {count:d} upstreams")
def step_check_spare(context, count):
    assert len(context.site.narrowed(context.prompt)) == count


@behave.when("callers ask for {count:d} different parts")
def step_ask_for_many(context, count):
    for number in range(count):
        context.site.ask(part_simulation.a_prompt(f"part{number}"), 1)


@behave.then("the instance remembers the demand for {count:d} parts")
def step_check_remembered(context, count):
    assert len(context.site.parts[0].demand.counts) == count
