"""Measures slopes of one gateway's decision module, by backends, tenants, customers and members.

The slopes are those of CPU and memory. Each subject of `subjects.py` runs in fresh processes, several for
each size, and the median counts. A figure is void if the middle half of its repeats still spreads over a
fifth of the median after another try.
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

REPEATS = 5  # Fresh processes for each size.
TRIES = 2  # Of all repeats of a size, if they spread.
MAX_SPREAD = 0.2  # Between the quartiles of the repeats, as a share of the median.
CHILD_TIMEOUT_S = 120.0
DOUBLINGS = 4  # The hold-out is halved so often; each result is a fitted size.

SERVICE_BACKENDS = 28  # There are 59,000 in 2,100 services.
MEGABYTE = 1e6
MEMORY = 64 * MEGABYTE  # Bytes, the limit of all control tasks in a gateway.
BYTES = 5_000.0  # Bytes/s, the limit of all control tasks in a gateway.
SHARE = 0.018  # Of a core, the limit of all control tasks in a gateway.
ADDED = 0.0043  # s, the limit of the latency added to a request at the 99th percentile.
LINE = 4 << 20  # Bytes, the longest line of a list that a gateway accepts (lists/agent.py).

Figures = dict[str, list[float]]


class Kind(msgspec.Struct, frozen=True):
    """Describes one figure of a subject: its unit, its limit in that unit, and a note for the reader."""

    unit: str
    limit: float | None
    note: str = ""


class Subject(msgspec.Struct, frozen=True):
    """Describes one factor: the things counted, the held-out size, and its figures by name."""

    name: str
    factor: str
    held_out: int
    kinds: dict[str, Kind]
    # The function in `program`; empty if it has the name of the subject.
    function: str = ""
    # The module that has the function.
    program: str = "subjects"

    @property
    def sizes(self) -> tuple[int, ...]:
        """Returns the fitted sizes, and last the hold-out at twice the largest of them."""
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
    # This measures the same at the backends of some 16 services.
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
    """Holds the median and the spread of each figure at one size."""

    medians: dict[str, float]
    spread: dict[str, float]


class ChildError(RuntimeError):
    """Reports a child process that ended without figures."""


def this_run(command: str) -> Run:
    """Returns the run of `command` now, as the file of slopes names it."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    return Run(
        date=time.strftime("%Y-%m-%dT%H:%MZ", time.gmtime()),
        command=command,
        commit=commit or "unknown",
    )


def spread(values: list[float]) -> float:
    """Returns the width of the middle half of the values, as a share of the median."""
    low, _, high = quantiles(values, n=4, method="inclusive")
    middle = median(values)
    return (high - low) / middle if middle else 0.0


def child(name: str, size: int, program: str = "subjects") -> dict[str, float]:
    """Runs one subject in a fresh process and returns its figures. Raises ChildError."""
    command = [sys.executable, "-m", f"benchmarks.scale.{program}", name, str(size)]
    try:
        ended = subprocess.run(command, capture_output=True, text=True, timeout=CHILD_TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired as error:
        raise ChildError(f"{name} {size}: not finished within {CHILD_TIMEOUT_S:g} s") from error
    if ended.returncode:
        raise ChildError(f"{name} {size}: {ended.stderr.strip().splitlines()[-1:]}")
    figures: dict[str, float] = json.loads(ended.stdout)
    return figures


def measure_size(subject: Subject, size: int, repeats: int) -> Outcome:
    """Returns the medians of `repeats` processes; repeats all of them if any figure spreads too far."""
    outcome = Outcome({}, {})
    for _ in range(TRIES):
        name = subject.function or subject.name
        results = [child(name, size, subject.program) for _ in range(repeats)]
        columns = {key: [each[key] for each in results] for key in subject.kinds}
        outcome = Outcome(
            {key: median(values) for key, values in columns.items()},
            {key: spread(values) for key, values in columns.items()},
        )
        if max(outcome.spread.values()) <= MAX_SPREAD:
            break
    return outcome


def measure_subject(subject: Subject, this: Run, repeats: int) -> list[Measurement]:
    """Returns one measurement for each of the subject's figures."""
    outcomes = {size: measure_size(subject, size, repeats) for size in subject.sizes}
    load = os.getloadavg()[0]
    made = []
    for key, kind in subject.kinds.items():
        points: list[Point] = [(size, outcome.medians[key]) for size, outcome in outcomes.items()]
        worst = max(outcome.spread[key] for outcome in outcomes.values())
        repeats_note = f"median of {repeats}, spread {worst:.0%}, load {load:.1f} on {os.cpu_count()} cores"
        made.append(
            measurement(
                f"module.{subject.name}.{key}",
                subject.factor,
                kind.unit,
                points[:-1],
                points[-1],
                this,
                limit=kind.limit,
                void=worst > MAX_SPREAD,
                note="; ".join(filter(None, (kind.note, repeats_note))),
            )
        )
    return made


def measure(names: Iterable[str] = (), repeats: int = REPEATS) -> list[Measurement]:
    """Measures all subjects, or those named; progress goes to standard error."""
    chosen = set(names)
    command = " ".join(["python -m benchmarks.capacity --measure", *sorted(chosen)])
    this = this_run(command if repeats == REPEATS else f"{command} --repeats {repeats}")
    made = []
    for subject in SUBJECTS:
        if chosen and subject.name not in chosen:
            continue
        for found in measure_subject(subject, this, repeats):
            say(summary(found))
            made.append(found)
    return made


def summary(found: Measurement) -> str:
    """Formats a measurement in one line."""
    base, slope = found.coefficients
    state = "void" if found.void else "wrong" if found.wrong else "holds"
    return (
        f"{found.name}: {found.shape.value}, {base:.3g} + {slope:.3g} f(size) {found.unit}; at "
        f"{found.holdout.size:g} predicted {found.holdout.predicted:.4g}, measured "
        f"{found.holdout.measured:.4g}, off by {found.holdout.error:.0%}: {state}; {found.note}"
    )
