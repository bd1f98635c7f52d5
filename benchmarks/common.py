"""Provides what several benchmarks share: the flag, progress on standard error, and chunks of seeds."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import uvloop

CHUNK = 20  # Schedules per task of a worker.


def say(text: str) -> None:
    """Prints progress to standard error, because standard output is only for the figures."""
    print(text, file=sys.stderr, flush=True)


def chunks(first: int, count: int) -> Iterator[range]:
    """Yields the seeds from `first` on in ranges of `CHUNK` seeds at most."""
    for start in range(first, first + count, CHUNK):
        yield range(start, min(start + CHUNK, first + count))


def run_command(doc: str | None, measure: Callable[[bool], Coroutine[Any, Any, dict[str, float]]]) -> int:
    """Runs a benchmark with the flag `--quick`, prints its figures as JSON, and returns the exit status."""
    parser = argparse.ArgumentParser(description=(doc or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="take less than 50 s")
    print(json.dumps(uvloop.run(measure(parser.parse_args().quick))))
    return 0
