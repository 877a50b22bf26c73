"""Decides what is known of each upstream: its load, its health and the rate that it names."""
