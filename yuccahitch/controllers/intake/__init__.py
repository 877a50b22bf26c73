"""What an instance holds for callers: bytes of bodies and heads, and connections."""
