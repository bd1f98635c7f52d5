"""Slopes of one gateway's decision module: CPU and memory against backends, tenants, customers and members.

Each subject of `subjects.py` runs in a fresh process, several times a size; the median counts. A figure whose
middle half of repeats spreads over a fifth of the median after another try is void, and says so.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterable
from statistics import median, quantiles

import msgspec

from benchmarks.common import say

from .fit import Point
from .slopes import Measurement, Run, measurement

REPEATS = 5  # fresh processes a size
TRIES = 2  # of all repeats of a size, where they spread
SPREAD_MOST = 0.2  # of the median, between the quartiles of the repeats
CHILD_MOST = 120.0  # s for one process
DOUBLINGS = 4  # the sizes are the hold-out's halves: four of them are fitted

SERVICE_BACKENDS = 28  # 59,000 in 2,100 services
MEGABYTE = 1e6
MEMORY = 64 * MEGABYTE  # bytes that all control together may take in a gateway
BYTES = 5_000.0  # bytes/s that all control together may take of a gateway
SHARE = 0.018  # of a core that all control together may take in a gateway
ADDED = 0.0043  # s that may be added to a request, for 99 in 100
LINE = 4 << 20  # bytes of a list's line that a gateway takes (lists/agent.py)

Figures = dict[str, list[float]]


class Kind(msgspec.Struct, frozen=True):
    """One figure of a subject: its unit, its limit in that unit, and what a reader must know of it."""

    unit: str
    limit: float | None
    note: str = ""


class Subject(msgspec.Struct, frozen=True):
    """One factor: what is counted, the size held out, and its figures by name."""

    name: str
    factor: str
    held_out: int
    kinds: dict[str, Kind]
    # In subjects.py; its own name unless told.
    function: str = ""
    # The module that has it.
    program: str = "subjects"

    @property
    def sizes(self) -> tuple[int, ...]:
        """The smaller ones, which are fitted, and last the hold-out at twice the largest of them."""
        return tuple(max(1, self.held_out >> shift) for shift in range(DOUBLINGS, -1, -1))


STALL = "of one turn of the loop: what comes meanwhile waits so long"
REQUEST = "a request from its arrival to its end"
SUBJECTS = (
    Subject(
        "backends",
        "backends known to a gateway",
        59_008,
        {
            "memory": Kind("bytes", MEMORY),
            "list_first": Kind("s", ADDED, STALL),
            "list": Kind("s", ADDED, STALL),
            "change": Kind("s", ADDED, "one backend drains: its change alone, without its parsing"),
            "beat": Kind("share of a core", SHARE, "the module's ten beats a second"),
            "arrival": Kind("s", ADDED, REQUEST),
        },
    ),
    Subject("candidates", "backends of the request's service", 224, {"arrival": Kind("s", ADDED, REQUEST)}),
    Subject(
        "line",
        "backends in a full list",
        59_008,
        {
            "bytes": Kind("bytes", LINE, "a longer line is taken for no list"),
            "parse": Kind("s", ADDED, STALL),
            "change_bytes": Kind("bytes", None, "one backend's change"),
        },
    ),
    # The same at the backends of some 16 services.
    Subject(
        "carried",
        "backends of its services",
        896,
        {
            "list_first": Kind("s", ADDED, STALL),
            "list": Kind("s", ADDED, STALL),
            "change": Kind("s", ADDED, "one backend drains: its change alone, without its parsing"),
            "beat": Kind("share of a core", SHARE, "the module's ten beats a second"),
            "arrival": Kind("s", ADDED, REQUEST),
        },
        "backends",
    ),
    Subject(
        "services",
        "services of 28 backends at a gateway",
        128,
        {
            "memory": Kind("bytes", MEMORY),
            "list_first": Kind("s", ADDED, STALL),
            "list": Kind("s", ADDED, STALL),
            "change": Kind("s", ADDED, "one backend drains: its change alone, without its parsing"),
            "beat": Kind("share of a core", SHARE, "the ten beats a second of all services' brokers"),
            "arrival": Kind("s", ADDED, REQUEST),
        },
    ),
    Subject(
        "carried_line",
        "backends of its services in a full list",
        896,
        {
            "bytes": Kind("bytes", LINE, "a longer line is taken for no list"),
            "parse": Kind("s", ADDED, STALL),
        },
        "line",
    ),
    Subject(
        "plans",
        "plans",
        290_000,
        {
            "memory": Kind("bytes", MEMORY),
            "change": Kind("s", ADDED, STALL),
        },
    ),
    Subject(
        "reservations",
        "tenants with figures of their own",
        290_000,
        {
            "memory": Kind("bytes", MEMORY),
            "change": Kind("s", ADDED, STALL),
        },
    ),
    Subject(
        "customers",
        "customers active at a gateway",
        8_000,
        {
            "memory": Kind("bytes", MEMORY),
            "beat": Kind("share of a core", SHARE, "commitments evaluated"),
        },
    ),
    Subject(
        "pressed",
        "commitments under pressure at a gateway",
        672,
        {
            "evaluation": Kind(
                "s", ADDED, "all due at once, as after a change of plans; else spread over 20 beats"
            ),
        },
    ),
    Subject(
        "members",
        "gateways in one view",
        7_200,
        {
            "change": Kind("s", ADDED, STALL),
            "first": Kind("s", ADDED, "the first request of a customer after a change of the view"),
            "arrival": Kind("s", ADDED, "a later request"),
        },
    ),
    Subject(
        "asks",
        "requests a second at a gateway",
        134,
        {
            "bytes": Kind(
                "bytes/s", BYTES, "payload, sent or received, where each customer's home is elsewhere"
            ),
        },
        program="quota_traffic",
    ),
    Subject(
        "counter_heartbeats",
        "gateways at one counter",
        3_600,
        {
            "bytes": Kind("bytes/s", BYTES, "payload received, 8 partitions"),
            "cpu": Kind("share of a core", SHARE, "heartbeats alone, without claims"),
        },
        program="quota_traffic",
    ),
    Subject(
        "routes",
        "routes at a replica",
        62_000,
        {
            "memory": Kind("bytes", None, "200 bytes a route, log and snapshot"),
            "change": Kind("s", None, "one change, appended and committed by the core alone"),
            "poll": Kind("s", None, "a gateway's poll that finds nothing new, the core alone"),
            "delta": Kind("s", None, "a gateway's poll that finds one change, the core alone"),
        },
        program="control_state",
    ),
    Subject(
        "subscribed",
        "routes that a gateway follows",
        62_000,
        {
            "memory": Kind("bytes", MEMORY, "200 bytes a route"),
            "change": Kind("s", ADDED, "one change, the core alone"),
        },
        program="control_state",
    ),
    Subject(
        "directory",
        "gateways in the directory of cells",
        7_200,
        {
            "memory": Kind("bytes", None),
            "locate": Kind("s", None, "a new gateway's question where it is to be, the core alone"),
            "report": Kind("s", None, "a seed's report of a cell, the core alone"),
            "looks": Kind("share of a core", None, "the leader's four looks a second"),
        },
        program="control_state",
    ),
    Subject(
        "fleet_view",
        "gateways asked, each of which tells of all",
        800,
        {
            "bytes": Kind("bytes", None, "all answers"),
            "cpu": Kind("s", None, "read and compared, without the asking"),
        },
        program="operator_tools",
    ),
)


class Outcome(msgspec.Struct):
    """Medians at one size, and the figures whose repeats spread too far."""

    medians: dict[str, float]
    spread: dict[str, float]


class ChildError(RuntimeError):
    """A child process that ended without figures."""


def this_run(command: str) -> Run:
    """A run of `command` at this moment, as the file of slopes names it."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    return Run(
        date=time.strftime("%Y-%m-%dT%H:%MZ", time.gmtime()),
        command=command,
        commit=commit or "unknown",
    )


def spread(values: list[float]) -> float:
    """The width of the middle half, as a share of the median."""
    low, _, high = quantiles(values, n=4, method="inclusive")
    middle = median(values)
    return (high - low) / middle if middle else 0.0


def child(name: str, size: int, program: str = "subjects") -> dict[str, float]:
    """One fresh process. Raises ChildError."""
    command = [sys.executable, "-m", f"benchmarks.scale.{program}", name, str(size)]
    try:
        ended = subprocess.run(command, capture_output=True, text=True, timeout=CHILD_MOST, check=False)
    except subprocess.TimeoutExpired as error:
        raise ChildError(f"{name} {size}: not done within {CHILD_MOST:g} s") from error
    if ended.returncode:
        raise ChildError(f"{name} {size}: {ended.stderr.strip().splitlines()[-1:]}")
    figures: dict[str, float] = json.loads(ended.stdout)
    return figures


def measure_size(subject: Subject, size: int, repeats: int) -> Outcome:
    """The medians of so many processes; all of them once more if any figure spreads."""
    outcome = Outcome({}, {})
    for _ in range(TRIES):
        name = subject.function or subject.name
        told = [child(name, size, subject.program) for _ in range(repeats)]
        columns = {key: [each[key] for each in told] for key in subject.kinds}
        outcome = Outcome(
            {key: median(values) for key, values in columns.items()},
            {key: spread(values) for key, values in columns.items()},
        )
        if max(outcome.spread.values()) <= SPREAD_MOST:
            break
    return outcome


def measure_subject(subject: Subject, this: Run, repeats: int) -> list[Measurement]:
    """One measurement for each of the subject's figures."""
    outcomes = {size: measure_size(subject, size, repeats) for size in subject.sizes}
    load = os.getloadavg()[0]
    made = []
    for key, kind in subject.kinds.items():
        points: list[Point] = [(size, outcome.medians[key]) for size, outcome in outcomes.items()]
        worst = max(outcome.spread[key] for outcome in outcomes.values())
        busy = f"median of {repeats}, spread {worst:.0%}, load {load:.1f} on {os.cpu_count()} cores"
        made.append(
            measurement(
                f"module.{subject.name}.{key}",
                subject.factor,
                kind.unit,
                points[:-1],
                points[-1],
                this,
                limit=kind.limit,
                void=worst > SPREAD_MOST,
                note="; ".join(filter(None, (kind.note, busy))),
            )
        )
    return made


def measure(names: Iterable[str] = (), repeats: int = REPEATS) -> list[Measurement]:
    """All subjects, or those named; progress goes to standard error."""
    chosen = set(names)
    words = " ".join(["python -m benchmarks.capacity --measure", *sorted(chosen)])
    this = this_run(words if repeats == REPEATS else f"{words} --repeats {repeats}")
    made = []
    for subject in SUBJECTS:
        if chosen and subject.name not in chosen:
            continue
        for found in measure_subject(subject, this, repeats):
            say(tell(found))
            made.append(found)
    return made


def tell(found: Measurement) -> str:
    """One line for people."""
    base, slope = found.coefficients
    state = "void" if found.void else "wrong" if found.wrong else "holds"
    return (
        f"{found.name}: {found.shape.value}, {base:.3g} + {slope:.3g} f(size) {found.unit}; at "
        f"{found.holdout.size:g} predicted {found.holdout.predicted:.4g}, measured "
        f"{found.holdout.measured:.4g}, off by {found.holdout.error:.0%}: {state}; {found.note}"
    )
