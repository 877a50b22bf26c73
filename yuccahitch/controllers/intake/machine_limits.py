"""Limits for what is held for callers, from the memory and descriptors of the machine."""

from __future__ import annotations

from yuccahitch import records

BYTES_PER_MB = 1_000_000
# Memory of a process without any caller, and what the allocator keeps after a peak.
BASE_MB = 80
# The smallest budget, for a machine without memory to spare.
MIN_BUDGET_MB = 8
# Part of the spare memory for heads and bodies; connections and answers have the rest.
BUDGET_PART = 0.75
# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200
# Part of the other descriptors that callers may use.
CALLERS_PART = 0.75
# Part of them for requests that run, each with a connection to an upstream; other instances and the
# store have the rest.
RUNS_PART = 0.15
# Memory that an idle connection takes, in bytes.
CONNECTION_BYTES = 20_000
MIN_CONNECTIONS = 16
MIN_RUNS = 16


class MachineLimits(records.Record):
    """How much is held for callers at most.

    Args:
        memory_mb: Memory of the machine, in MB.
        max_descriptors: Descriptors that the process may open.

    Attributes:
        budget_bytes: Memory for heads, bodies and their copies, in bytes.
        max_connections: Open connections of callers.
        max_runs: Requests that run at upstreams at the same time.
    """

    __slots__ = ("budget_bytes", "max_connections", "max_runs")

    def __init__(self, *, memory_mb: float, max_descriptors: int) -> None:
        spare_bytes = max(MIN_BUDGET_MB, memory_mb - BASE_MB) * BYTES_PER_MB
        self.budget_bytes = int(spare_bytes * BUDGET_PART)
        descriptors = max_descriptors - FILE_DESCRIPTORS
        by_descriptors = int(descriptors * CALLERS_PART)
        by_memory = int((spare_bytes - self.budget_bytes) / CONNECTION_BYTES)
        self.max_connections = max(MIN_CONNECTIONS, min(by_descriptors, by_memory))
        self.max_runs = max(MIN_RUNS, int(descriptors * RUNS_PART))
