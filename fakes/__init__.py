"""Fakes of the store, the network and the upstreams in virtual time, for tests and benchmarks."""
