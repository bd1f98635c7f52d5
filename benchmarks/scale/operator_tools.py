"""Measures the operator's tools at one size: `trackspread fleet view` over all gateways.

`python -m benchmarks.scale.operator_tools NAME SIZE` prints figures as `subjects.py` does.
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
    """Returns the answer of one of `size` gateways about its fleet."""
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
    """Measures reading and comparing the answers of all gateways, each about all members.

    The time of the queries is not included.
    """
    data = answer(size)
    steps = [duration_of(partial(compare, data, size)) for _ in range(REPEATS)]
    return {"bytes": len(data) * size, "cpu": median(steps)}


def compare(data: bytes, size: int) -> None:
    """Compares the answers as the command does."""
    differences([decode("10.0.0.1:8081", data) for _ in range(size)])


SUBJECTS = {subject.__name__: subject for subject in (fleet_view,)}


def main(arguments: Iterable[str]) -> int:
    return print_figures(SUBJECTS, arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
