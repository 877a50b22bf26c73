"""Controllers, each of which owns one piece of an instance's state. They do no I/O.

A controller receives messages and the current time and appends commands to its ``outbox``. The core
task takes the commands after each message and passes them to the tasks that do the I/O. The
docstring of each package says what its controllers decide.
"""
