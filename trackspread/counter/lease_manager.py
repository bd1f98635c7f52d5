"""The whole of it at one gateway: events in, calls to the counter and rights for the decision module out.

The rules of this file:
- Nothing is waited for: whoever asks gets at once what is usable, and more when the counter has answered.
- One call on a name at a time; a call without an answer within `TIMEOUT` has failed, whatever comes later.
- Before the first beat after a loss all that is used here is written down (`lease.py`, `next_claim`).
- Calls have a pace: what failed halves it, what was answered raises it. Beats come before members.

May know: leases, failure detectors. May not know: sockets, the loop, the decision module.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from .failure_detector import FailureDetector
from .lease import SHORT, Lease
from .terms import (
    EPSILON,
    FLOOR,
    GUARANTEED,
    HEARTBEAT,
    MOST_MEMBERS,
    SECOND,
    TIMEOUT,
    Call,
    Grant,
    Reply,
    Terms,
    even,
    pack_heartbeat,
    partition_of,
)

TICK = 50_000_000  # ns between looks: an eighth of a beat
PACE_LEAST, PACE_MOST = 50.0, 20_000.0  # calls a second, of one gateway
PACE_START = 1_000.0  # a second, at a start: it doubles within some twenty answers
PACE_UP = 1.05  # for each answer
PACE_SAVED = 0.1  # s of the pace that may be saved up, and so come at once
MOST_OUT = 512  # calls without an answer
NOTED = 1e-4  # change of a share that the module is told of

Output = Call | Grant
UsageCount = Callable[[int], tuple[float, float]]  # of a member: units spent here, and in the quota's store


@dataclass(slots=True)
class PendingCall:
    """A call that is out. `said`: the share it claims."""

    call: Call
    at: int
    said: float = 0.0
    wrote: bool = False


@dataclass(slots=True)
class PartitionState:
    """One partition. `unwritten`: members whose use is to be written down before the next beat."""

    detector: FailureDetector
    due: int
    members: set[int] = field(default_factory=set)
    unwritten: set[int] = field(default_factory=set)
    returning: bool = False
    out: bool = False
    shown: tuple[object, ...] = ()


class LeaseManager:
    """`asked` before each request, `short` where it found too little, `tick` when `due`, `answered` and
    `failed` for each call. All give what is to be done, in order."""

    def __init__(
        self, slot: int, slots: int, partitions: int, incarnation: int, seed: int, now: int, store: UsageCount
    ) -> None:
        self._store = store
        self.slot, self.slots, self.partitions = slot, slots, partitions
        self._rng = random.Random(seed)
        self.parts = [
            PartitionState(FailureDetector(slot, slots, incarnation, now), now + self._rng.randrange(TICK))
            for _ in range(partitions)
        ]
        self.leases: dict[int, Lease] = {}
        self.due = now
        self.calls: Counter[str] = Counter()  # beats, members, failed
        self.pace, self._saved, self._paced_at = PACE_START, PACE_START * PACE_SAVED, now
        self._sent: dict[int, PendingCall] = {}
        self._out: set[int] = set()  # members with a call out
        self._owed: set[int] = set()  # members for whom the module waits
        self._told: dict[int, tuple[float, float, float]] = {}
        self._queue: list[tuple[int, int]] = []  # when due, member; those that moved are passed over
        self._numbers = 0

    # From the module.

    def asked(self, now: int, member: int, terms: Terms, units: float) -> list[Output]:
        """A request has come; to be called before the module sees it."""
        out: list[Output] = self.tick(now) if now >= self.due else []
        held = self.leases.get(member)
        if held is None:
            if len(self.leases) >= MOST_MEMBERS:
                share = even(member, terms, self.slot)
                return [*out, Grant(member, FLOOR * share, GUARANTEED * share, 0.0, 0.0, None, False)]
            held = self._hold(now, member, terms)
        elif held.terms is not terms and held.terms != terms:
            held.change(terms)
        due = held.due
        held.ask(now, units)
        if held.due != due:
            self._push(held)
        out += self._tell(now, held)
        return out + (self._members(now) if held.due <= now else [])

    def short(self, now: int, member: int) -> list[Output]:
        """The module has too little for a request that it holds: one `Grant` follows, now or with the answer
        to the first claim on the member."""
        held = self.leases.get(member)
        if held is None:
            return []
        self._owed.add(member)
        return self._members(now) + self._tell(now, held)

    def _hold(self, now: int, member: int, terms: Terms) -> Lease:
        held = self.leases[member] = Lease(member, terms, self.slot, now)
        part = self._part(member)
        part.members.add(member)
        if part.returning:
            part.unwritten.add(member)
        self._push(held)
        return held

    def _part(self, member: int) -> PartitionState:
        return self.parts[partition_of(member, self.partitions)]

    # From the clock.

    def tick(self, now: int) -> list[Output]:
        """What is due at `now`, ns: calls without an answer fail, heartbeats and claims go out."""
        out: list[Output] = []
        self.due = now + TICK
        for number in [n for n, sent in self._sent.items() if now - sent.at >= TIMEOUT]:
            out += self.failed(now, number)
        for index, part in enumerate(self.parts):
            out += self._look(now, part)
            if now >= part.due and not part.out:
                out.append(self._heartbeat(now, index, part))
        return out + self._members(now)

    def _look(self, now: int, part: PartitionState) -> list[Output]:
        """Who is silent, and what that changes for the members here."""
        detector = part.detector
        detector.look(now)
        own, quiet, gone = detector.own(now), detector.quiet, detector.gone
        shown = own, own or detector.even_due(now), quiet, gone, detector.trusting
        if shown == part.shown:
            return []
        part.shown = shown
        out: list[Output] = []
        for member in part.members:
            out += self._tell(now, self.leases[member])
        return out

    def _heartbeat(self, now: int, index: int, part: PartitionState) -> Call:
        detector = part.detector
        part.due = now + HEARTBEAT - self._rng.randrange(HEARTBEAT // 8)
        back = detector.trusting and not (part.returning and part.unwritten)
        value = pack_heartbeat(detector.next_heartbeat(now)) if back else None
        part.out = True
        self.calls["beats"] += 1
        return self._call(now, index, None, value)

    def _speaking(self, now: int, part: PartitionState) -> bool:
        """Whether claims are worth a call."""
        return part.detector.trusting and (part.detector.own(now) or part.returning)

    def _members(self, now: int) -> list[Output]:
        """Claims that are due, as the pace allows."""
        self._saved = min(
            self.pace * PACE_SAVED + 1.0, self._saved + self.pace * (now - self._paced_at) / SECOND
        )
        self._paced_at = now
        out: list[Output] = []
        while self._queue and self._queue[0][0] <= now and self._saved >= 1.0 and len(self._sent) < MOST_OUT:
            due, member = heappop(self._queue)
            held = self.leases.get(member)
            if held is None or held.due != due or member in self._out:
                continue
            index = partition_of(member, self.partitions)
            part = self.parts[index]
            if not self._speaking(now, part):
                held.due = now + HEARTBEAT // 2
                self._push(held)
                continue
            self._saved -= 1.0
            value = held.next_claim(now, part.detector, *self._store(member))
            out += self._tell(now, held)
            self._out.add(member)
            self.calls["members"] += 1
            out.append(self._call(now, index, member, value, held.said))
        return out

    def _call(self, now: int, index: int, member: int | None, value: bytes | None, said: float = 0.0) -> Call:
        self._numbers += 1
        call = Call(self._numbers, index, member, value)
        self._sent[call.number] = PendingCall(call, now, said, value is not None)
        return call

    def _push(self, held: Lease) -> None:
        heappush(self._queue, (held.due, held.member))
        if len(self._queue) > 64 + 4 * len(self.leases):  # those that moved are in the way
            self._queue = [(each.due, member) for member, each in self.leases.items()]
            heapify(self._queue)

    # From the counter.

    def answered(self, now: int, number: int, reply: Reply) -> list[Output]:
        """The counter's reply to call `number`."""
        sent = self._sent.get(number)
        if sent is None or now - sent.at >= TIMEOUT:
            return self.failed(now, number)  # also after this process stood still: what it says is old
        del self._sent[number]
        self.pace = min(PACE_MOST, self.pace * PACE_UP)
        part, member = self.parts[sent.call.partition], sent.call.member
        if member is None:
            return self._heartbeat_answered(now, part, sent, reply)
        self._out.discard(member)
        held = self.leases.get(member)
        if held is None:
            return []
        part.detector.look(now)
        held.answered(now, sent.at, sent.said, reply, part.detector)
        part.unwritten.discard(member)
        if held.idle(now) and not sent.said and not held.claimed and not held.asked:
            return self._drop(now, held, part)
        self._push(held)
        return self._tell(now, held)

    def _drop(self, now: int, held: Lease, part: PartitionState) -> list[Output]:
        del self.leases[held.member]
        part.members.discard(held.member)
        self._owed.discard(held.member)
        out = self._tell(now, held)
        self._told.pop(held.member, None)
        return out

    def _heartbeat_answered(
        self, now: int, part: PartitionState, sent: PendingCall, reply: Reply
    ) -> list[Output]:
        detector, part.out = part.detector, False
        detector.answered(now, sent.at, sent.wrote, reply)
        if not sent.wrote and not detector.trusting:
            # There again. What is used here goes first, if others may have taken this one for dead.
            detector.trusting = True
            part.returning = not detector.own(now)
            part.unwritten = set(part.members) if part.returning else set()
            for member in part.unwritten:
                held = self.leases[member]
                held.due = now
                self._push(held)
            part.due = min(part.due, now + TICK)
        elif sent.wrote:
            part.returning = False
            part.unwritten.clear()
        elif part.returning and not part.unwritten:
            part.due = now
        out = self._look(now, part)
        return out + self._members(now)

    def failed(self, now: int, number: int) -> list[Output]:
        """No answer, or one that is none: it may have been carried out all the same."""
        sent = self._sent.pop(number, None)
        if sent is None:
            return []
        self.calls["failed"] += 1
        self.pace = max(PACE_LEAST, self.pace / 2)
        part, member = self.parts[sent.call.partition], sent.call.member
        if member is None:
            part.out = False
            part.detector.failed()
            part.returning = False
            return self._look(now, part)
        self._out.discard(member)
        held = self.leases.get(member)
        if held is None:
            return []
        held.proving = 0.0
        held.due = now + SHORT + self._rng.randrange(SHORT)
        self._push(held)
        return self._tell(now, held)

    # To the module.

    def _tell(self, now: int, held: Lease) -> list[Output]:
        part, due = self._part(held.member), held.due
        soft, hard, places = held.usable(now, part.detector)
        if held.due != due and held.member in self.leases:
            self._push(held)
        old = self._told.get(held.member, (-1.0, -1.0, -1.0))
        more = not held.known and self._speaking(now, part)
        owed = held.member in self._owed and not more
        fresh = soft, hard, places
        # Less is told at once and to the last bit: the sum over all gateways rests on it.
        same = all(was - EPSILON <= is_now < was + NOTED for was, is_now in zip(old, fresh, strict=True))
        if same and not held.taken and held.level is None and not owed:
            return []
        self._told[held.member] = fresh
        taken, level, held.taken, held.level = held.taken, held.level, 0.0, None
        if owed:
            self._owed.discard(held.member)
        return [Grant(held.member, *fresh, taken, level, more)]

    def states(self, now: int) -> list[str]:
        """Of each partition, for people."""
        for part in self.parts:
            part.detector.look(now)
        return [part.detector.state(now) for part in self.parts]
