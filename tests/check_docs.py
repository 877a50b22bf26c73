"""Checks that the generated reference pages match the code; run by ``make lint``."""

from __future__ import annotations

import pathlib
import sys

from docs import generate

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def main() -> int:
    """Print each page that is out of date; return 1 if there is any, else 0."""
    stale = [
        name
        for name, make in generate.PAGES.items()
        if not (DOCS / name).exists() or (DOCS / name).read_text() != make()
    ]
    for name in stale:
        print(f"docs/{name} is out of date: run python docs/generate.py")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
