"""Decides which configuration of the operators is in force, and who watches for its changes."""
