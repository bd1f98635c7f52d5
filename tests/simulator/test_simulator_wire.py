"""Tests the simulator's host: decoding of frames, encoding of actions, and the settings text."""

from __future__ import annotations

import re
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from trackspread.decide.actions import LogMessage, SetTimer, StartAttempt
from trackspread.decide.backends import Backend, EndpointUpdate
from trackspread.decide.events import AttemptEnded, FleetChanged, Outcome, RequestArrived
from trackspread.membership.slot_allocation import ALL_SLOTS, slots_of, slots_to_bytes
from trackspread.simulator import wire

ROOT = Path(__file__).parents[2]
SETTINGS_TEXT = "\n".join(
    """classes.count=1
classes.0.name=a
classes.0.aim=1000000000
classes.0.deadline=2000000000
classes.0.points=1
classes.0.lateWorth=0
classes.0.idempotency=free
classes.0.group=all
classes.0.window=0
packages.count=1
packages.0.name=p
packages.0.quotaRate=1
packages.0.mostAtOnce=4
packages.0.parallel=0
packages.0.worthFactor=1
packages.0.beyondEarns=0
packages.0.excessCost=1
packages.0.ceilingRate=0
packages.0.hardBurst=0
packages.0.ceilingSlack=0
report.names=concurrent
zone=0
position=0
replicasOfMe=2
limits.maxAttempts=4
limits.secondCopies=true
limits.cancel=true
limits.probes=false
limits.peerMessages=false
limits.retryAfter=true
limits.maxRetryAfter=1000000000
familyInfo.counter=false
familyInfo.usePeriod=0
familyInfo.largest=1
familyInfo.mailPerS=0
familyInfo.truedUp=false
discovery=pushed
rules.askWithin=10000000000
rules.drainGrace=500000000
rules.fall=3000000000
rules.fallMultiple=3
rules.startCapacity=0.2
rules.warmUp=17000000000
prices.crossZone=0.01
some.new.key=whatever""".splitlines()
)


def frame(*records: bytes, now: int = 5) -> bytes:
    body = struct.pack("<Q", now) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def select(instance: int) -> bytes:
    return struct.pack("<HI", 1110, instance)


def up(text: str = SETTINGS_TEXT) -> bytes:
    raw = text.encode()
    return struct.pack("<HQI", 1000, 7, len(raw)) + raw


def endpoint_list(*backends: int) -> bytes:
    entries = b"".join(struct.pack("<IBBHBfQ", b, 0, 0, 0, 1, 1.0, 0) for b in backends)
    return struct.pack("<HBQI", 1010, 2, 1, len(backends)) + entries


def inbound(request: int) -> bytes:
    return struct.pack("<HQBIQQfffB", 1020, request, 0, 0, 9, 10**9, 1.0, 2.0, 0.0, 0)


def fleet(slots: int, until: int = 10**12) -> bytes:
    """Returns a view of two places: gateway 70, this one, has `slots`, and 71 those of the second place."""
    head = struct.pack("<HIQQHHH", wire.FLEET, 70, until, 10**12, 2, 1, 2)
    places = [slots_to_bytes(slots_of((n, 2))) for n in range(2)]
    masks = [slots.to_bytes(128, "little"), struct.pack("<3I", 71, 70, 71), places[1], *places]
    return head + b"".join(masks)


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "trackspread.simulator.host"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, check=False, timeout=60)


def replies(raw: bytes) -> list[tuple[int, bytes]]:
    found = []
    while raw:
        count, size = struct.unpack_from("<II", raw)
        found.append((count, raw[8 : 8 + size]))
        raw = raw[8 + size :]
    return found


def test_documented_inbound_example_is_decoded() -> None:
    raw = bytes.fromhex(
        "5604 03000000 fc03 c4913a5dd1020400 00 00000000 640ad2557c3bf091 90dbb60302000000"
        "00000040 00004040 0000803f 01"
    )
    now, events = wire.decode(struct.pack("<Q", 8) + raw)
    assert now == 8
    ((instance, event),) = events
    assert instance == 3
    assert isinstance(event, RequestArrived)
    assert (event.request, event.units, event.gateway_span, event.first_gateway) == (
        0x402D15D3A91C4,
        2.0,
        3,
        1,
    )


def test_documented_reply_and_list_examples_are_decoded() -> None:
    raw = bytes.fromhex(
        "5604 03000000 1004 c4913a5dd1020400 01 0300 074a1203 5600 0100 a0491a0100000000 0000 03"
        "00004040000068410000e040"
        "f203 02 2900000000000000 02000000 074a1203 00 00 0000 01 0000803f 0000000000000000"
        "f211902c 01 00 0000 01 0000c03f 009d966b01000000"
    )
    _, events = wire.decode(struct.pack("<Q", 8) + raw)
    (_, reply), (_, topology) = events
    assert isinstance(reply, AttemptEnded) and isinstance(topology, EndpointUpdate)
    assert (reply.outcome, reply.quota_usage, reply.request_finished) == (Outcome.OK, 86, True)
    assert reply.load_report == (3.0, 14.5, 7.0)
    assert isinstance(topology.backends[1], Backend)
    assert topology.backends[1].started_at_ns == 0x16B969D00


def test_actions_are_encoded_as_documented() -> None:
    assert wire.encode_action(StartAttempt(0x402D15D3A91C4, 0x03124A07, 80_000_000)).hex() == (
        "e803" + "c4913a5dd1020400" + "074a1203" + "00b4c40400000000"
    )
    assert wire.encode_action(SetTimer(500_000_000, 77)).hex() == "10040065cd1d000000004d000000"
    assert wire.encode_action(LogMessage("two servers unknown")).hex().startswith("38041300")


def test_simulator_host_answers_every_frame() -> None:
    started = frame(select(3), up(), endpoint_list(1, 2), inbound(4))
    done = run(frame() + started + frame(select(3), inbound(5)))
    assert done.returncode == 0
    first, second, third = replies(done.stdout)
    assert first == (0, b"")
    assert struct.pack("<HQ", 1000, 4) in second[1]
    assert struct.pack("<HQ", 1000, 5) in third[1]


def test_view_has_a_record_of_its_own() -> None:
    _, events = wire.decode(struct.pack("<Q", 8) + select(3) + fleet(ALL_SLOTS))
    seats = slots_of((0, 2)), slots_of((1, 2))
    assert events == [(3, FleetChanged(70, (71,), (70, 71), seats, ALL_SLOTS, (seats[1],), 10**12, 10**12))]
    with pytest.raises(wire.WireError, match="impossible count in fleet"):
        wire.decode(struct.pack("<Q", 8) + select(3) + struct.pack("<HIQQHHH", wire.FLEET, 1, 0, 0, 2, 1, 0))
    with pytest.raises(wire.WireError, match="runs past the end"):
        wire.decode(struct.pack("<Q", 8) + select(3) + fleet(ALL_SLOTS)[:-1])


def test_request_is_served_only_with_slots_of_the_view() -> None:
    """Without slots the gateway has no part of the shared quotas; with slots it has, until they expire."""

    done = run(
        frame(select(3), up(), endpoint_list(1, 2), fleet(0), inbound(4))
        + frame(select(3), fleet(ALL_SLOTS))
        + frame(select(3), inbound(5))
        + frame(select(3), fleet(ALL_SLOTS, until=1), inbound(6))
    )
    assert done.returncode == 0
    first, _, third, fourth = replies(done.stdout)
    assert struct.pack("<HQ", 1010, 4) in first[1]
    assert struct.pack("<HQ", 1000, 5) in third[1]
    assert struct.pack("<HQ", 1010, 6) in fourth[1], "its slots have expired"


def test_restart_in_one_batch_clears_the_instance() -> None:
    down = struct.pack("<H", 1090)
    started = frame(select(0), up(), endpoint_list(1))
    done = run(started + frame(select(0), down, up(), endpoint_list(), inbound(1)))
    assert struct.pack("<HQ", 1010, 1) in replies(done.stdout)[1][1]


@pytest.mark.parametrize(
    ("data", "error_text"),
    [
        (frame(select(0), struct.pack("<H", 1020) + b"abc"), "ends inside inbound at byte 20"),
        (frame(struct.pack("<H", 4242)), "unknown record code 4242 at byte 12"),
        (frame(select(0), struct.pack("<HBQI", 1010, 0, 1, 99)), "count of"),
        (frame(select(0), up())[:-3], "input ends inside a frame at byte"),
        (b"\x01\x00", "input ends inside a frame's length at byte 0"),
        (frame(inbound(1)), "before any select"),
    ],
)
def test_malformed_frame_ends_with_one_line(data: bytes, error_text: str) -> None:
    done = run(frame() + data if error_text.startswith("count") else data)
    lines = done.stderr.decode().splitlines()
    assert done.returncode == 1
    assert len(lines) == 1 and error_text in lines[0]
    assert all(count == 0 for count, _ in replies(done.stdout))


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("rules.fall=3000000000\n", "", "rules.fall"),
        ("packages.0.quotaRate=1", "packages.0.quotaRate=-1", "packages.0.quotaRate"),
        ("replicasOfMe=2", "replicasOfMe=none", "replicasOfMe"),
        ("classes.0.idempotency=free", "classes.0.idempotency=maybe", "classes.0.idempotency"),
    ],
)
def test_settings_error_names_the_key(old: str, new: str, key: str) -> None:
    with pytest.raises(wire.SettingsError, match=re.escape(key)):
        wire.parse_settings(SETTINGS_TEXT.replace(old, new))


def test_invalid_settings_are_answered_with_die() -> None:
    done = run(frame(select(0), up(SETTINGS_TEXT.replace("zone=0", "zone=x"))))
    assert b"settings: zone" in done.stdout
    assert done.returncode == 0
