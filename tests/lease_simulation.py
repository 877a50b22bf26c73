"""Plays renewals of a lease between two instances over a faulty network, in virtual time."""

from __future__ import annotations

import random

from yuccahitch.controllers.runs import run_leases

MAX_DRIFT = 0.01
SENDER = "edge-1~1"


class Network:
    """Delays and loses messages, and is cut one way or both ways from a moment on."""

    __slots__ = ("rng", "max_delay_s", "loss", "cut_at", "cut_there", "cut_back")

    def __init__(self, rng, *, max_delay_s, loss, cut_at):
        self.rng = rng
        self.max_delay_s = max_delay_s
        self.loss = loss
        self.cut_at = cut_at
        self.cut_there, self.cut_back = rng.choice([(True, True), (True, False), (False, True)])

    def arrival(self, sent_at, *, back):
        """Return when a message arrives, or None if it is lost."""
        is_cut = self.cut_back if back else self.cut_there
        if self.rng.random() < self.loss or (is_cut and sent_at >= self.cut_at):
            return None
        return sent_at + self.rng.random() * self.max_delay_s


class Outcome:
    """When a run ended, and when the other instance was sure of it, in seconds of real time."""

    __slots__ = ("run_ended_at", "surely_ended_at")

    def __init__(self, run_ended_at, surely_ended_at):
        self.run_ended_at = run_ended_at
        self.surely_ended_at = surely_ended_at


def play(seed, *, max_delay_s, loss, cut_at, closed_at):
    """Play one run whose connection is closed at a moment; return its outcome."""
    rng = random.Random(seed)
    network = Network(rng, max_delay_s=max_delay_s, loss=loss, cut_at=cut_at)
    runner_offset_s, drift = rng.uniform(0, 1e6), rng.uniform(-MAX_DRIFT, MAX_DRIFT)

    def runner_clock(at):
        return runner_offset_s + at * (1 + drift)

    leases, view = run_leases.RunLeases(), run_leases.LeaseView()
    received_at = min(closed_at, rng.random() * max_delay_s)
    ends_at = leases.ends_at(SENDER, runner_clock(received_at))
    # Messages on their way: arrival, order, kind, and what they carry.
    waiting = [
        (number * run_leases.RENEWAL_PERIOD_S, number, "send", ())
        for number in range(1, int(closed_at / run_leases.RENEWAL_PERIOD_S) + 1)
    ]
    order = len(waiting)
    while waiting:
        waiting.sort()
        at, _, kind, content = waiting.pop(0)
        order += 1
        if kind == "send":
            arrival = network.arrival(at, back=False)
            if arrival is not None:
                # On one connection, a renewal can't overtake the request that was sent before it.
                arrival = max(arrival, received_at)
                waiting.append((arrival, order, "renewal", (at, view.newest_grant)))
        elif kind == "renewal" and runner_clock(at) < ends_at:
            sent_at, returned = content
            grant = leases.renew(SENDER, returned, runner_clock(at))
            ends_at = leases.ends_at(SENDER, runner_clock(received_at))
            arrival = network.arrival(at, back=True)
            if arrival is not None:
                waiting.append((arrival, order, "grant", (sent_at, grant)))
        elif kind == "grant" and at <= closed_at:
            sent_at, grant = content
            view.record_grant(grant, sent_at=sent_at, now=at)
    run_ended_at = (ends_at - runner_offset_s) / (1 + drift)
    return Outcome(run_ended_at, view.surely_ended_at(0.0, closed_at))
