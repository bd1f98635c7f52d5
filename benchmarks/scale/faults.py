"""Reads the effects of faults from the report of the last full scale run, docs/capacity/scale.json.

`python -m benchmarks.scale` prints the same object as its last line. Only the keys shown on the page are
read.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from .slopes import SLOPES, Run, SlopesError

REPORT = SLOPES.with_name("scale.json")


class Fault(msgspec.Struct, frozen=True):
    """Holds the members struck by one fault, and its effects.

    `settle_s` is the time until all held one view again, or None if they did not.
    """

    fault: str
    members: int
    struck: int
    settle_s: float | None
    peak_bytes_s: float
    false_dead: int


class Report(msgspec.Struct, frozen=True):
    """Holds the keys of a scale run's report that the page shows."""

    date: str
    command: str
    commit: str
    void: bool
    mechanism: str = "flat"
    failures: tuple[Fault, ...] = ()

    @property
    def run(self) -> Run:
        """Returns the run that wrote the report."""
        return Run(self.date, self.command, self.commit)


def load(path: Path = REPORT) -> Report | None:
    """Reads the stored report; returns None if there is none. Raises SlopesError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as error:
        raise SlopesError(path, "file", str(error)) from error
