"""The page of capacity, docs/CAPACITY.md: its tables worked out from the measured slopes.

Prints the tables; `--write` puts them into the page between its markers, `--check` fails when the page
differs; `--measure` measures the slopes of the decision module (some minutes) and keeps them in the file.
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
    """A page whose markers are not those of the generated parts: the file and what is wanted, in one line."""


def written(text: str, parts: dict[str, str]) -> str:
    """The page with each generated part between its markers. Raises PageError."""
    names = [match["name"] for match in _PART.finditer(text)]
    if sorted(names) != sorted(parts):
        raise PageError(
            f"{PAGE}: markers: found {', '.join(names) or 'none'}, wanted once each of {', '.join(parts)}"
        )
    return _PART.sub(lambda match: f"{match[1]}{parts[match['name']]}\n{match[3]}", text)


def generated() -> dict[str, str]:
    """All generated parts, from the files as they are. Raises SlopesError."""
    return Page(slopes.load(), latency.load(), faults.load()).parts()


def main() -> int:
    """Exit status: 1 where the page differs, 2 where a file can't be used."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--measure", nargs="*", metavar="SUBJECT", help="measure first: all, or those named")
    parser.add_argument(
        "--repeats", type=int, default=module.REPEATS, help="fresh processes a size, %(default)s unless told"
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
