"""Benchmarks: policy and limits in virtual time, real processes, slopes for the capacity page."""
