"""Small stand-ins for the systems around the gateway; not part of the shipped program.

Each is one small process. ``POST /faults`` with a JSON object switches its faults.
"""
