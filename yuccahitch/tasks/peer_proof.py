"""How instances prove to each other that they belong to the same fleet."""

from __future__ import annotations

import hashlib
import hmac

HEADER = "x-fleet-proof"
SENDER_HEADER = "x-fleet-sender"


def proof(secret: str, sender: str) -> str:
    """Return the proof that a sender knows the fleet's secret."""
    return hmac.new(secret.encode(), f"peer {sender}".encode(), hashlib.sha256).hexdigest()


def valid(secret: str, sender: str, shown: str) -> bool:
    """Return whether a proof is right."""
    return hmac.compare_digest(proof(secret, sender).encode(), shown.encode())
