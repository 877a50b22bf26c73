"""Filters: each module decides about one step of a request. No filter does I/O.

``controllers/instance/gateway.py`` chains admit, authenticate (check_forwarded for a forwarded
request), match, residency, idempotency, poison, rate_limit, place and dispatch, over the resource
catalog. ``controllers/instance/edge.py`` chains admit, routing, credentials, allowed_regions,
poison, quota, assign and send, over the published configuration; for a forwarded request,
restore_forwarded stands in for routing, credentials and allowed_regions, and quota is left out.
"""
