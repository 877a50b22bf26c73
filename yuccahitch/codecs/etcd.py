"""Codec of the JSON interface of etcd v3.

Source: etcd documentation, "API guarantees" and "gRPC gateway". Keys and values are encoded in
base64, 64-bit numbers as strings.
"""

from __future__ import annotations

import base64
import functools
import json
import typing

from yuccahitch import records
from yuccahitch.messages import store

Json = dict[str, typing.Any]

# A watch is one response that streams lines, not a series of long-polling calls.
WATCH_BY_POLLING = False
# etcd's replies name no era.
ERA_HEADER = ""
STATUS_OK = 200


class HttpRequest(records.Record):
    """An HTTP request to the store.

    Attributes:
        path: Path of the request.
        body: Body, sent as JSON; None sends no body.
        method: HTTP method.
        query: Query parameters; None sends none.
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


def encode_key(text: str) -> str:
    """Return a key in base64."""
    return base64.b64encode(text.encode()).decode()


def encode_range_end(prefix: str) -> str:
    """Return, in base64, the first key after all keys that start with the prefix."""
    raw = prefix.encode()
    return base64.b64encode(raw[:-1] + bytes([raw[-1] + 1])).decode()


@functools.singledispatch
def encode(call: store.Call) -> HttpRequest:
    """Return the HTTP request for a call."""
    raise TypeError(type(call))


@encode.register
def _(call: store.Range) -> HttpRequest:
    return HttpRequest("/v3/kv/range", _range_body(call))


@encode.register
def _(call: store.Commit) -> HttpRequest:
    return HttpRequest("/v3/kv/txn", _txn_body(call))


@encode.register
def _(call: store.CommitMany) -> HttpRequest:
    transactions = [
        {"requestTxn": _txn_body(commit, reads_back=call.reads_back)} for commit in call.commits
    ]
    return HttpRequest("/v3/kv/txn", {"compare": [], "success": transactions, "failure": []})


@encode.register
def _(call: store.GrantLease) -> HttpRequest:
    return HttpRequest("/v3/lease/grant", {"TTL": str(max(1, round(call.ttl_s))), "ID": "0"})


@encode.register
def _(call: store.KeepAlive) -> HttpRequest:
    return HttpRequest("/v3/lease/keepalive", {"ID": str(call.lease)})


@encode.register
def _(call: store.RevokeLease) -> HttpRequest:
    return HttpRequest("/v3/lease/revoke", {"ID": str(call.lease)})


def decode(call: store.Call, status: int, response_body: bytes) -> store.Reply:
    """Decode the reply to a call.

    Args:
        call: The call.
        status: HTTP status of the response.
        response_body: Body of the response.

    Raises:
        ValueError: When the response is not one to the call.
    """
    if status != STATUS_OK:
        return store.CallFailed(may_have_applied=True, detail=f"status {status}")
    return _decode_reply(call, json.loads(response_body))


@functools.singledispatch
def _decode_reply(call: store.Call, body: Json) -> store.Reply:
    raise TypeError(type(call))


@_decode_reply.register
def _(call: store.Range, body: Json) -> store.Reply:
    return store.RangeReply(decode_key_values(body), revision=decode_revision(body))


@_decode_reply.register
def _(call: store.Commit, body: Json) -> store.Reply:
    return _commit_reply(body)


@_decode_reply.register
def _(call: store.CommitMany, body: Json) -> store.Reply:
    replies = body.get("responses", [])
    enclosing_revision = decode_revision(body)
    results = [_commit_reply(reply["response_txn"], enclosing_revision) for reply in replies]
    if len(results) != len(call.commits) or not all(
        _is_reply_to(commit, result, reads_back=call.reads_back)
        for commit, result in zip(call.commits, results, strict=True)
    ):
        raise ValueError("the reply is not to this call")
    return store.CommitManyReply(results)


@_decode_reply.register(store.GrantLease)
@_decode_reply.register(store.KeepAlive)
@_decode_reply.register(store.RevokeLease)
def _(call: store.Call, body: Json) -> store.Reply:
    result = body.get("result", body)
    return store.LeaseReply(lease=int(result.get("ID", 0)), ttl_s=float(result.get("TTL", 0)))


def watch_request(prefix: str, start_revision: int) -> Json:
    """Return the JSON body of the request that opens a watch on a prefix."""
    return {
        "create_request": {
            "key": encode_key(prefix),
            "range_end": encode_range_end(prefix),
            "start_revision": str(start_revision),
        }
    }


def decode_watch(body: Json) -> store.KeysChanged | store.WatchLost:
    """Decode one line of a watch's response, which holds changes or ends the watch."""
    result = body.get("result")
    if result is None or result.get("canceled"):
        reason = (result or body).get("cancel_reason") or str(body.get("error", "closed"))
        return store.WatchLost(reason)
    changes = [_changed_key(event) for event in result.get("events", [])]
    return store.KeysChanged(changes, revision=decode_revision(result))


def decode_key_values(body: Json) -> list[store.KeyValue]:
    """Return the keys and values of a range response."""
    return [_key_value(kv) for kv in body.get("kvs", [])]


def decode_revision(body: Json) -> int:
    """Return the store's revision from the header of a response, or 0 without one."""
    return int(body.get("header", {}).get("revision", 0))


def _range_body(call: store.Range) -> Json:
    body: Json = {"key": encode_key(call.key)}
    if call.prefix:
        body["range_end"] = encode_range_end(call.key)
    return body


def _txn_body(call: store.Commit, *, reads_back: bool = False) -> Json:
    reads = [{"requestRange": _range_body(store.Range(e.key))} for e in call.conditions]
    return {
        "compare": [_compare_body(condition) for condition in call.conditions],
        "success": [_change_body(change) for change in call.changes]
        + (reads if reads_back else []),
        "failure": reads,
    }


def _compare_body(condition: store.Condition) -> Json:
    return {
        "key": encode_key(condition.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(condition.revision),
    }


@functools.singledispatch
def _change_body(change: store.Put | store.Delete) -> Json:
    raise TypeError(type(change))


@_change_body.register
def _(change: store.Put) -> Json:
    put = {"key": encode_key(change.key), "value": base64.b64encode(change.value).decode()}
    if change.lease:
        put["lease"] = str(change.lease)
    return {"requestPut": put}


@_change_body.register
def _(change: store.Delete) -> Json:
    return {"requestDeleteRange": {"key": encode_key(change.key)}}


def _is_reply_to(commit: store.Commit, result: store.CommitReply, *, reads_back: bool) -> bool:
    """Return whether a reply can be one to a commit, by the keys and values that it holds."""
    held = {item.key: item.value for item in result.items}
    expected_revisions = {condition.key: condition.revision for condition in commit.conditions}
    if not held.keys() <= expected_revisions.keys():
        return False
    if not result.applied:
        # A key that was to have a revision may be gone.
        return all(key in held for key, revision in expected_revisions.items() if not revision)
    puts = [change for change in commit.changes if type(change) is store.Put]
    return not reads_back or all(held.get(put.key) == put.value for put in puts)


def _commit_reply(body: Json, outer_revision: int = 0) -> store.CommitReply:
    """Return the reply in a transaction's response.

    Args:
        body: The response.
        outer_revision: Revision for the reply to a nested transaction, whose header has none.
    """
    key_values = [
        _key_value(kv)
        for response in body.get("responses", [])
        for kv in response.get("response_range", {}).get("kvs", [])
    ]
    return store.CommitReply(
        applied=bool(body.get("succeeded", False)),
        items=key_values,
        revision=decode_revision(body) or outer_revision,
    )


def _key_value(kv: Json) -> store.KeyValue:
    return store.KeyValue(
        key=base64.b64decode(kv["key"]).decode(),
        value=base64.b64decode(kv.get("value", "")),
        revision=int(kv.get("mod_revision", 0)),
    )


def _changed_key(event: Json) -> store.KeyChange:
    """Return the change of a key that a watch event reports."""
    item = _key_value(event["kv"])
    deleted = event.get("type") == "DELETE"
    return store.KeyChange(item.key, None if deleted else item, revision=item.revision)
