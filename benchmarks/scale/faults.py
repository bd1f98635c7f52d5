"""What faults at size did, as the last scale run in full told it: docs/capacity/scale.json, for the page.

`python -m benchmarks.scale` prints that object as its last line; only what the page shows is read of it.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from .slopes import SLOPES, Run, SlopesError

REPORT = SLOPES.with_name("scale.json")


class Fault(msgspec.Struct, frozen=True):
    """One fault: whom it struck, and what came of it. `settle_s`: until all held the same again, None where
    they did not."""

    fault: str
    members: int
    struck: int
    settle_s: float | None
    peak_bytes_s: float
    false_dead: int


class Report(msgspec.Struct, frozen=True):
    """The part of a scale run's object that the page shows."""

    date: str
    command: str
    commit: str
    void: bool
    mechanism: str = "flat"
    failures: tuple[Fault, ...] = ()

    @property
    def run(self) -> Run:
        """Which run it is."""
        return Run(self.date, self.command, self.commit)


def load(path: Path = REPORT) -> Report | None:
    """The object that was kept; None without one. Raises SlopesError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as error:
        raise SlopesError(path, "file", str(error)) from error
