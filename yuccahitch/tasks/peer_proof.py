"""How instances prove to each other that they belong to the same fleet."""

from __future__ import annotations

import hashlib
import hmac

PROOF_HEADER = "x-fleet-proof"
SENDER_HEADER = "x-fleet-sender"


def compute_proof(secret: str, sender: str) -> str:
    """Return the proof that a sender knows the fleet's secret."""
    return hmac.new(secret.encode(), f"peer {sender}".encode(), hashlib.sha256).hexdigest()


def is_valid(secret: str, sender: str, presented_proof: str) -> bool:
    """Return whether a proof is right."""
    return hmac.compare_digest(compute_proof(secret, sender).encode(), presented_proof.encode())
