"""Decides what of the platform's store is known, how old that is, and who reads it."""
