"""Decides which upstream or region gets a request, and which request waits for it."""
