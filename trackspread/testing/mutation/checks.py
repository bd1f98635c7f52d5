"""Defines the checks that mutants are run against, cheapest first.

Modules under test are imported only inside the checks, because by then the mutant has replaced them.
"""

from __future__ import annotations

import contextlib
import io
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

Check = Callable[[], bool]  # returns whether it found a fault

SCHEDULES = 24  # seeds played with a mutant for each kind of world; a quick run has a sixth of them
CALM_INTERVAL = 8  # every eighth schedule of the gateways is calm
USAGE_FACTOR = 4  # schedules of usage records for each other schedule, as they are short


@dataclass(frozen=True, slots=True)
class NamedCheck:
    """Holds a check and its name in results."""

    name: str
    run: Check


def _run_pytest(*names: str) -> bool:
    import pytest

    options = ["-x", "-q", "-p", "no:cacheprovider", "--hypothesis-seed=0"]
    paths = [f"tests/{name}.py" for name in names]
    with contextlib.redirect_stdout(io.StringIO()), contextlib.redirect_stderr(io.StringIO()):
        return pytest.main([*options, *paths]) != 0


def _tests(*names: str) -> NamedCheck:
    return NamedCheck("tests", partial(_run_pytest, *names))


def _planning_schedules_fail(seeds: Iterable[int]) -> bool:
    from ..virtual.planning.schedules import make, play

    return any(play(make(seed)).violations for seed in seeds)


def _saturated_planning_fails(seeds: Iterable[int]) -> bool:
    from ..virtual.planning.saturated import make, play

    return any(play(make(seed)).violations for seed in seeds)


def _gateway_schedules_fail(seeds: Iterable[int]) -> bool:
    from ..virtual.schedules import make, play

    return any(play(make(seed))[0].violations for seed in seeds)


def _usage_schedules_fail(seeds: Iterable[int]) -> bool:
    from ..virtual.usage.schedules import make, play

    return any(play(make(seed))[0] for seed in seeds)


def _reservations_fail(seeds: Iterable[int]) -> bool:
    from ..virtual.reservations import play

    return any(play(seed) for seed in seeds)


def _counter_schedules_fail(seeds: Iterable[int]) -> bool:
    from ..virtual.counter.mutants import KINDS

    return any(play(seed) for seed in seeds for play in KINDS.values())


def checks(package: str, schedules: int = SCHEDULES) -> tuple[NamedCheck, ...]:
    """Returns the checks for mutants of a package; raises `KeyError` for a package that has none.

    An equal number of calm schedules of the gateways is added, as only these are checked for use of quotas.
    """
    seeds = range(schedules)
    match package:
        case "planning":
            return (
                _tests("planning/test_planning"),
                NamedCheck("saturated", partial(_saturated_planning_fails, seeds)),
                NamedCheck("planned", partial(_planning_schedules_fail, seeds)),
            )
        case "decide":
            calm = range(schedules, schedules + CALM_INTERVAL * schedules, CALM_INTERVAL)
            return (
                _tests(
                    "decide/test_model",
                    "decide/test_broker",
                    "project/test_limits",
                    "decide/test_many_gateways",
                ),
                NamedCheck("schedules", partial(_gateway_schedules_fail, (*seeds, *calm))),
            )
        case "storage" | "usage":
            usage_seeds = range(USAGE_FACTOR * schedules)
            return (
                _tests("storage/test_storage", "usage/test_usage"),
                NamedCheck("used", partial(_usage_schedules_fail, usage_seeds)),
            )
        case "counter":
            return (
                _tests("counter/test_counter_leases"),
                NamedCheck("counted", partial(_counter_schedules_fail, seeds)),
            )
        case "plans":
            return (
                _tests("plans/test_plans", "plans/test_calendar"),
                NamedCheck("booked", partial(_reservations_fail, seeds)),
            )
    return {
        "testing.judge": (_tests("testing/test_judge"),),
        "backends": (_tests("backends/test_backends"),),
        "framing": (_tests("simulator/test_simulator_wire", "fronts/test_clients"),),
    }[package]
