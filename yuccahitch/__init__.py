"""A multi-region inference gateway."""

VERSION = "0.1.0"
