"""Stand-ins for the systems around the gateway, for tests and examples; not shipped.

Each is an HTTP application; ``POST /faults`` with a JSON object sets its fault switches.
"""
