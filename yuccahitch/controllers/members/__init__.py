"""Decides which instances live, which of them callers use, and when this one has left."""
