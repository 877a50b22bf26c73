"""Decides which software version of a service may go on with a stream."""
