"""Messages between instances."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.resources import entry


class InstanceInfo(records.Record):
    """What is known of one instance.

    Attributes:
        instance: Id, ``NAME~INCARNATION``.
        region: Its region.
        zone: Its availability zone.
        host: Its IP address.
        caller_port: Port for callers.
        peer_port: Port for peers.
        wan_address: Where instances of other regions reach it, ``IP:PORT``.
        beat: Heartbeats that it has counted.
        leaving: Whether it is shutting down.
        ready: Whether it serves.
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
        """Return where instances of its region reach it."""
        return f"{self.host}:{self.peer_port}"

    def address_from(self, region: str) -> str:
        """Return where instances of a region reach it."""
        return self.address if region == self.region else self.wan_address


class InstanceUpdate(records.Record):
    """The short form of a row that the receiver knows already.

    Attributes:
        key: Hash of the instance id.
        beat: Heartbeats that it has counted.
        flags: Bit 0 leaving, bit 1 ready.
        config_age: Seconds since its configuration was known to be current.
    """

    __slots__ = ("key", "beat", "flags", "config_age")

    def __init__(self, *, key: int, beat: int, flags: int, config_age: int) -> None:
        self.key = key
        self.beat = beat
        self.flags = flags
        self.config_age = config_age


class LoadReport(records.Record):
    """A load report of an upstream as it is passed on.

    Attributes:
        upstream: Name of the upstream.
        running: Requests it works on.
        waiting: Requests it queues.
        sequence: Number of the report; a larger one is newer.
        leaving: Whether it takes no new work.
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


class SuspectRequest(records.Record):
    """A request seen when an upstream crashed.

    Attributes:
        fingerprint: Hash of client account and request.
        upstream: The upstream that crashed.
        left_ms: Time for which it is remembered, in milliseconds.
    """

    __slots__ = ("fingerprint", "upstream", "left_ms")

    def __init__(self, *, fingerprint: str, upstream: str, left_ms: int) -> None:
        self.fingerprint = fingerprint
        self.upstream = upstream
        self.left_ms = left_ms


class Gossip(records.Record):
    """A heartbeat with what else is worth passing on.

    Attributes:
        sender: The sender's own row.
        rows: Rows that the receiver may not know.
        beats: Rows that it knows.
        unknown: Hashes of ids whose rows the sender asks for.
        digest: Digest of the sender's catalog.
        arrivals: Arrivals in the sender's catalog.
        loads: LoadReport reports.
        suspects: Requests that crashed upstreams.
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
        suspects: list[SuspectRequest],
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
    """Ask for the entries that arrived at the receiver after a number."""

    __slots__ = ("since",)

    def __init__(self, since: int) -> None:
        self.since = since


class Entries(records.Record):
    """Entries of the catalog, pushed or pulled.

    Attributes:
        entries: The entries, oldest first.
        arrivals: Arrivals in the sender's catalog up to and with these; 0 when pushed.
        digest: Digest of the sender's catalog.
    """

    __slots__ = ("entries", "arrivals", "digest")

    def __init__(self, entries: list[entry.Entry], *, arrivals: int, digest: int) -> None:
        self.entries = entries
        self.arrivals = arrivals
        self.digest = digest


class LoanRequest(records.Record):
    """Ask for tokens of a client account.

    Attributes:
        account: The client account.
        loan_id: Unique id of the loan.
        borrower: Id of the instance that asks.
        tokens: Tokens wanted.
        waited_s: For how long the request that needs them has waited.
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
    """Reply to LoanRequest.

    Attributes:
        loan_id: Id of the loan.
        parts: Parts of the account's rate and burst that are lent, of ``PARTS``.
        tokens: Tokens that come with it.
        holders: Ids of the account's holders as the lender knows them.
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
    """Give a loan back before it ends, with tokens that are left."""

    __slots__ = ("account", "loan_id", "tokens")

    def __init__(self, *, account: str, loan_id: str, tokens: float) -> None:
        self.account = account
        self.loan_id = loan_id
        self.tokens = tokens


class SlicesChanged(records.Record):
    """The recorded slices of client accounts changed; the receiver holds a part of them."""

    __slots__ = ("accounts",)

    def __init__(self, accounts: tuple[str, ...]) -> None:
        self.accounts = accounts


class AskVouch(records.Record):
    """Ask whether the receiver, too, is out of touch with the store."""

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance


class Vouch(records.Record):
    """Reply to AskVouch."""

    __slots__ = ("instance", "cut_off")

    def __init__(self, *, instance: str, cut_off: bool) -> None:
        self.instance = instance
        self.cut_off = cut_off


class AskAttest(records.Record):
    """Ask for how long the receiver has vouched for nobody."""

    __slots__ = ()


class Attest(records.Record):
    """Reply to AskAttest.

    Attributes:
        instance: Id of the instance that attests.
        quiet_s: Seconds for which it has vouched for nobody.
    """

    __slots__ = ("instance", "quiet_s")

    def __init__(self, *, instance: str, quiet_s: float) -> None:
        self.instance = instance
        self.quiet_s = quiet_s


class Ack(records.Record):
    """The message was taken."""

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
