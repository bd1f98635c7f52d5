"""What a gateway says for its customers' limits at one size: asks to homes, a shared counter's beats.

`python -m benchmarks.scale.quota_traffic NAME SIZE`, as `subjects.py`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from itertools import cycle
from statistics import median

import hiredis

from trackspread.counter.commands import TOKEN_FIELD, parse_reply
from trackspread.counter.lease_manager import LeaseManager
from trackspread.counter.calls import Call
from trackspread.counter.claims import Heartbeat, pack_heartbeat
from trackspread.counter.timing import HEARTBEAT_NS
from trackspread.decide.actions import Action, SendToPeers, StartAttempt
from trackspread.decide.events import AttemptEnded, FleetChanged, Outcome, PeerMessage
from trackspread.decide.rendezvous_hashing import owner_among
from trackspread.membership.slot_allocation import ALL_SLOTS, slots_of, slots_to_bytes
from trackspread.membership.messages import MemberMessage, PeerData
from trackspread.membership.wire import Keys, Wire

from .subjects import (
    MEMBERS,
    REPEATS,
    SECOND,
    SERVICE,
    START,
    Driver,
    Figures,
    full_list,
    print_figures,
    settings,
    duration_of,
)

ASKER, HOME = 0, 1  # gateways by number
CUSTOMERS = 40  # of which the home is the other one
SPAN = 5  # s that are counted
PARTITIONS = 8  # of a counter, its default


def fleet(me: int, size: int = MEMBERS) -> FleetChanged:
    """The view of so many as one of them has it; each has its even part."""
    seats = tuple(slots_of((number, size)) for number in range(size))
    others = tuple(number for number in range(size) if number != me)
    return FleetChanged(
        own_number=me,
        peers=others,
        quota_owners=tuple(range(size)),
        gateway_slots=seats,
        own_slots=seats[me],
        peer_slots=tuple(seats[number] for number in others),
        valid_until_ns=2 * START,
        reassigned_at_ns=2 * START,
    )


class Pair:
    """A gateway that asks and the home of its customers, with all bytes that they say to one another."""

    def __init__(self) -> None:
        self.drivers = [Driver(replace(settings(), gateway_index=number)) for number in (ASKER, HOME)]
        self.bytes = self.sent = 0
        self._wire = Wire("rating-eu", Keys(b"k" * 32), MEMBERS)
        self._part = slots_to_bytes(slots_of((0, MEMBERS)) & ALL_SLOTS)
        for number, driver in enumerate(self.drivers):
            driver.handle(fleet(number))
            driver.handle(full_list(SERVICE, 1))

    def request(self, customer: int) -> None:
        """One from its arrival to its end."""
        self._do(ASKER, self.drivers[ASKER].ask(customer, MEMBERS))

    def pause(self, span: int) -> None:
        """So many ns go by."""
        for driver in self.drivers:
            driver.now += span

    def _do(self, number: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendToPeers(recipient=to, data=data) if to == 1 - number:
                    body = PeerData(data, self._part)
                    message = MemberMessage("rating-eu", f"gateway-{number:04}", START, body, 1 << 62)
                    self.bytes += len(self._wire.pack(message))
                    self._do(to, self.drivers[to].handle(PeerMessage(number, data)))
                case StartAttempt(request=request, backend=backend):
                    self.sent += 1
                    ended = AttemptEnded(request, True, 0, backend, 0, Outcome.OK, SECOND // 100, 0, ())
                    self._do(number, self.drivers[number].handle(ended))


def asks(size: int) -> Figures:
    """So many requests a second whose customers' homes are other gateways. What one sends as asker and as
    home of others' customers is what it receives, as all are alike."""
    pair = Pair()
    homes = tuple(range(MEMBERS))
    customers = [each for each in range(1, 200 * CUSTOMERS) if owner_among(homes, each) == HOME][:CUSTOMERS]
    turns = cycle(customers)
    for _ in range(size * SPAN):
        pair.request(next(turns))
        pair.pause(SECOND // size)
    if pair.sent < size * SPAN:
        raise RuntimeError(f"{pair.sent} of {size * SPAN} sent on: no fair work")
    return {"bytes": pair.bytes / SPAN}


def counter_heartbeats(size: int) -> Figures:
    """A gateway's beats in all partitions of a counter that so many share, for one second."""
    leases = LeaseManager(0, size, PARTITIONS, 1, 7, START, lambda member: (0.0, 0.0))
    now, taken, read = START, list[float](), 0
    for beat in range(2 * REPEATS):
        raw = _beats(size, beat)
        now += HEARTBEAT_NS
        calls = [out for out in leases.tick(now) if isinstance(out, Call)]
        used = sum(duration_of(partial(_answer, leases, now, call, raw)) for call in calls)
        taken.append(used)
        read = len(raw)
    each_second = SECOND / HEARTBEAT_NS
    return {"bytes": PARTITIONS * read * each_second, "cpu": median(taken) * each_second}


def _beats(size: int, beat: int) -> bytes:
    """The counter's replies to one beat: the write's, all fields, the name's life, the time."""
    fields = [(TOKEN_FIELD, b"t" * 8)]
    clock = 1_000_000 + beat * HEARTBEAT_NS // 1_000_000
    fields += [(b"%d" % slot, pack_heartbeat(Heartbeat(slot + 1, beat + 1, clock))) for slot in range(size)]
    words = b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for pair in fields for word in pair)
    time = [b"%d" % (clock // 1000), b"%d" % (clock % 1000 * 1000)]
    told = b"*2\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in time)
    return b":0\r\n:0\r\n*%d\r\n%b:1\r\n%b" % (2 * len(fields), words, told)


def _answer(leases: LeaseManager, now: int, call: Call, raw: bytes) -> None:
    """As the host does it: parse, read, take in."""
    reader = hiredis.Reader()
    reader.feed(raw)
    results = []
    while (part := reader.gets()) is not False:
        results.append(part)
    leases.on_reply(now, call.call_id, parse_reply(call, results))


SUBJECTS = {subject.__name__: subject for subject in (asks, counter_heartbeats)}


def main(words: Iterable[str]) -> int:
    return print_figures(SUBJECTS, words)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
