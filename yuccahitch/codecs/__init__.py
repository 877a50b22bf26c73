"""Translation of messages to and from HTTP, JSON and protobuf."""
