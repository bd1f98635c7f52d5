"""Generates the tables of the capacity page, docs/CAPACITY.md, from the measured slopes.

Without a flag, it prints the tables. `--write` puts them between the markers of the page, `--check` fails
when the page differs. `--measure` measures the slopes of the decision module (some minutes) and stores them.
"""

from __future__ import annotations

import argparse
import re
import sys
from pathlib import Path

from .scale import faults, latency, module, slopes
from .scale.page import Page

PAGE = Path(__file__).resolve().parents[1] / "docs" / "CAPACITY.md"
_PART = re.compile(r"(<!-- capacity: (?P<name>\w+) -->\n).*?(<!-- end of (?P=name) -->)", re.DOTALL)


class PageError(Exception):
    """Reports, in one line, a page whose markers do not match the generated parts."""


def written(text: str, parts: dict[str, str]) -> str:
    """Returns the page with each generated part between its markers. Raises PageError."""
    names = [match["name"] for match in _PART.finditer(text)]
    if sorted(names) != sorted(parts):
        raise PageError(
            f"{PAGE}: markers: must be {', '.join(parts)}, each once, got {', '.join(names) or 'none'}"
        )
    return _PART.sub(lambda match: f"{match[1]}{parts[match['name']]}\n{match[3]}", text)


def generated() -> dict[str, str]:
    """Returns all generated parts, from the stored files. Raises SlopesError."""
    return Page(slopes.load(), latency.load(), faults.load()).parts()


def main() -> int:
    """Runs the command; its exit status is 1 if the page differs and 2 if a file cannot be used."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument(
        "--measure", nargs="*", metavar="SUBJECT", help="measure all or the named subjects first"
    )
    parser.add_argument(
        "--repeats", type=int, default=module.REPEATS, help="new processes per size (%(default)s)"
    )
    parser.add_argument("--write", action="store_true", help="put the tables into docs/CAPACITY.md")
    parser.add_argument("--check", action="store_true", help="fail when docs/CAPACITY.md differs")
    given = parser.parse_args()
    try:
        if given.measure is not None:
            slopes.merge(module.measure(given.measure, given.repeats))
        parts = generated()
        if not (given.write or given.check):
            print("\n\n".join(parts.values()))
            return 0
        text = PAGE.read_text()
        fresh = written(text, parts)
    except (slopes.SlopesError, PageError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    if given.write:
        PAGE.write_text(fresh)
    elif fresh != text:
        print(
            f"{PAGE}: differs from docs/capacity/slopes.json: run `python -m benchmarks.capacity --write`",
            file=sys.stderr,
        )
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
