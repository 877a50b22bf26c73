"""Codecs of the users' platform: its names, formats and calls, translated to the project's types.

These modules make no decisions, and code outside them uses only the project's types.
"""
