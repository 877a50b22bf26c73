"""The memory and the descriptors that a process takes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib

SAMPLE_PERIOD_S = 0.05
# A crowd has done what it can when memory has not grown for this time, in seconds.
QUIET_S = 3.0
WATCH_LIMIT_S = 60.0
BYTES_PER_MB = 1024 * 1024
SOCKET_LINK = "socket:["
# Columns of /proc/net/tcp: bytes sent and not received, and bytes received and not read; and the
# inode of the socket.
QUEUES_COLUMN, INODE_COLUMN = 4, 9


class Usage:
    """The largest memory and number of descriptors of a process that were seen.

    Args:
        pid: Id of the process.

    Attributes:
        peak_mb: Largest memory, resident and in the queues of its sockets, in MB.
        peak_resident_mb: Largest resident memory, in MB.
        peak_descriptors: Largest number of open descriptors.
    """

    __slots__ = ("pid", "peak_mb", "peak_resident_mb", "peak_descriptors")

    def __init__(self, pid):
        self.pid = pid
        self.peak_mb = 0.0
        self.peak_resident_mb = 0.0
        self.peak_descriptors = 0

    async def watch(self):
        """Sample the process until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def settle(self):
        """Sample the process until its memory no longer grows."""
        loop = asyncio.get_running_loop()
        ends_at, quiet_at = loop.time() + WATCH_LIMIT_S, loop.time() + QUIET_S
        while loop.time() < min(ends_at, quiet_at):
            earlier_mb = self.peak_mb
            self.sample()
            if self.peak_mb > earlier_mb:
                quiet_at = loop.time() + QUIET_S
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def sample(self):
        """Read memory and descriptors of the process once."""
        resident = resident_mb(self.pid)
        links = open_files(self.pid)
        queues = queued_bytes()
        queued = sum(queues.get(link, 0) for link in links) / BYTES_PER_MB
        self.peak_mb = max(self.peak_mb, resident + queued)
        self.peak_resident_mb = max(self.peak_resident_mb, resident)
        self.peak_descriptors = max(self.peak_descriptors, len(links))


def resident_mb(pid):
    """Return the resident memory of a process, in MB."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))


def open_files(pid):
    """Return what each open descriptor of a process refers to."""
    links = []
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            links.append(os.readlink(path))
    return links


def queued_bytes():
    """Return the bytes in the kernel's queues of each TCP socket, by the link of its descriptor."""
    rows = [line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {f"{SOCKET_LINK}{row[INODE_COLUMN]}]": _queue_size(row[QUEUES_COLUMN]) for row in rows}


def _queue_size(column):
    """Return the sum of the two sizes in a column, written as ``SENT:RECEIVED``."""
    return sum(int(size, 16) for size in column.split(":"))
