"""The checks that mutants are put to, cheapest first; each says whether it found anything wrong.

Modules under test are imported inside the checks alone: by then the mutant stands in their place.
"""

from __future__ import annotations

import contextlib
import io
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

Check = Callable[[], bool]  # True: something is wrong

SCHEDULES = 24  # seeds that a mutant is played under, of each kind of world; a sixth in a quick run


@dataclass(frozen=True, slots=True)
class Named:
    """A check by name."""

    name: str
    run: Check


def _tests(*paths: str) -> Named:
    def run() -> bool:
        import pytest

        with contextlib.redirect_stdout(io.StringIO()), contextlib.redirect_stderr(io.StringIO()):
            return (
                pytest.main(
                    [
                        "-x",
                        "-q",
                        "-p",
                        "no:cacheprovider",
                        "--hypothesis-seed=0",
                        *(f"tests/{path}.py" for path in paths),
                    ]
                )
                != 0
            )

    return Named("tests", run)


def _planned(seeds: Iterable[int]) -> bool:
    from ..virtual.planning.schedules import make, play

    return any(play(make(seed)).broken for seed in seeds)


def _saturated(seeds: Iterable[int]) -> bool:
    from ..virtual.planning.saturated import make, play

    return any(play(make(seed)).broken for seed in seeds)


def _schedules(seeds: Iterable[int]) -> bool:
    from ..virtual.schedules import make, play

    return any(play(make(seed))[0].violations for seed in seeds)


def _used(seeds: Iterable[int]) -> bool:
    from ..virtual.usage.schedules import make, play

    return any(play(make(seed))[0] for seed in seeds)


def _booked(seeds: Iterable[int]) -> bool:
    from ..virtual.reservations import play

    return any(play(seed) for seed in seeds)


def _counted(seeds: Iterable[int]) -> bool:
    from ..virtual.counter.mutants import KINDS

    return any(play(seed) for seed in seeds for play in KINDS.values())


def checks(package: str, schedules: int = SCHEDULES) -> tuple[Named, ...]:
    """What may kill a mutant of this package. Of the gateways' schedules as many again are calm ones,
    which alone are held to quotas."""
    if package == "planning":
        return (
            _tests("planning/test_planning"),
            Named("saturated", partial(_saturated, range(schedules))),
            Named("planned", partial(_planned, range(schedules))),
        )
    if package == "decide":
        calm = range(schedules, schedules + 8 * schedules, 8)
        return (
            _tests(
                "decide/test_model", "decide/test_broker", "project/test_limits", "decide/test_many_gateways"
            ),
            Named("schedules", partial(_schedules, (*range(schedules), *calm))),
        )
    if package in ("storage", "usage"):
        return (
            _tests("storage/test_storage", "usage/test_usage"),
            Named("used", partial(_used, range(4 * schedules))),
        )
    if package == "counter":
        return _tests("counter/test_counter_leases"), Named("counted", partial(_counted, range(schedules)))
    if package == "plans":
        return _tests("plans/test_plans", "plans/test_calendar"), Named(
            "booked", partial(_booked, range(schedules))
        )
    return {
        "testing.judge": (_tests("testing/test_judge"),),
        "backends": (_tests("backends/test_backends"),),
        "framing": (_tests("simulator/test_simulator_wire", "fronts/test_clients"),),
    }[package]
