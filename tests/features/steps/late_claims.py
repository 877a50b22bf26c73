"""Steps about claims of idempotency keys whose replies are those to other calls."""

from __future__ import annotations

import asyncio
import itertools
import json

import behave

from standins import extra_answers, keyvalue
from tests import attempt_clients
from yuccahitch.codecs import etcd
from yuccahitch.controllers.runs import claims, operations
from yuccahitch.messages import commands

WALL_S = 1_800_000_000.0
LATE_S = 0.2
SETTLE_S = 1.5


class LateStore:
    """A store that sends an earlier reply to claims where the next one is due.

    Attributes:
        state: What it holds.
        copied: Number of the claim call whose reply is sent too late.
        replies: The replies to claim calls.
    """

    __slots__ = ("state", "copied", "replies")

    def __init__(self, copied):
        self.state = keyvalue.KeyValue()
        self.copied = copied
        self.replies = []

    def __call__(self, request, received):
        """Return the steps of a reply."""
        body = json.loads(request.body)
        if "lease/grant" in request.target:
            return [a_step({"ID": "7", "TTL": body["TTL"]}, is_own=True)]
        reply = self.state.txn(body)
        self.replies.append(reply)
        if len(self.replies) == self.copied + 1:
            late = self.replies[self.copied - 1]
            return [a_step(late), a_step(reply, delay_s=LATE_S, is_own=True)]
        return [a_step(reply, is_own=True)]


def a_step(reply, *, delay_s=0.0, is_own=False):
    data = extra_answers.an_answer(json.dumps(reply).encode())
    return extra_answers.Step(delay_s, data, is_own=is_own)


class ClaimingInstance:
    """The operations of one instance, and its client of the store.

    Attributes:
        decisions: The operations.
        client: The client.
        replies: Replies of the store.
        results: What the requests that waited for a claim were resumed with, by request.
    """

    __slots__ = ("decisions", "client", "replies", "results", "ids")

    def __init__(self, url, name):
        self.ids = itertools.count(1)
        self.decisions = operations.Operations(
            name, secret="secret", new_id=lambda: str(next(self.ids))
        )
        self.replies = asyncio.Queue()
        self.client = attempt_clients.a_store_client(
            url, dialect=etcd, on_reply=self.replies.put_nowait
        )
        self.results = {}

    def claim(self, *keys):
        """Claim keys in one call; each request has its key as its id."""
        for key in keys:
            operation = self.decisions.begin(
                "rinks", key, digest="digest", request_id=key, expires_at=WALL_S + 60
            )
            self.decisions.begin_claim(operation, 0.0)
        self.decisions.flush(WALL_S)

    async def run(self, seconds):
        """Carry calls and replies for a time."""
        ends_at = asyncio.get_running_loop().time() + seconds
        while (left_s := ends_at - asyncio.get_running_loop().time()) > 0:
            for command in self.decisions.outbox:
                if type(command) is commands.StoreCall:
                    self.client.inbox.post(command)
                elif type(command) is commands.WakeRequest:
                    self.results[command.request_id] = command.reply
            self.decisions.outbox.clear()
            try:
                reply = await asyncio.wait_for(self.replies.get(), min(left_s, 0.1))
            except TimeoutError:
                continue
            self.decisions.on_store(reply.purpose, reply.reply, 0.0, 0.0, WALL_S)


async def start_store(context, copied):
    context.store = LateStore(copied)
    context.server = extra_answers.ExtraAnswerServer(context.store)
    await context.server.start()
    context.closers = [context.server.close]
    return f"http://127.0.0.1:{context.server.port}"


@behave.when("an instance claims {first}, and then {second}, which another one holds")
def step_claim(context, first, second):
    first_keys, second_keys = first.split(" and "), second.split(" and ")

    async def work():
        url = await start_store(context, copied=2)
        holder = ClaimingInstance(url, "holder~1")
        async with attempt_clients.running(holder.client):
            holder.claim(*second_keys)
            await holder.run(0.5)
        context.claimant = claimant = ClaimingInstance(url, "claimant~1")
        async with attempt_clients.running(claimant.client):
            claimant.claim(*first_keys)
            await claimant.run(0.5)
            claimant.claim(*second_keys)
            await claimant.run(SETTLE_S)

    context.second_keys = second_keys
    context.loop.run_until_complete(work())


@behave.then("the second claim is not won by the reply to the first, which comes late")
def step_check_not_won(context):
    assert len(context.store.replies) >= 3, "no call came after the copied one"
    for key in context.second_keys:
        result = context.claimant.results.get(key)
        assert type(result) is claims.Claim, (key, result)
        assert result.instance == "holder~1", result.instance
