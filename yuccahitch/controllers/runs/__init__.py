"""Decides whether a request may run, or run again: keys, orders, leases, retries and crashes."""
