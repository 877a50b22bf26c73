"""Codecs between messages and HTTP, JSON and protobuf."""
