"""Cerberus schemas of the resources, by kind."""

from __future__ import annotations

import typing

NAME_RULE = {"type": "string", "regex": r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", "required": True}
# Name of a region or an availability zone, or empty.
LABEL_RULE = {"type": "string", "regex": r"([a-z0-9][a-z0-9-]{0,62})?"}
LABEL_LIST_RULE = {"type": "list", "maxlength": 64, "schema": LABEL_RULE}
# Priority of requests; 0 comes first.
PRIORITY_RULE = {"type": "integer", "min": 0, "max": 9}
BACKEND_RULE = {
    "type": "dict",
    "schema": {
        "service": NAME_RULE,
        "weight": {"type": "integer", "min": 0, "max": 1_000_000, "required": True},
    },
}
# Largest token count that a resource may hold.
MAX_TOKENS = 10_000_000
# Features that an engine may declare.
ABILITIES = ["load", "cancel", "resume", "priority", "events", "orders", "fencing", "echo"]

SCHEMA: dict[str, dict[str, typing.Any]] = {
    "account": {
        "name": NAME_RULE,
        "residency": LABEL_LIST_RULE,
        "weight": {"type": "number", "min": 0.01, "max": 1000},
        "client": {"type": "string", "maxlength": 63},
        "priority": {**PRIORITY_RULE, "nullable": True},
    },
    "client": {
        "name": NAME_RULE,
        "closed": {"type": "boolean"},
        "home": LABEL_RULE,
    },
    "key": {
        "name": NAME_RULE,
        "account": NAME_RULE,
        "digest": {"type": "string", "regex": r"[0-9a-f]{64}", "required": True},
        "withdrawn": {"type": "boolean"},
    },
    "rate": {
        "name": NAME_RULE,
        "tokens_per_s": {"type": "number", "min": 0, "max": 1e9, "required": True},
        "burst_tokens": {"type": "number", "min": 0, "max": 1e10, "required": True},
    },
    "service": {
        "name": NAME_RULE,
        "kind": {"type": "string", "allowed": ["model", "plain"]},
        "max_output_tokens": {"type": "integer", "min": 1, "max": MAX_TOKENS},
        "tokens_per_call": {"type": "integer", "min": 0, "max": MAX_TOKENS},
    },
    "route": {
        "name": NAME_RULE,
        "target": {**NAME_RULE, "required": False},
        "service": {**NAME_RULE, "required": False},
        "regions": LABEL_LIST_RULE,
        "accounts": {"type": "list", "maxlength": 4096, "schema": {"type": "string"}},
        "open": {"type": "boolean"},
        "account": {"type": "string", "maxlength": 63},
        "idempotent": {"type": "boolean"},
        "host": {"type": "string", "regex": r"[a-z0-9]([a-z0-9.-]{0,252}[a-z0-9])?"},
        "prefix": {"type": "string", "regex": r"/([!-.0->@-~][!-.0->@-~/]*/)?", "maxlength": 1024},
        "backends": {"type": "list", "maxlength": 64, "schema": BACKEND_RULE},
        "timeout_s": {"type": "number", "min": 0, "max": 86400},
        "attempts": {"type": "integer", "min": 1, "max": 10},
        "priority": PRIORITY_RULE,
    },
    "upstream": {
        "name": NAME_RULE,
        "service": NAME_RULE,
        "region": {**LABEL_RULE, "required": True},
        "zone": {**LABEL_RULE, "required": True},
        "address": {
            "type": "string",
            "regex": r"http://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}",
            "required": True,
        },
        "slots": {"type": "integer", "min": 1, "max": 65536},
        "leaving": {"type": "boolean"},
        "cost": {"type": "number", "min": 0, "max": 1e6},
        "abilities": {"type": "list", "allowed": ABILITIES},
    },
}
