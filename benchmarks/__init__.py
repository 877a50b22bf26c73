"""Benchmarks of the policy in virtual time, of processes, and of slopes for the capacity page."""
