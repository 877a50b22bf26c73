"""Messages between instances, sent as calls."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.messages import suspects as suspect_messages
from yuccahitch.resources import entry


class InstanceInfo(records.Record):
    """Address and state of one instance.

    Attributes:
        instance: Id of the instance, ``NAME~INCARNATION``.
        region: Region of the instance.
        zone: Availability zone of the instance.
        host: IP address of the instance.
        caller_port: Port for callers.
        peer_port: Port for peers.
        wan_address: Address for instances of other regions, ``IP:PORT``.
        beat: Heartbeat counter of the instance.
        leaving: Whether the instance is shutting down.
        ready: Whether the instance serves requests.
        config_age: Seconds since its configuration was known to be current, at most 65535.
    """

    __slots__ = (
        "instance",
        "region",
        "zone",
        "host",
        "caller_port",
        "peer_port",
        "wan_address",
        "beat",
        "leaving",
        "ready",
        "config_age",
    )

    def __init__(
        self,
        *,
        instance: str,
        region: str,
        zone: str,
        host: str,
        caller_port: int,
        peer_port: int,
        wan_address: str,
        beat: int = 0,
        leaving: bool = False,
        ready: bool = False,
        config_age: int = 65535,
    ) -> None:
        self.instance = instance
        self.region = region
        self.zone = zone
        self.host = host
        self.caller_port = caller_port
        self.peer_port = peer_port
        self.wan_address = wan_address
        self.beat = beat
        self.leaving = leaving
        self.ready = ready
        self.config_age = config_age

    @property
    def address(self) -> str:
        """Return the peer address for instances of the same region."""
        return f"{self.host}:{self.peer_port}"

    def address_from(self, region: str) -> str:
        """Return the peer address for instances of a region."""
        return self.address if region == self.region else self.wan_address


class InstanceUpdate(records.Record):
    """State of an instance whose ``InstanceInfo`` the receiver already has.

    Attributes:
        key: Hash of the instance id.
        beat: Heartbeat counter of the instance.
        flags: Bit 0 is set when the instance is leaving, bit 1 when it is ready.
        config_age: Seconds since its configuration was known to be current.
    """

    __slots__ = ("key", "beat", "flags", "config_age")

    def __init__(self, *, key: int, beat: int, flags: int, config_age: int) -> None:
        self.key = key
        self.beat = beat
        self.flags = flags
        self.config_age = config_age


class LoadReport(records.Record):
    """An upstream's load report, as instances exchange it.

    Attributes:
        upstream: Name of the upstream.
        running: Number of requests that the upstream works on.
        waiting: Number of requests in the upstream's queue.
        sequence: Number of the report; a larger one is newer.
        leaving: Whether the upstream accepts no new requests.
        age_ms: Age of the report in milliseconds.
    """

    __slots__ = ("upstream", "running", "waiting", "sequence", "leaving", "age_ms")

    def __init__(
        self,
        *,
        upstream: str,
        running: int,
        waiting: int,
        sequence: int,
        leaving: bool,
        age_ms: int,
    ) -> None:
        self.upstream = upstream
        self.running = running
        self.waiting = waiting
        self.sequence = sequence
        self.leaving = leaving
        self.age_ms = age_ms


class Gossip(records.Record):
    """A heartbeat with the sender's view of the fleet.

    Attributes:
        sender: The sender itself.
        rows: Instances that the receiver may not know.
        beats: State of instances that the receiver knows.
        unknown: Hashes of instance ids whose ``InstanceInfo`` the sender asks for.
        digest: Digest of the sender's catalog.
        arrivals: Arrival count of the sender's catalog.
        loads: Load reports of upstreams.
        suspects: Requests that upstreams worked on when they crashed.
    """

    __slots__ = (
        "sender",
        "rows",
        "beats",
        "unknown",
        "digest",
        "arrivals",
        "loads",
        "suspects",
    )

    def __init__(
        self,
        *,
        sender: InstanceInfo,
        rows: list[InstanceInfo],
        beats: list[InstanceUpdate],
        unknown: list[int],
        digest: int,
        arrivals: int,
        loads: list[LoadReport],
        suspects: suspect_messages.SuspectReport,
    ) -> None:
        self.sender = sender
        self.rows = rows
        self.beats = beats
        self.unknown = unknown
        self.digest = digest
        self.arrivals = arrivals
        self.loads = loads
        self.suspects = suspects


class PullEntries(records.Record):
    """Ask for the entries that reached the receiver's catalog after an arrival number.

    Attributes:
        since: Arrival number in the receiver's catalog.
    """

    __slots__ = ("since",)

    def __init__(self, since: int) -> None:
        self.since = since


class Entries(records.Record):
    """Entries of the sender's catalog, pushed, or pulled by ``PullEntries``.

    Attributes:
        entries: The entries, oldest first.
        arrivals: Arrival number of the last of these entries in the sender's catalog; 0 when
            pushed.
        digest: Digest of the sender's catalog.
        age_s: Time since the sender's catalog was certainly up to date, in seconds, or None if it
            does not say.
    """

    __slots__ = ("entries", "arrivals", "digest", "age_s")

    def __init__(
        self,
        entries: list[entry.Entry],
        *,
        arrivals: int,
        digest: int,
        age_s: float | None = None,
    ) -> None:
        self.entries = entries
        self.arrivals = arrivals
        self.digest = digest
        self.age_s = age_s


class LoanRequest(records.Record):
    """Ask for a loan of a client account's tokens.

    Attributes:
        account: Name of the client account.
        loan_id: Unique id of the loan.
        borrower: Id of the instance that asks.
        tokens: Number of tokens asked for.
        waited_s: Time that the request in need of the tokens has waited, in seconds.
    """

    __slots__ = ("account", "loan_id", "borrower", "tokens", "waited_s")

    def __init__(
        self, *, account: str, loan_id: str, borrower: str, tokens: float, waited_s: float
    ) -> None:
        self.account = account
        self.loan_id = loan_id
        self.borrower = borrower
        self.tokens = tokens
        self.waited_s = waited_s


class Loan(records.Record):
    """Reply to ``LoanRequest``.

    Attributes:
        loan_id: Id of the loan.
        parts: Lent parts (millionths) of the account's rate and burst; 0 means that nothing is
            lent.
        tokens: Number of tokens lent.
        holders: Ids of the instances that own slices of the rate, as the lender knows them.
    """

    __slots__ = ("loan_id", "parts", "tokens", "holders")

    def __init__(
        self, *, loan_id: str, parts: int, tokens: float, holders: tuple[str, ...]
    ) -> None:
        self.loan_id = loan_id
        self.parts = parts
        self.tokens = tokens
        self.holders = holders


class ReturnLoan(records.Record):
    """Return a loan before its term ends.

    Attributes:
        account: Name of the client account.
        loan_id: Id of the loan.
        tokens: Number of unused tokens that are returned.
    """

    __slots__ = ("account", "loan_id", "tokens")

    def __init__(self, *, account: str, loan_id: str, tokens: float) -> None:
        self.account = account
        self.loan_id = loan_id
        self.tokens = tokens


class SlicesChanged(records.Record):
    """Announce to a holder that the recorded slices of client accounts changed.

    Attributes:
        accounts: Names of the client accounts.
    """

    __slots__ = ("accounts",)

    def __init__(self, accounts: tuple[str, ...]) -> None:
        self.accounts = accounts


class AskVouch(records.Record):
    """Ask whether the receiver is cut off from the store as the sender is.

    Attributes:
        instance: Id of the sender.
    """

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance


class Vouch(records.Record):
    """Reply to ``AskVouch``.

    Attributes:
        instance: Id of the instance that vouches.
        cut_off: Whether that instance is cut off from the store.
    """

    __slots__ = ("instance", "cut_off")

    def __init__(self, *, instance: str, cut_off: bool) -> None:
        self.instance = instance
        self.cut_off = cut_off


class AskAttest(records.Record):
    """Ask how long ago the receiver last vouched for another instance."""

    __slots__ = ()


class Attest(records.Record):
    """Reply to ``AskAttest``.

    Attributes:
        instance: Id of the instance that attests.
        quiet_s: Time for which it has vouched for no instance, in seconds.
    """

    __slots__ = ("instance", "quiet_s")

    def __init__(self, *, instance: str, quiet_s: float) -> None:
        self.instance = instance
        self.quiet_s = quiet_s


class Ack(records.Record):
    """Acknowledge a message that needs no other reply."""

    __slots__ = ()


Body = (
    Gossip
    | PullEntries
    | Entries
    | LoanRequest
    | Loan
    | ReturnLoan
    | SlicesChanged
    | AskVouch
    | Vouch
    | AskAttest
    | Attest
    | Ack
)
