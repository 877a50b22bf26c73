"""The statuses that HTTP answers may have."""

from __future__ import annotations

MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599


def is_final(status: int) -> bool:
    """Return whether an answer that ends an exchange may have a status."""
    return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS
