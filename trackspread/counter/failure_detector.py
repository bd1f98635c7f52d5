"""Who is alive on the same counter, by beats alone: the evidence that every right rests on.

The rules of this file:
- A beat that changed was written after the read before the one that showed it: that read's sending is the
  time from which its writer is known to have lived, by this process's own clock. Where the counter's clock
  says that the beat is older still, as it lay on its way, that holds.
- A beat may have arrived although its answer did not. So after a call that failed nothing is written until a
  read was answered: the last sign of life that others can have seen is never later than `sent`.
- Whoever has not been seen for `KEPT` may be on the other half of a split; from `OUT` on he has let go of all
  but his even slice, and so have those who count on him. Whoever is seen again may have crossed from one half
  to the other: those whom he left count on his being there for as long again.

May know: beats, times. May not know: members, claims.
"""

from __future__ import annotations

from dataclasses import dataclass

from .terms import KEPT, MILLISECOND, OUT, PROVE, Heartbeat, Reply, unpack_heartbeat

NEVER = -(1 << 62)  # ns, before any time


@dataclass(slots=True)
class Observation:
    """One other gateway. `since`: it lived then or later. `changes`: beats seen so far."""

    beat: Heartbeat
    since: int
    changes: int = 0


class FailureDetector:
    """One partition of the counter as this gateway sees it."""

    def __init__(self, slot: int, slots: int, incarnation: int, now: int) -> None:
        self.slot, self.slots, self.incarnation, self.born = slot, slots, incarnation, now
        self.seen: dict[int, Observation] = {}
        self.number = 0  # of this gateway's beats
        self.sent = now  # of the last beat: nobody can have seen a later one, nor one of a former life
        self.acked = NEVER  # sending of the last beat that was answered
        self.read = NEVER  # sending of the last read that was answered
        self.first_read = NEVER
        self.token, self.token_since = b"", now
        self.replaced = 0  # times that another counter was found in its place
        self.trusting = False  # whether beats may be written: the counter's clock is read first
        self._clock, self._clock_at = 0, now  # the counter's, in ms, and when it was told: not before
        self.quiet: frozenset[int] = frozenset()  # not seen for `KEPT`, at the last look
        self.gone: frozenset[int] = frozenset()  # nor for `OUT`
        self.back: dict[int, int] = {}  # who is seen again, and since when: for `OUT`
        self._raw: dict[int, bytes] = {}  # the fields last read: most have not changed
        self._look_at = now  # until then nobody falls silent, nor is anybody back for long enough

    def clock(self, now: int) -> int:
        """The counter's, in ms, as far as is known."""
        return self._clock + (now - self._clock_at) // MILLISECOND

    def next_heartbeat(self, now: int) -> Heartbeat:
        """The next sign of life; to be written now."""
        self.number, self.sent = self.number + 1, now
        return Heartbeat(self.incarnation, self.number, self.clock(now))

    def failed(self) -> None:
        """A call on this partition's heartbeats had no answer: a read comes before the next write."""
        self.trusting = False

    def answered(self, now: int, sent: int, wrote: bool, reply: Reply) -> None:
        """The answer to a call on this partition's beats that was sent at `sent`."""
        if sent <= self.read:
            return
        if self.first_read == NEVER:
            self.first_read = self._look_at = sent
        if wrote:
            self.acked = sent
        self._clock, self._clock_at = reply.clock, now
        if reply.token != self.token:
            self.replaced += bool(self.token)
            self.token, self.token_since = reply.token, now
        for slot, data in reply.fields.items():
            if self._raw.get(slot) == data:
                continue
            self._raw[slot] = data
            beat = unpack_heartbeat(data)
            if beat is None or slot == self.slot or not 0 <= slot < self.slots:
                continue
            known = self.seen.get(slot)
            if known is None:
                # It may have been written at any time, and come back with a heal: only changes are signs.
                self.seen[slot], self._look_at = Observation(beat, self.first_read), now
                continue
            # What a lagging replica or a healed half brings up again, also of a former life, says nothing
            # new; but where nobody lived for long, a life whose clock was set back is believed.
            newer = (beat.incarnation, beat.number) > (known.beat.incarnation, known.beat.number)
            if newer or (slot in self.gone and beat.incarnation != known.beat.incarnation):
                written = sent - max(0, reply.clock - beat.clock) * MILLISECOND
                since = max(known.since, min(self.read, written))
                self.seen[slot] = Observation(beat, since, known.changes + 1)
                self._look_at = now if slot in self.quiet else self._look_at
        self.read = sent

    def age(self, now: int, slot: int) -> int:
        """ns since this gateway is known to have lived; since the first look, for one never seen."""
        known = self.seen.get(slot)
        if known is not None:
            return now - known.since
        return now - self.first_read if self.first_read != NEVER else 0

    def own(self, now: int) -> bool:
        """Whether others can be taken to know that this gateway lives."""
        return now - self.acked <= KEPT

    def even_due(self, now: int) -> bool:
        """Whether all others have let go of this gateway's even slice."""
        return now - self.sent >= OUT

    def look(self, now: int) -> None:
        """Take note of who is silent; to be called before anything is decided at `now`."""
        if now < self._look_at:
            return
        ages = {s: self.age(now, s) for s in range(self.slots) if s != self.slot}
        quiet = frozenset(s for s, age in ages.items() if age > KEPT)
        self.back = {slot: at for slot, at in self.back.items() if now - at <= OUT and slot not in quiet}
        self.back.update(dict.fromkeys(self.quiet - quiet, now))
        self.quiet = quiet
        self.gone = frozenset(s for s, age in ages.items() if age > OUT)
        left = [(OUT if age > KEPT else KEPT) - age for age in ages.values() if age <= OUT]
        ends = [at + OUT - now for at in self.back.values()]
        self._look_at = now + 1 + min([*left, *ends], default=OUT)

    def marks(self) -> dict[int, int]:
        """What `advanced_since` compares with later."""
        return {slot: known.changes for slot, known in self.seen.items()}

    def advanced_since(self, marks: dict[int, int]) -> bool:
        """Whether every other has shown a beat since, beyond the one that may have been under way, or has
        been silent for so long that it holds its even slice at most."""
        return all(
            slot in self.gone or (slot in self.seen and self.seen[slot].changes >= marks.get(slot, 0) + 2)
            for slot in range(self.slots)
            if slot != self.slot
        )

    def state(self, now: int) -> str:
        """For people; what may be spent in each is in `lease.py`."""
        if not self.own(now):
            return "lost" if self.acked != NEVER or now - self.born > OUT else "rebuilding"
        if self.quiet - self.gone or not self.trusting:
            return "doubted"
        if self.gone:
            return "split"
        return "rebuilding" if now - self.token_since < PROVE else "sound"
