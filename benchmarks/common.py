"""What several measurements do alike: the command's flag, progress on standard error, seeds in portions."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import uvloop

CHUNK = 20  # schedules that a worker takes at once


def say(text: str) -> None:
    """Standard output is for the figures alone."""
    print(text, file=sys.stderr, flush=True)


def chunks(first: int, count: int) -> Iterator[range]:
    for start in range(first, first + count, CHUNK):
        yield range(start, min(start + CHUNK, first + count))


def tell(doc: str | None, measure: Callable[[bool], Coroutine[Any, Any, dict[str, float]]]) -> int:
    """The command: takes `--quick`, and prints what was measured as one JSON object. Exit status."""
    parser = argparse.ArgumentParser(description=(doc or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="under 50 s")
    print(json.dumps(uvloop.run(measure(parser.parse_args().quick))))
    return 0
