"""Decides how much of a client account's rate and burst this instance may spend."""
