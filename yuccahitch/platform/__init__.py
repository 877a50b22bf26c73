"""The users' platform: its names, formats and calls, translated to the project's own types.

Nothing here decides anything; everything outside works with the types alone.
"""
