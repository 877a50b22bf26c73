"""Authentication between instances by an HMAC with the secret of their fleet."""

from __future__ import annotations

import hashlib
import hmac

PROOF_HEADER = "x-fleet-proof"
SENDER_HEADER = "x-fleet-sender"


def compute_proof(secret: str, sender: str) -> str:
    """Return the HMAC, in hexadecimal, by which a sender proves that it knows the secret."""
    return hmac.new(secret.encode(), f"peer {sender}".encode(), hashlib.sha256).hexdigest()


def is_valid(secret: str, sender: str, presented_proof: str) -> bool:
    """Return whether a proof is the sender's; compared in constant time."""
    return hmac.compare_digest(compute_proof(secret, sender).encode(), presented_proof.encode())
