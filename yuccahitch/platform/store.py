"""Codec of the platform's store, a dialect for ``tasks.store_client``."""

from __future__ import annotations

import base64
import functools
import json
import typing

from yuccahitch.codecs import etcd
from yuccahitch.messages import store
from yuccahitch.platform import names

Json = dict[str, typing.Any]

# A watch is a series of long-polling calls, each of which waits for the next changes.
WATCH_BY_POLLING = True
# Status of a watch whose revision is no longer in the history.
STATUS_GONE = 410
WATCH_PATH = names.STORE_WATCH_PATH
ERA_HEADER = names.STORE_ERA_HEADER
# Statuses that guarantee that the call changed nothing.
NOT_APPLIED_STATUSES = frozenset((429, 503))


@functools.singledispatch
def encode(call: store.Call) -> etcd.HttpRequest:
    """Return the HTTP request for a call."""
    raise TypeError(type(call))


@encode.register
def _(call: store.Range) -> etcd.HttpRequest:
    if not call.prefix:
        return etcd.HttpRequest(names.STORE_KEY_PATH, None, method="GET", query={"key": call.key})
    query = {"pathPrefix": call.key}
    if call.after_key:
        query["after"] = call.after_key
    return etcd.HttpRequest(names.STORE_RANGE_PATH, None, method="GET", query=query)


@encode.register
def _(call: store.Commit) -> etcd.HttpRequest:
    body = {
        "expectedRevision": [
            {"key": condition.key, "revision": condition.revision} for condition in call.conditions
        ],
        "puts": [_put_body(change) for change in call.changes if type(change) is store.Put],
        "remove": [change.key for change in call.changes if type(change) is store.Delete],
    }
    return etcd.HttpRequest(names.STORE_COMMIT_PATH, body)


@encode.register
def _(call: store.GrantLease) -> etcd.HttpRequest:
    return etcd.HttpRequest(names.STORE_GRANT_LEASE_PATH, {"ttlMs": int(call.ttl_s * 1000)})


@encode.register
def _(call: store.KeepAlive) -> etcd.HttpRequest:
    return etcd.HttpRequest(f"{names.STORE_KEEP_ALIVE_PATH}{call.lease}", {})


@encode.register
def _(call: store.RevokeLease) -> etcd.HttpRequest:
    return etcd.HttpRequest(f"{names.STORE_REVOKE_LEASE_PATH}{call.lease}", None, method="DELETE")


def decode(call: store.Call, status: int, response_body: bytes) -> store.Reply:
    """Decode the reply to a call.

    Args:
        call: The call.
        status: HTTP status of the response.
        response_body: Body of the response, which may be empty.
    """
    if status in NOT_APPLIED_STATUSES:
        return store.CallFailed(may_have_applied=False, detail=f"status {status}")
    return _decode_reply(call, status, json.loads(response_body) if response_body else {})


@functools.singledispatch
def _decode_reply(call: store.Call, status: int, body: Json) -> store.Reply:
    raise TypeError(type(call))


@_decode_reply.register
def _(call: store.Range, status: int, body: Json) -> store.Reply:
    if status == 404 and not call.prefix:
        return store.RangeReply([], revision=int(body.get("at", 0)))
    if status != 200:
        return _call_failed(status)
    item_bodies = body["items"] if call.prefix else [body]
    items = [_key_value(item_body) for item_body in item_bodies]
    return store.RangeReply(items, revision=int(body["at"]), has_more=bool(body.get("hasMore")))


@_decode_reply.register
def _(call: store.Commit, status: int, body: Json) -> store.Reply:
    if status == 412:
        items = [
            _key_value(item_body)
            for item_body in body.get("items", ())
            if item_body.get("value") is not None
        ]
        return store.CommitReply(applied=False, items=items, revision=0)
    if status != 200:
        return _call_failed(status)
    return store.CommitReply(applied=True, items=[], revision=int(body["revision"]))


@_decode_reply.register(store.GrantLease)
@_decode_reply.register(store.KeepAlive)
@_decode_reply.register(store.RevokeLease)
def _(call: store.Call, status: int, body: Json) -> store.Reply:
    if status == 404:
        return store.LeaseReply(lease=0, ttl_s=0.0)
    if status != 200:
        return _call_failed(status)
    lease = body.get("lease", getattr(call, "lease", 0))
    return store.LeaseReply(lease=int(lease), ttl_s=float(body.get("ttlMs", 0)) / 1000)


def watch_query(prefix: str, revision: int, wait_s: float) -> Json:
    """Return the query of a long-polling call.

    Args:
        prefix: Prefix of the watched keys.
        revision: Revision after which changes are returned.
        wait_s: Longest time that the store waits for a change, in seconds.
    """
    return {"pathPrefix": prefix, "after": str(revision), "waitMs": str(int(wait_s * 1000))}


def decode_watch(prefix: str, response_body: bytes) -> store.KeysChanged:
    """Decode the changes that a long-polling call returned."""
    body = json.loads(response_body)
    changes = [
        store.KeyChange(
            event["key"],
            None if event.get("deleted") else _key_value(event),
            revision=int(event["revision"]),
        )
        for event in body["events"]
    ]
    return store.KeysChanged(changes, revision=int(body["at"]), prefix=prefix)


def _put_body(change: store.Put) -> Json:
    value = base64.b64encode(change.value).decode()
    return {"key": change.key, "value": value, "lease": change.lease}


def _key_value(item_body: Json) -> store.KeyValue:
    return store.KeyValue(
        key=item_body["key"],
        value=base64.b64decode(item_body.get("value") or ""),
        revision=int(item_body["revision"]),
    )


def _call_failed(status: int) -> store.CallFailed:
    """Return the reply for an unexpected status, after which the call may have been applied."""
    return store.CallFailed(may_have_applied=True, detail=f"status {status}")
