"""Controllers: one module for each piece of state. No controller does I/O.

A controller is given messages and the time, and puts what it wants done into its outbox, which the
core task empties after each message.
"""
