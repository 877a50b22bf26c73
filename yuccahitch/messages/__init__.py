"""Typed messages between filters, controllers, tasks and processes."""
