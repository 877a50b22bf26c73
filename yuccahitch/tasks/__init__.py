"""Asyncio tasks; each owns its sockets and state and exchanges messages with the others."""
