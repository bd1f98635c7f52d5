"""What the operator's tools spend at one size: `trackspread fleet view` over the whole fleet.

`python -m benchmarks.scale.operator_tools NAME SIZE`, as `subjects.py`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from functools import partial
from statistics import median

import msgspec

from trackspread.commands.fleet import decode, differences
from trackspread.membership.report import FleetReport, MemberReport

from .subjects import REPEATS, Figures, duration_of, print_figures


def answer(size: int) -> bytes:
    """What one gateway of so many says of its fleet."""
    seen = tuple(
        MemberReport(
            f"gateway-{number:04}",
            "ALIVE",
            1_764_000_000_000 + number,
            0,
            "0.1.0",
            f"10.{number >> 8}.{number & 255}.1:7400",
            100.0,
            True,
        )
        for number in range(size)
    )
    report = FleetReport(
        fleet="rating-eu",
        name="gateway-0000",
        status="settled",
        view=(1, 0, 5),
        members=size,
        usable_fraction=1.0 / size,
        leader="gateway-0001",
        is_coordinator=False,
        health=0,
        known_members=seen,
        differing_names=(),
        counts={"pings": 100},
        dropped={},
    )
    return msgspec.json.encode(report)


def fleet_view(size: int) -> Figures:
    """All gateways' answers read and compared; each tells of all members. Asking takes its time beside it."""
    told = answer(size)
    steps = [duration_of(partial(compare, told, size)) for _ in range(REPEATS)]
    return {"bytes": len(told) * size, "cpu": median(steps)}


def compare(told: bytes, size: int) -> None:
    """As the command does it."""
    differences([decode("10.0.0.1:8081", told) for _ in range(size)])


SUBJECTS = {subject.__name__: subject for subject in (fleet_view,)}


def main(words: Iterable[str]) -> int:
    return print_figures(SUBJECTS, words)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
