"""Probes one member at a time: first directly, then through helpers, until it counts as failed.

The protocol follows SWIM (Das and others 2002), with Lifeguard's local health (Dadgar and others 2018):

| state of a probe | event | result |
| --- | --- | --- |
| direct | its ack arrives | done, in time |
| direct | `DIRECT_FRACTION` of the interval, times the timeout factor, ends | indirect: `HELPERS` ping it |
| indirect | its ack arrives, from the member or a helper | done, late |
| indirect | the interval times the timeout factor ends | failed; if no helper sent a nack, health worsens |

The health score counts events that point to a fault of this process: its own loop ran late, reachable helpers
did not answer, or others suspected it. While its health is bad, all its timeouts are longer, so that a slow
process does not suspect all others.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from .identifiers import MS, MemberId

# SWIM's k: where a tenth of the datagrams is lost, all three helpers fail in one of 300 cases.
HELPERS = 3
DIRECT_FRACTION = 0.4  # fraction of the interval for the direct ping; the rest is for the indirect ones
MAX_HEALTH = 8  # the worst health score; 0 is healthy (Lifeguard's local health multiplier)
LATE_TICK_NS = 100 * MS  # lateness of a tick that worsens the process's own health


@dataclass(slots=True)
class Probe:
    """Holds a probe in progress."""

    sequence: int
    member_id: MemberId
    started_at_ns: int
    helpers: int = 0  # number of helpers that were asked
    nacks: int = 0
    is_indirect: bool = False


class ProbeResult(NamedTuple):
    """Holds an answered probe; `in_time` says that the ack arrived before helpers were asked."""

    member_id: MemberId
    in_time: bool


class Prober:
    """Tracks the probes of one member; the caller sends the pings and reports the answers."""

    def __init__(self, interval_ns: int, rng: random.Random) -> None:
        self._interval_ns = interval_ns
        self._rng = rng
        self._order: list[MemberId] = []
        self._sequence = rng.getrandbits(30)
        self.in_progress: dict[int, Probe] = {}  # keyed by sequence number
        self.health = 0  # health score: 0 is healthy, MAX_HEALTH the worst
        self._next_at_ns = 0

    def timeout_factor(self) -> int:
        """Returns the factor of all timeouts, which grows with this process's own bad health."""
        return 1 + self.health

    def next_sequence(self) -> int:
        """Returns a new sequence number for a ping."""
        self._sequence = self._sequence + 1 & 0x7FFFFFFF
        return self._sequence

    def start_interval(self, now_ns: int) -> bool:
        """Returns whether an interval begins now; a late tick worsens the health."""
        if now_ns < self._next_at_ns:
            return False
        if self._next_at_ns and now_ns - self._next_at_ns > LATE_TICK_NS:
            self.worsen_health()
        self._next_at_ns = now_ns + self._interval_ns
        return True

    def start_next(self, now_ns: int, candidates: list[MemberId]) -> Probe | None:
        """Starts a probe of the next member; each is probed once, in random order, before any is again."""
        present = set(candidates)
        while self._order:
            member_id = self._order.pop()
            if member_id in present:
                return self.start(now_ns, member_id)
        if not candidates:
            return None
        self._order = list(candidates)
        self._rng.shuffle(self._order)
        return self.start(now_ns, self._order.pop())

    def start(self, now_ns: int, member_id: MemberId) -> Probe | None:
        """Starts a probe of this member and returns it, or None where one is in progress."""
        if any(each.member_id == member_id for each in self.in_progress.values()):
            return None
        probe = Probe(self.next_sequence(), member_id, now_ns)
        self.in_progress[probe.sequence] = probe
        return probe

    def record_ack(self, sequence: int) -> ProbeResult | None:
        """Returns the result of the probe that this ack ends, or None where that probe has already ended."""
        probe = self.in_progress.pop(sequence, None)
        if probe is None:
            return None
        in_time = not probe.is_indirect
        if in_time:
            self.improve_health()
        return ProbeResult(probe.member_id, in_time)

    def record_nack(self, sequence: int) -> None:
        """Counts a helper's answer that it has received no ack."""
        if (probe := self.in_progress.get(sequence)) is not None:
            probe.nacks += 1

    def make_indirect(self, now_ns: int) -> list[Probe]:
        """Marks the probes whose direct ping has timed out as indirect, and returns them."""
        timeout_ns = int(DIRECT_FRACTION * self._interval_ns) * self.timeout_factor()
        timed_out = [
            probe
            for probe in self.in_progress.values()
            if not probe.is_indirect and now_ns - probe.started_at_ns >= timeout_ns
        ]
        for probe in timed_out:
            probe.is_indirect = True
        return timed_out

    def take_failed(self, now_ns: int) -> list[MemberId]:
        """Returns the members whose probes have failed, and ends these probes.

        Where no helper sent a nack, the fault may lie in this process, and its health worsens.
        """
        timeout_ns = self._interval_ns * self.timeout_factor()
        failed = [
            probe
            for probe in self.in_progress.values()
            if probe.is_indirect and now_ns - probe.started_at_ns >= timeout_ns
        ]
        for probe in failed:
            del self.in_progress[probe.sequence]
            if probe.helpers and not probe.nacks:
                self.worsen_health()
        return [probe.member_id for probe in failed]

    def worsen_health(self) -> None:
        """Moves the health score one step towards `MAX_HEALTH`."""
        self.health = min(MAX_HEALTH, self.health + 1)

    def improve_health(self) -> None:
        """Moves the health score one step towards 0."""
        self.health = max(0, self.health - 1)
