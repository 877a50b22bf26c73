"""Steps about the ids of prompt parts, in virtual time."""

from __future__ import annotations

import behave

from tests import platform_builders

PATH = "/ask/x"
PARTS_HEADER, COUNTS_HEADER = "X-Prefix-Hash", "X-Token-Usage"
TOKENS = 100


@behave.given("an instance with configuration {version:d} and an engine u1")
def step_start(context, version):
    edge = platform_builders.EdgeUnderTest()
    edge.publish(platform_builders.a_publication(version))
    edge.register_upstream("u1", service="model")
    context.edges = [edge]


def run_request(edge, *names):
    """Run a request with some parts to its end, and return its parts as they are understood."""
    parts = ",".join(f"{name}:{TOKENS}" for name in names)
    headers = {PARTS_HEADER: parts, COUNTS_HEADER: f"{TOKENS * len(names)},10"}
    outcome = edge.begin_request(PATH, **headers)
    understood = edge.decisions.in_flight.contexts[outcome.request_id].request.prompt_parts
    edge.finish_request(outcome.request_id)
    return understood


@behave.when(
    "{count:d} requests run there one after the other, each with parts of its own of {size:d}"
    " characters"
)
def step_run(context, count, size):
    (edge,) = context.edges
    for number in range(count):
        context.last_name = f"{number:x}".rjust(size, "f")
        run_request(edge, context.last_name, f"own{number}")


def known_parts(context):
    """Return the ids of the parts that the engine is known to have read."""
    (edge,) = context.edges
    return edge.decisions.registry.by_name["u1"].cached_parts


@behave.then("the parts that u1 is known to have read take at most {size:d} characters each")
def step_check_sizes(context, size):
    names = list(known_parts(context))
    assert names and max(map(len, names)) <= size, max(map(len, names))


@behave.then("a request with the same long part finds it there")
def step_check_found(context):
    (edge,) = context.edges
    before = set(known_parts(context))
    (name, _), _ = run_request(edge, context.last_name, "another")
    assert name in before, name


@behave.when("a request has {count:d} parts of {tokens:d} tokens")
def step_send_many(context, count, tokens):
    (edge,) = context.edges
    header = ",".join(f"p{number}:{tokens}" for number in range(count))
    outcome = edge.begin_request(PATH, **{PARTS_HEADER: header})
    context.parts = edge.decisions.in_flight.contexts[outcome.request_id].request.prompt_parts


@behave.then("it is taken to have {count:d} parts with {tokens:d} tokens in all")
def step_check_number(context, count, tokens):
    assert len(context.parts) == count, len(context.parts)
    assert sum(part_tokens for _, part_tokens in context.parts) == tokens
