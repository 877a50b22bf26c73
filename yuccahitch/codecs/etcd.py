"""The published JSON form of the etcd v3 interface.

Source: etcd documentation, "API guarantees" and "gRPC gateway". Keys and values are in base64 and
64-bit numbers are strings.
"""

from __future__ import annotations

import base64
import functools
import json
import typing

from yuccahitch import records
from yuccahitch.messages import store

Json = dict[str, typing.Any]

# A watch is a stream of lines, not a call that waits for the next changes.
POLLING = False
OK = 200


class Post(records.Record):
    """An HTTP request to the store.

    Attributes:
        path: Its path.
        body: Its body, sent as JSON, or None.
        method: Its method.
        query: Its query.
    """

    __slots__ = ("path", "body", "method", "query")

    def __init__(
        self,
        path: str,
        body: Json | None,
        *,
        method: str = "POST",
        query: dict[str, str] | None = None,
    ) -> None:
        self.path = path
        self.body = body
        self.method = method
        self.query = query


def encode_text(text: str) -> str:
    """Return a key in base64."""
    return base64.b64encode(text.encode()).decode()


def range_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix, in base64."""
    raw = prefix.encode()
    return base64.b64encode(raw[:-1] + bytes([raw[-1] + 1])).decode()


@functools.singledispatch
def encode(call: store.Call) -> Post:
    """Return the request for a call."""
    raise TypeError(type(call))


@encode.register
def _(call: store.Range) -> Post:
    return Post("/v3/kv/range", _range(call))


@encode.register
def _(call: store.Commit) -> Post:
    return Post("/v3/kv/txn", _txn(call))


@encode.register
def _(call: store.CommitMany) -> Post:
    inner = [{"requestTxn": _txn(commit)} for commit in call.commits]
    return Post("/v3/kv/txn", {"compare": [], "success": inner, "failure": []})


@encode.register
def _(call: store.GrantLease) -> Post:
    return Post("/v3/lease/grant", {"TTL": str(max(1, round(call.ttl_s))), "ID": "0"})


@encode.register
def _(call: store.KeepAlive) -> Post:
    return Post("/v3/lease/keepalive", {"ID": str(call.lease)})


@encode.register
def _(call: store.RevokeLease) -> Post:
    return Post("/v3/lease/revoke", {"ID": str(call.lease)})


def decode(call: store.Call, status: int, raw: bytes) -> store.Reply:
    """Read the reply to a call."""
    if status != OK:
        return store.CallFailed(may_have_applied=True, detail=f"status {status}")
    return _decode(call, json.loads(raw))


@functools.singledispatch
def _decode(call: store.Call, body: Json) -> store.Reply:
    raise TypeError(type(call))


@_decode.register
def _(call: store.Range, body: Json) -> store.Reply:
    return store.RangeReply(items(body), revision=revision(body))


@_decode.register
def _(call: store.Commit, body: Json) -> store.Reply:
    return _committed(body)


@_decode.register
def _(call: store.CommitMany, body: Json) -> store.Reply:
    replies = body.get("responses", [])
    outer = revision(body)
    return store.CommitManyReply([_committed(reply["response_txn"], outer) for reply in replies])


@_decode.register(store.GrantLease)
@_decode.register(store.KeepAlive)
@_decode.register(store.RevokeLease)
def _(call: store.Call, body: Json) -> store.Reply:
    result = body.get("result", body)
    return store.LeaseReply(lease=int(result.get("ID", 0)), ttl_s=float(result.get("TTL", 0)))


def watch_request(prefix: str, start_revision: int) -> Json:
    """Return the body that opens a watch on a prefix."""
    return {
        "create_request": {
            "key": encode_text(prefix),
            "range_end": range_end(prefix),
            "start_revision": str(start_revision),
        }
    }


def decode_watch(body: Json) -> store.KeysChanged | store.WatchLost:
    """Read one line of a watch's stream."""
    result = body.get("result")
    if result is None or result.get("canceled"):
        reason = (result or body).get("cancel_reason") or str(body.get("error", "closed"))
        return store.WatchLost(reason)
    changes = [_change(event) for event in result.get("events", [])]
    return store.KeysChanged(changes, revision=revision(result))


def items(body: Json) -> list[store.KeyValue]:
    """Return the keys of a range's reply."""
    return [_item(kv) for kv in body.get("kvs", [])]


def revision(body: Json) -> int:
    """Return the store's revision from a reply's header."""
    return int(body.get("header", {}).get("revision", 0))


def _range(call: store.Range) -> Json:
    body: Json = {"key": encode_text(call.key)}
    if call.prefix:
        body["range_end"] = range_end(call.key)
    return body


def _txn(call: store.Commit) -> Json:
    return {
        "compare": [_compare(expect) for expect in call.conditions],
        "success": [_change_op(change) for change in call.changes],
        "failure": [{"requestRange": _range(store.Range(e.key))} for e in call.conditions],
    }


def _compare(expect: store.Condition) -> Json:
    return {
        "key": encode_text(expect.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expect.revision),
    }


@functools.singledispatch
def _change_op(change: store.Put | store.Delete) -> Json:
    raise TypeError(type(change))


@_change_op.register
def _(change: store.Put) -> Json:
    put = {"key": encode_text(change.key), "value": base64.b64encode(change.value).decode()}
    if change.lease:
        put["lease"] = str(change.lease)
    return {"requestPut": put}


@_change_op.register
def _(change: store.Delete) -> Json:
    return {"requestDeleteRange": {"key": encode_text(change.key)}}


def _committed(body: Json, outer_revision: int = 0) -> store.CommitReply:
    found = [
        _item(kv)
        for response in body.get("responses", [])
        for kv in response.get("response_range", {}).get("kvs", [])
    ]
    return store.CommitReply(
        applied=bool(body.get("succeeded", False)),
        items=found,
        revision=revision(body) or outer_revision,
    )


def _item(kv: Json) -> store.KeyValue:
    return store.KeyValue(
        key=base64.b64decode(kv["key"]).decode(),
        value=base64.b64decode(kv.get("value", "")),
        revision=int(kv.get("mod_revision", 0)),
    )


def _change(event: Json) -> tuple[str, store.KeyValue | None]:
    item = _item(event["kv"])
    return (item.key, None if event.get("type") == "DELETE" else item)
