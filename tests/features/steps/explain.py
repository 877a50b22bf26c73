"""Steps about explaining a request from its id and the logs, and about logged reloads."""

from __future__ import annotations

import asyncio
import signal

import behave
from click import testing

from standins import deployment
from tests import platform_builders, platform_calls
from yuccahitch import cli
from yuccahitch.cli import show
from yuccahitch.controllers.members import fleet
from yuccahitch.messages import peers


@behave.given("every upstream of desk is draining")
def step_drain_all_desks(context):
    for name in ("desk-1", "desk-2", "desk-3"):
        platform_calls.run(context, context.site.register_upstream(name, state="draining"))
    platform_calls.run(context, asyncio.sleep(1.0))


@behave.given("the account may use {rate:d} token a second")
def step_exhaust_rate(context, rate):
    platform_calls.publish(
        context, 1, tenants=[platform_builders.a_published_tenant(ratePerS=rate, burst=rate)]
    )
    platform_calls.run(context, asyncio.sleep(1.0))
    for _ in range(50):
        platform_calls.send_one(context, "edge-east-1", "POST", "/book/x")


def explain_last_request(context):
    """Return the output of ``yuccahitch explain`` for the last request.

    It waits up to 5 seconds until the logs hold the outcome of the request.
    """
    (reply,) = context.replies
    logs = [str(path) for path in sorted(context.site.run_dir.glob("*.log"))]

    def run_explain():
        result = testing.CliRunner().invoke(cli.main, ["explain", reply.id, *logs])
        return result.output if result.exit_code == 0 else ""

    async def has_outcome():
        context.explanation = run_explain()
        return "outcome: no line" not in context.explanation and "outcome:" in context.explanation

    platform_calls.run(context, deployment.wait_until(has_outcome, 5.0))
    return context.explanation


@behave.then("explain shows the outcome {outcome} with {code} at {step}, {ran}")
def step_check_outcome(context, outcome, code, step, ran):
    outcome_line = explain_last_request(context).splitlines()[-1]
    assert outcome_line.startswith(f"outcome: {outcome} after "), outcome_line
    assert f" {code} at {step}" in outcome_line and f" {ran}: " in outcome_line, outcome_line


@behave.then("the explained lines contain {inputs}")
def step_check_inputs(context, inputs):
    missing = [word for word in inputs.split(", ") if word not in context.explanation]
    assert not missing, (missing, context.explanation)


@behave.then("explain shows lines of both instances, the first one of edge-east-1")
def step_check_instances(context):
    lines = [
        line.split() for line in explain_last_request(context).splitlines() if line.startswith(">")
    ]
    instances = [words[2].partition("~")[0] for words in lines]
    assert instances[0] == "edge-east-1" and "edge-west-1" in instances, lines


SETTINGS_CHANGES = {
    "name the store's other address": ("127.30.0.1:7100", "127.30.0.2:7100"),
    "have a mistake": ("[store]", "[stores]"),
}


@behave.when("the settings of {name} {change} and it gets SIGHUP")
def step_reload_settings(context, name, change):
    path = context.site.run_dir / f"{name}.ini"
    old_text, new_text = SETTINGS_CHANGES[change]
    path.write_text(path.read_text().replace(old_text, new_text))
    context.site.processes[name].send_signal(signal.SIGHUP)


@behave.when("the store holds an instance at port 0")
def step_write_port_zero(context):
    info = peers.InstanceInfo(
        instance="ghost~1",
        region="east",
        zone="east-a",
        host="127.30.1.99",
        caller_port=7101,
        peer_port=0,
        wan_address="127.30.1.99:0",
    )
    key = fleet.PREFIX + "ghost"

    async def remove_entry():
        await context.site.write_item(key, None)

    platform_calls.run(context, context.site.write_item(key, info.as_dict()))
    context.closers = [remove_entry]


@behave.then("the log file of {name} holds {words}")
def step_check_log_file(context, name, words):
    label, _, field = words.partition(", ")
    lines = show.read_log(context.site.run_dir / f"{name}.log")
    rendered = [line.format(0) for line in lines if line.name == label]
    assert rendered and field in rendered[-1], rendered
