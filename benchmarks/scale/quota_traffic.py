"""Measures a gateway's traffic for quotas at one size: messages to quota owners and counter heartbeats.

`python -m benchmarks.scale.quota_traffic NAME SIZE` prints figures as `subjects.py` does.
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

ASKER, OWNER = 0, 1  # Gateways by number.
CUSTOMERS = 40  # Their quota owner is the other gateway.
SPAN_S = 5
PARTITIONS = 8  # The default of a counter.


def fleet(me: int, size: int = MEMBERS) -> FleetChanged:
    """Returns a view of `size` members for the member `me`; each has an equal part of the slots."""
    slots_by_gateway = tuple(slots_of((number, size)) for number in range(size))
    others = tuple(number for number in range(size) if number != me)
    return FleetChanged(
        own_number=me,
        peers=others,
        quota_owners=tuple(range(size)),
        gateway_slots=slots_by_gateway,
        own_slots=slots_by_gateway[me],
        peer_slots=tuple(slots_by_gateway[number] for number in others),
        valid_until_ns=2 * START,
        reassigned_at_ns=2 * START,
    )


class Pair:
    """Connects a gateway with the quota owner of its customers, and counts the bytes between them."""

    def __init__(self) -> None:
        self.drivers = [Driver(replace(settings(), gateway_index=number)) for number in (ASKER, OWNER)]
        self.bytes = self.sent = 0
        self._wire = Wire("rating-eu", Keys(b"k" * 32), MEMBERS)
        self._part = slots_to_bytes(slots_of((0, MEMBERS)) & ALL_SLOTS)
        for number, driver in enumerate(self.drivers):
            driver.handle(fleet(number))
            driver.handle(full_list(SERVICE, 1))

    def request(self, customer: int) -> None:
        """Runs one request of a customer from its arrival to its end."""
        self._do(ASKER, self.drivers[ASKER].ask(customer, MEMBERS))

    def pause(self, span: int) -> None:
        """Advances the time by `span` ns."""
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
    """Measures `size` requests per second of customers with other gateways as quota owners.

    As all gateways are alike, each receives as many bytes as it sends as asker and as owner.
    """
    pair = Pair()
    gateways = tuple(range(MEMBERS))
    customers = [each for each in range(1, 200 * CUSTOMERS) if owner_among(gateways, each) == OWNER][
        :CUSTOMERS
    ]
    turns = cycle(customers)
    for _ in range(size * SPAN_S):
        pair.request(next(turns))
        pair.pause(SECOND // size)
    if pair.sent < size * SPAN_S:
        raise RuntimeError(f"forwarded requests: must be at least {size * SPAN_S}, got {pair.sent}")
    return {"bytes": pair.bytes / SPAN_S}


def counter_heartbeats(size: int) -> Figures:
    """Measures a gateway's heartbeats of one second in all partitions of a counter shared by `size`."""
    leases = LeaseManager(0, size, PARTITIONS, 1, 7, START, lambda member: (0.0, 0.0))
    now, taken, read = START, list[float](), 0
    for heartbeat in range(2 * REPEATS):
        raw = _heartbeat_replies(size, heartbeat)
        now += HEARTBEAT_NS
        calls = [out for out in leases.tick(now) if isinstance(out, Call)]
        used = sum(duration_of(partial(_answer, leases, now, call, raw)) for call in calls)
        taken.append(used)
        read = len(raw)
    per_second = SECOND / HEARTBEAT_NS
    return {"bytes": PARTITIONS * read * per_second, "cpu": median(taken) * per_second}


def _heartbeat_replies(size: int, heartbeat: int) -> bytes:
    """Returns the counter's replies to one heartbeat: to the write, all fields, the expiry and the time."""
    fields = [(TOKEN_FIELD, b"t" * 8)]
    clock = 1_000_000 + heartbeat * HEARTBEAT_NS // 1_000_000
    fields += [
        (b"%d" % slot, pack_heartbeat(Heartbeat(slot + 1, heartbeat + 1, clock))) for slot in range(size)
    ]
    words = b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for pair in fields for word in pair)
    time = [b"%d" % (clock // 1000), b"%d" % (clock % 1000 * 1000)]
    time_reply = b"*2\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in time)
    return b":0\r\n:0\r\n*%d\r\n%b:1\r\n%b" % (2 * len(fields), words, time_reply)


def _answer(leases: LeaseManager, now: int, call: Call, raw: bytes) -> None:
    """Parses and handles replies as the host does."""
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
