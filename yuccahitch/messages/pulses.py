"""The datagrams by which instances of a platform tell each other what they see."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.messages import peers


class UpstreamUsage(records.Record):
    """Work that an instance has at an upstream.

    Attributes:
        upstream: Name of the upstream.
        running: Requests there.
        prompt_tokens: Prompt tokens of those that have not begun to answer.
    """

    __slots__ = ("upstream", "running", "prompt_tokens")

    def __init__(self, upstream: str, *, running: int, prompt_tokens: int) -> None:
        self.upstream = upstream
        self.running = running
        self.prompt_tokens = prompt_tokens


class AccountDemand(records.Record):
    """What a client account asks of an instance.

    Attributes:
        account: Name of the account.
        tokens_per_s: Tokens a second that it asks for.
        overdrawn: Tokens by which the instance has exceeded its share.
    """

    __slots__ = ("account", "tokens_per_s", "overdrawn")

    def __init__(self, account: str, *, tokens_per_s: float, overdrawn: float) -> None:
        self.account = account
        self.tokens_per_s = tokens_per_s
        self.overdrawn = overdrawn


class ServiceCapacity(records.Record):
    """What a region offers at a service.

    Attributes:
        service: Name of the service.
        places: Requests that its usable upstreams work on at the same time.
        taken: Requests that they have.
        wait_s: Estimated time to the first token of a short request, in seconds.
    """

    __slots__ = ("service", "places", "taken", "wait_s")

    def __init__(self, service: str, *, places: int, taken: int, wait_s: float) -> None:
        self.service = service
        self.places = places
        self.taken = taken
        self.wait_s = wait_s


class Pulse(records.Record):
    """What one instance tells another.

    Attributes:
        instance: Id of the sender.
        region: Its region.
        number: Number of the pulse; later ones have greater numbers.
        leaving: Whether it shuts down.
        ready: Whether it serves.
        uses: Its work at the upstreams of its region.
        demands: What client accounts ask of it.
        rooms: What its region offers at each service.
        heard: Instances of its region and the seconds since they were heard.
        suspects: Requests that crashed upstreams.
        version: Version of the configuration in force there.
        wide: Whether the demands are those of the sender's whole region.
    """

    __slots__ = (
        "instance",
        "region",
        "number",
        "leaving",
        "ready",
        "uses",
        "demands",
        "rooms",
        "heard",
        "suspects",
        "version",
        "wide",
    )

    def __init__(
        self,
        *,
        instance: str,
        region: str,
        number: int,
        leaving: bool,
        ready: bool,
        uses: list[UpstreamUsage],
        demands: list[AccountDemand],
        rooms: list[ServiceCapacity],
        heard: dict[str, float],
        suspects: list[peers.SuspectRequest],
        version: int = 0,
        wide: bool = False,
    ) -> None:
        self.instance = instance
        self.region = region
        self.number = number
        self.leaving = leaving
        self.ready = ready
        self.uses = uses
        self.demands = demands
        self.rooms = rooms
        self.heard = heard
        self.suspects = suspects
        self.version = version
        self.wide = wide


class SendPulse(records.Record):
    """Send a pulse to the peer addresses of some instances."""

    __slots__ = ("addresses", "pulse")

    def __init__(self, addresses: list[str], pulse: Pulse) -> None:
        self.addresses = addresses
        self.pulse = pulse
