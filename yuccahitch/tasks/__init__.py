"""Tasks: each owns its sockets and its state, and talks to the others by messages."""
