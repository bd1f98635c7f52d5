"""Probes one member at a time: pinged, then pinged through others, then suspected.

After SWIM (Das and others 2002) with Lifeguard's local health (Dadgar and others 2018):

| a probe's state | on | then |
| --- | --- | --- |
| direct | its ack | done, in time |
| direct | `DIRECT_FRACTION` of the interval, times the timeout factor | indirect: `HELPERS` others ping it |
| indirect | its ack, from it or through a helper | done, late |
| indirect | the interval times the timeout factor | failed; without a nack of any helper, health worsens |

Health counts what only this process can be to blame for: its own loop ran late, reachable helpers did not
answer, others suspected it. While it is bad, all its timeouts are longer, so that a slow process does not
suspect all others.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from .identifiers import MS, MemberId

HELPERS = 3  # SWIM's k: a fleet that loses a tenth of its datagrams fails all three in one of 300 times
DIRECT_FRACTION = 0.4  # of the interval for a direct ping, which leaves the rest for the indirect ones
MAX_HEALTH = 8  # the worst; 0 is healthy (Lifeguard's local health multiplier)
LATE_TICK_NS = 100 * MS  # lateness of a tick that counts against the process's own health


@dataclass(slots=True)
class Probe:
    """A probe in progress."""

    sequence: int
    member_id: MemberId
    started_at_ns: int
    helpers: int = 0  # that were asked
    nacks: int = 0
    is_indirect: bool = False


class ProbeResult(NamedTuple):
    """An answered probe; `in_time`: before helpers were asked."""

    member_id: MemberId
    in_time: bool


class Prober:
    """Probes of one member. The caller sends the pings, and reports the answers."""

    def __init__(self, interval_ns: int, rng: random.Random) -> None:
        self._interval_ns = interval_ns
        self._rng = rng
        self._order: list[MemberId] = []
        self._sequence = rng.getrandbits(30)
        self.in_progress: dict[int, Probe] = {}  # by sequence number
        self.health = 0  # steps of bad health: 0 is healthy, MAX_HEALTH the worst
        self._next_at_ns = 0

    def timeout_factor(self) -> int:
        """By how much all timeouts are longer for this process's own bad health."""
        return 1 + self.health

    def next_sequence(self) -> int:
        """A number for a ping."""
        self._sequence = self._sequence + 1 & 0x7FFFFFFF
        return self._sequence

    def start_interval(self, now_ns: int) -> bool:
        """Whether an interval begins now; a late tick worsens the health."""
        if now_ns < self._next_at_ns:
            return False
        if self._next_at_ns and now_ns - self._next_at_ns > LATE_TICK_NS:
            self.worsen_health()
        self._next_at_ns = now_ns + self._interval_ns
        return True

    def start_next(self, now_ns: int, candidates: list[MemberId]) -> Probe | None:
        """Probe the next member in turn: each once in a random order before any comes again."""
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
        """Probe this member now; None where a probe of it is in progress."""
        if any(each.member_id == member_id for each in self.in_progress.values()):
            return None
        probe = Probe(self.next_sequence(), member_id, now_ns)
        self.in_progress[probe.sequence] = probe
        return probe

    def record_ack(self, sequence: int) -> ProbeResult | None:
        """The probe that this ack ends; None where it is over already."""
        probe = self.in_progress.pop(sequence, None)
        if probe is None:
            return None
        in_time = not probe.is_indirect
        if in_time:
            self.improve_health()
        return ProbeResult(probe.member_id, in_time)

    def record_nack(self, sequence: int) -> None:
        """A helper answered that it had no ack."""
        if (probe := self.in_progress.get(sequence)) is not None:
            probe.nacks += 1

    def make_indirect(self, now_ns: int) -> list[Probe]:
        """The probes whose direct ping has timed out now; they are indirect from here on."""
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
        """The members whose probes have failed. Without any helper's nack the fault may be this process's."""
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
        """One step towards `MAX_HEALTH`."""
        self.health = min(MAX_HEALTH, self.health + 1)

    def improve_health(self) -> None:
        """One step towards 0."""
        self.health = max(0, self.health - 1)
