"""Who answers: one member at a time is pinged, then asked after through others, then suspected.

After SWIM (Das and others 2002) with Lifeguard's local health (Dadgar and others 2018):

| a probe's state | on | then |
| --- | --- | --- |
| asked | its ack | over, in time |
| asked | `DIRECT` times health without one | helped: `HELPERS` others are asked to ping it |
| helped | its ack, from it or through a helper | over, late |
| helped | the end of the period times health | failed: it is suspected; no nack of any helper: health falls |

Health counts what only this process can be to blame for: its own loop came late, helpers that are there did
not answer, others suspected it. While it is bad, all its times are longer, so that a slow one does not blame
all others. May know: members' names, acks, times handed in. May not know: addresses, states, updates, views.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from .terms import MS, Who

HELPERS = 3  # SWIM's k: a fleet that loses a tenth of its datagrams fails all three in one of 300 times
DIRECT = 0.4  # of the period, until helpers are asked: over any way on one network, with time for theirs left
HEALTH_MOST = 8  # steps of local health, each as much longer again
LATE = 100 * MS  # ns by which a tick may come late before it counts against one's own health


@dataclass(slots=True)
class Probe:
    """One that is under way."""

    seq: int
    who: Who
    began: int
    helpers: int = 0  # that were asked
    answered: int = 0  # of these, acks and nacks
    helped: bool = False


class Probing:
    """The probes of one member. The caller pings whoever `begin` names and tells of all that comes."""

    def __init__(self, period: int, rng: random.Random) -> None:
        self._period, self._rng = period, rng
        self._order: list[Who] = []
        self._seq = rng.getrandbits(30)
        self.open: dict[int, Probe] = {}
        self.health = 0  # 0: well
        self._next = 0

    def stretch(self) -> int:
        return 1 + self.health

    def number(self) -> int:
        self._seq = self._seq + 1 & 0x7FFFFFFF
        return self._seq

    def due(self, now: int) -> bool:
        """Whether a period has begun; a tick that came late is one's own fault."""
        if now < self._next:
            return False
        if self._next and now - self._next > LATE:
            self.worse()
        self._next = now + self._period
        return True

    def begin(self, now: int, among: list[Who]) -> Probe | None:
        """The next in turn, each once in a random order before any comes again."""
        known = set(among)
        while self._order:
            who = self._order.pop()
            if who in known:
                return self.extra(now, who)
        if not among:
            return None
        self._order = list(among)
        self._rng.shuffle(self._order)
        return self.extra(now, self._order.pop())

    def extra(self, now: int, who: Who) -> Probe | None:
        """One out of turn, unless it is under way."""
        if any(each.who == who for each in self.open.values()):
            return None
        probe = Probe(self.number(), who, now)
        self.open[probe.seq] = probe
        return probe

    def acked(self, now: int, seq: int) -> tuple[Who, bool] | None:
        """Of whom it is, and whether in time; None for one that is over."""
        probe = self.open.pop(seq, None)
        if probe is None:
            return None
        if not probe.helped:
            self.better()
        return probe.who, not probe.helped

    def nacked(self, seq: int) -> None:
        if (probe := self.open.get(seq)) is not None:
            probe.answered += 1

    def wanting(self, now: int) -> list[Probe]:
        """Those that helpers are wanted for now."""
        late = int(DIRECT * self._period) * self.stretch()
        made = [p for p in self.open.values() if not p.helped and now - p.began >= late]
        for probe in made:
            probe.helped = True
        return made

    def failed(self, now: int) -> list[Who]:
        """Those whose time is over. Where no helper said a word, it may be one's own loss."""
        over = [p for p in self.open.values() if p.helped and now - p.began >= self._period * self.stretch()]
        for probe in over:
            del self.open[probe.seq]
            if probe.helpers and not probe.answered:
                self.worse()
        return [probe.who for probe in over]

    def worse(self) -> None:
        self.health = min(HEALTH_MOST, self.health + 1)

    def better(self) -> None:
        self.health = max(0, self.health - 1)
