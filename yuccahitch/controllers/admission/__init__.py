"""Decides which requests are admitted by their priority while a service is short of places."""
