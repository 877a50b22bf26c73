"""Runs the command line interface: ``python -m yuccahitch``."""

from yuccahitch import cli

if __name__ == "__main__":
    cli.main()
