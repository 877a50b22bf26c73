"""Two machines of a zone are cut off from the store; the third uses a replica that has left."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import link, replica, site  # noqa: E402

CONTACT_S = 5.0
DRAIN_S = 3.0
CUT_S = 7.5
ZONE = "muscat-a"
# How long a replica that left goes on after the time that it must still serve ("a little longer").
LINGER_S = 0.5
REQUESTS_PER_S = 40


class LeavingReplica(replica.Replica):
    """A replica that can leave: it ends with what it runs.

    Attributes:
        arrivals: Monotonic times of the requests that reached it, with their ids.
    """

    def __init__(self, deployment: site.Site, name: str) -> None:
        super().__init__(deployment, name=name, service="desk", zone=ZONE, work_s=0.06)
        self.arrivals: list[tuple[float, str]] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def run(self, request: replica.Request, writer: asyncio.StreamWriter) -> None:
        """Note the arrival, then work on the request."""
        self.arrivals.append((time.monotonic(), request.id))
        self.writers.add(writer)
        await super().run(request, writer)

    def exit(self) -> None:
        """End as a process does: the listener and all connections are gone."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def case(record: site.Record, with_trouble: bool) -> bool:
    """Return whether a request reached the replica later than drainMs after it was gone."""
    async with site.Site({ZONE: "muscat"}, record) as deployment:
        replicas = [LeavingReplica(deployment, f"i-desk-{number}") for number in (1, 2, 3)]
        for item in replicas:
            await item.start()
            await deployment.register(item)
        await deployment.put(
            "op/config", site.config([site.route("orders", "desk", "unsafe", timeoutMs=4000)])
        )
        instances = [deployment.add_instance(f"edge-{ZONE}-{n}", ZONE) for n in (1, 2, 3)]
        links = {item.name: link.StoreLink(deployment, item) for item in instances}
        for item in instances:
            await links[item.name].start()
            await deployment.start(item)
        await deployment.wait_until_ready(*instances)
        await asyncio.sleep(CONTACT_S)
        # The platform sees who watches the store: two machines of the zone do.
        now = time.monotonic()
        watchers = [i for i in instances if now - links[i.name].last_watch_at < 3.0]
        calm = [item for item in instances if item not in watchers]
        if len(calm) != 1:
            raise site.CannotRunError(f"{len(watchers)} of 3 machines watch the store")
        record.write(f"in touch all the while: {calm[0].name}; clients use only this machine")
        replies: dict[str, int] = {}
        load = asyncio.create_task(_send_orders(calm[0], replies, record))
        await asyncio.sleep(2.0)
        if with_trouble:
            for item in watchers:
                links[item.name].is_cut = True
            record.write(f"cut off from the store: {', '.join(i.name for i in watchers)}")
        await asyncio.sleep(0.5)
        leaving = replicas[0]
        await deployment.put(f"servers/{leaving.name}", None)
        gone_at = time.monotonic()
        record.write(f"the store acknowledged that {leaving.name} is gone")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        leaving.exit()
        record.write(f"{leaving.name} exits")
        await asyncio.sleep(CUT_S - DRAIN_S - LINGER_S - 0.5)
        for item in links.values():
            item.is_cut = False
        record.write("the cut has ended")
        await asyncio.sleep(1.0)
        load.cancel()
        late = [(at, name) for at, name in leaving.arrivals if at > gone_at + DRAIN_S]
        lost = [name for _, name in leaving.arrivals if replies.get(name) in (0, 502, 504)]
        last_s = max(at for at, _ in leaving.arrivals) - gone_at
        record.write(
            f"{len(leaving.arrivals)} requests reached {leaving.name}, the last one {last_s:.3f} s"
            f" after it was gone; {len(late)} of them later than {DRAIN_S} s;"
            f" {len(lost)} orders that it had begun got no answer of its own"
        )
        return bool(late)


async def _send_orders(
    instance: site.Instance, replies: dict[str, int], record: site.Record
) -> None:
    """Send orders at a steady rate, each as an attempt of its own."""

    async def send_one(name: str) -> None:
        reply = await replica.send(
            instance, request_id=name, path="/orders/1", body=b"order " + name.encode()
        )
        replies[name] = reply.status
        record.write(f"{name} is answered {reply.status}")

    async with asyncio.TaskGroup() as group:
        number = 0
        while True:
            number += 1
            group.create_task(send_one(f"{number:016x}"))
            await asyncio.sleep(1 / REQUESTS_PER_S)


if __name__ == "__main__":
    site.run_case(case)
