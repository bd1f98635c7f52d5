"""Tests that the current code reads and continues stored data and a snapshot that commit 5f04399 wrote.

The files are described in `tests/data`. What the current code writes has the keys of that commit, and a
document that is only read and written again has the same bytes.
"""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import time
from collections import Counter
from dataclasses import fields
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

import msgspec
import pytest
import uvloop

from trackspread.cli import main
from trackspread.commands.registry_file import change_registry, load_registry
from trackspread.decide import snapshot, snapshot_restore
from trackspread.decide.actions import LogMessage, SetTimer, StartAttempt
from trackspread.decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from trackspread.decide.broker import Broker
from trackspread.decide.events import AttemptEnded, Event, Outcome, PeerMessage, RequestArrived, TimerFired
from trackspread.decide.peer_messages import QuotaMessage, pack_quota_message, pack_usage_totals
from trackspread.decide.settings import Plan
from trackspread.handover import wire
from trackspread.membership.event_log import EventLog
from trackspread.node.handover_state import HandoverState, Progress
from trackspread.plans.calendar import Fleet, Reservation, cancel_reservation
from trackspread.plans.registry import SCHEMA as REGISTRY
from trackspread.plans.registry import PlanLimits, add_version, in_force
from trackspread.storage.directory import Directory
from trackspread.testing.judge.membership_records import RecordReader
from trackspread.testing.standins.billing import Billing, MemoryStore, StreamState
from trackspread.usage import control as checkpoints
from trackspread.usage import totals as stored_totals
from trackspread.usage.audit import Received, audit, reconcile
from trackspread.usage.batch import Reply, decode, encode
from trackspread.usage.control import AREAS, Names
from trackspread.usage.exporter import Post
from trackspread.usage.host import UsageHost, export_all
from trackspread.usage.ledger import Bounds, State
from trackspread.usage.record import NANO_PER_UNIT, Ending
from trackspread.usage.totals import SegmentTotals, TotalsRow

from ..helpers import settings

DATA = Path(__file__).parents[1] / "data"
TIMEOUT_S = 30.0  # reached only if a test hangs


class Sender:
    """Sends to a billing that has what commit 5f04399 had sent it."""

    def __init__(self) -> None:
        before = json.loads((DATA / "billing.json").read_bytes())
        self.memory = MemoryStore()
        self.memory.streams = {name: StreamState(*known) for name, known in before["streams"].items()}
        self.before = msgspec.convert(before["received"], list[Received], strict=True)
        self._billing = Billing(self.memory)

    async def send(self, post: Post) -> Reply:
        return self._billing.post(post.body)

    def received(self) -> list[Received]:
        """Returns all that billing has, from that commit and from the current code."""
        rows = [
            Received(row.customer, row.time // 86_400_000, row.ending, row.requests, row.units)
            for row in self.memory.rows
        ]
        return [*self.before, *rows]


@pytest.fixture
def usage_folder(tmp_path: Path) -> Path:
    """Returns a copy of the folder of a gateway that was killed while billing was unreachable."""
    return shutil.copytree(DATA / "use", tmp_path / "use")


def _lines(totals: stored_totals.Totals) -> list[list[int]]:
    return [[*key, *amount] for key, amount in sorted(totals.rows.items())]


def test_audit_of_stored_usage_folder_is_unchanged(
    usage_folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a stored usage folder whose records are lost or counted differently."""
    found = audit(Directory(usage_folder, view=True))
    expected = json.loads((DATA / "use_totals.json").read_bytes())
    assert found.problems == [] and not found.newer and found.segments == 4
    assert _lines(found.journal) == expected["journal"] and _lines(found.exported) == expected["exported"]
    streams = [[s.epoch, s.records, s.length, s.stream.acked, s.live] for s in found.streams]
    assert streams == expected["streams"]
    assert main(["use", "verify", str(usage_folder)]) == 0
    records = sum(stream[1] for stream in expected["streams"])
    assert f"{records} records are valid, 0 are damaged, 0 are missing" in capsys.readouterr().out


def test_stored_folder_differs_from_billing_by_unexported_records(usage_folder: Path) -> None:
    """Guards against differences to billing other than records that are not exported yet."""
    found = audit(Directory(usage_folder, view=True))
    kinds = {each.kind for each in reconcile([found], Sender().received())}
    assert kinds == {"not exported yet"}


def test_stored_usage_folder_is_continued_and_exported(usage_folder: Path) -> None:
    """Guards against an upgrade that can't continue or export the folder of an earlier version."""
    sender = Sender()

    async def body() -> None:
        names = Names("n0", ("look up", "charge"), ("team", "solo"))
        bounds = Bounds(64, 12, 1_000_000, 10_000_000, "fold")
        host = UsageHost(usage_folder, bounds, names, time.monotonic_ns, sender)
        host.start()
        while host.ledger.state is not State.LIVE:
            await asyncio.sleep(0.005)
        for number in range(100):
            host.count(Ending.SERVED, number % 2, 0, 4, 6 + number % 2, 1.5, 1)
        await host.stop()
        assert (await export_all(usage_folder, sender, TIMEOUT_S)).is_all_exported

    uvloop.run(asyncio.wait_for(body(), TIMEOUT_S))
    found = audit(Directory(usage_folder, view=True))
    assert found.problems == [] and found.checkpoint is not None and found.checkpoint.epoch == 4
    assert reconcile([found], sender.received()) == []
    before = {
        tuple(line[:3]): line[3:] for line in json.loads((DATA / "use_totals.json").read_bytes())["journal"]
    }
    now = Counter({key: amount[0] for key, amount in found.journal.rows.items()})
    assert now.total() == sum(amount[0] for amount in before.values()) + 100
    assert {key: list(found.journal.rows[key]) for key in before} == before
    added = {key[0]: amount for key, amount in found.journal.rows.items() if key not in before}
    assert added == {6: (50, 75 * NANO_PER_UNIT), 7: (50, 75 * NANO_PER_UNIT)}


@pytest.mark.parametrize("name", AREAS)
def test_checkpoint_is_written_with_the_same_bytes(name: str) -> None:
    """Guards against a stored checkpoint that changes when it is read and written again."""
    line = (DATA / "use" / name).read_bytes().partition(b"\n")[0] + b"\n"
    checkpoint = checkpoints.SCHEMA.unpack(line, checkpoints.Checkpoint)
    assert checkpoints.pack(checkpoint) == line


def test_newest_checkpoint_keeps_its_keys() -> None:
    """Guards against renamed keys in the stored checkpoint."""
    checkpoint, _, errors, newer = checkpoints.newest([(DATA / "use" / name).read_bytes() for name in AREAS])
    assert checkpoint is not None and not errors and not newer
    body = json.loads(checkpoints.pack(checkpoint))["body"]
    assert list(body) == ["producer", "generation", "epoch", "month", "names", "streams", "intent", "lost"]
    assert list(body["names"][0]) == ["gateway", "classes", "plans"]
    stream = ["nonce", "slots", "names", "parts", "length", "acked", "kept", "sealed"]
    assert [list(each) for each in body["streams"].values()] == [stream] * len(checkpoint.streams) != []
    assert {key for each in body["streams"].values() for part in each["parts"] for key in part} == {
        "first",
        "id",
    }
    assert list(body["intent"]) == ["epoch", "first", "last", "length", "digest"]


def test_totals_of_removed_segments_keep_their_bytes() -> None:
    """Guards against a changed format of the stored totals."""
    paths = sorted((DATA / "use").glob("sum-*.json"))
    assert len(paths) == 6
    for path in paths:
        data = path.read_bytes()
        totals = stored_totals.SCHEMA.unpack(data, SegmentTotals)
        assert stored_totals.pack(totals) == data
        assert list(json.loads(data)["body"]) == ["epoch", "first", "last", "bad", "lines"]
        assert all(isinstance(line, TotalsRow) for line in totals.lines)


def test_batch_keeps_its_bytes() -> None:
    """Guards against a changed format of the batches to billing."""
    data = (DATA / "batch.json").read_bytes()
    batch = decode(data)
    assert encode(batch) == data and len(batch.rows) == batch.last - batch.first + 1 > 3
    assert batch.key == f"{batch.stream}:{batch.first}-{batch.last}"


def test_event_log_is_read_and_written_unchanged(tmp_path: Path) -> None:
    """Guards against changed keys or values in a member's event log."""
    old, path = DATA / "view_record.jsonl", tmp_path / "n1.view"
    shutil.copy(old, path)
    event_log = EventLog(path, "n1", 1_790_000_000_123)
    for line in old.read_text().splitlines():
        entry = json.loads(line)
        event_log.write(entry["kind"], entry["about"])
    event_log.close()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert len(lines) == 6
    for before, now in zip(lines[:3], lines[3:], strict=True):
        assert list(before) == list(now) == ["at", "name", "born", "kind", "about"]
        assert {**now, "at": before["at"]} == before
    assert [each.kind for each in RecordReader([path]).all()].count("part") == 2


CREATED = 1_790_000_000_000  # Unix time in ms
TEAM = PlanLimits(10.0, 20.0, 3, 20.0, 40.0, 4.0)


def test_plan_registry_is_read_and_written_unchanged() -> None:
    """Guards against values of a stored plan registry that are lost or changed."""
    data = (DATA / "plans.json").read_bytes()
    registry = load_registry(DATA / "plans.json")
    assert REGISTRY.pack(registry) == data
    versions = [
        (v.number, v.since - CREATED, v.withdrawn and v.withdrawn - CREATED) for v in registry.versions
    ]
    assert versions == [
        (1, 60_000, 0),
        (2, 120_000, 10_000),
        (3, 180_000, 0),
    ]
    assert registry.versions[0].plans == {"team": TEAM, "solo": PlanLimits(2.5, 5.0)}
    assert registry.versions[2].note == "für alle"
    assert registry.fleet == Fleet(40.0, 2.0, 200.0, 50.0)
    assert registry.reservations == (
        Reservation(1, 0xABCDEF, 20.0, CREATED + 60_000, CREATED + 3_600_000, CREATED, "import"),
        Reservation(2, 7, 5.5, CREATED + 600_000, CREATED + 900_000, CREATED, "import", CREATED + 300_000),
    )
    found = in_force(registry, CREATED + 170_000)
    assert found is not None and found.number == 1


def test_plan_registry_keeps_its_keys() -> None:
    """Guards against renamed keys in the stored plan registry."""
    document = json.loads(REGISTRY.pack(load_registry(DATA / "plans.json")))
    assert list(document) == ["kind", "version", "check", "body"]
    assert (document["kind"], document["version"]) == ("plan-book", 2)
    body = document["body"]
    assert list(body) == ["versions", "fleet", "reservations"]
    assert list(body["versions"][0]) == ["number", "since", "made", "note", "plans", "withdrawn"]
    figures = ["rate", "burst", "open_limit", "ceiling_rate", "ceiling_burst", "ceiling_slack"]
    assert list(body["versions"][0]["plans"]["team"]) == figures
    assert list(body["fleet"]) == ["delay_ms", "demand_ms", "aim_ms", "kept"]
    reservation = ["number", "customer", "rate", "start", "end", "made", "note", "cancelled"]
    assert list(body["reservations"][0]) == reservation


def test_stored_plan_registry_can_be_changed(tmp_path: Path) -> None:
    """Guards against an upgrade that can't change the registry of an earlier version."""
    path = tmp_path / "plans.json"
    shutil.copy(DATA / "plans.json", path)
    before, now = load_registry(path), CREATED + 200_000
    change_registry(path, lambda registry: add_version(registry, {"team": TEAM}, now + 60_000, now, "back"))
    change_registry(
        path,
        lambda registry: msgspec.structs.replace(
            registry, reservations=cancel_reservation(registry.reservations, 1, now)
        ),
    )
    after = load_registry(path)
    assert after.versions[:3] == before.versions and after.fleet == before.fleet
    assert (after.versions[3].number, after.versions[3].plans) == (4, {"team": TEAM})
    assert [each.cancelled for each in after.reservations] == [now, CREATED + 300_000]


MS, SECOND = 1_000_000, 1_000_000_000
START = 5 * SECOND
STEP = 20 * MS
STEPS_BEFORE, STEPS_AFTER = 300, 200
NAMES = ("read", "submit", "charge")
PLANS = (
    Plan("team", 10.0, 20.0, 8, 1.0, 0.0, 1.0, 20.0, 40.0, 4.0),
    Plan("solo", 2.0, 4.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),
)
BACKENDS = tuple(
    Backend(number, number % 2, 0, 0, Health.READY, 1.0, START * (number == 4)) for number in range(1, 5)
)


def create_broker(seed: int) -> Broker:
    broker = Broker(settings(plans=PLANS, gateway_count=4), seed, START)
    broker.handle(START, EndpointUpdate(EndpointUpdateKind.FULL, 1, BACKENDS))
    return broker


class Player:
    """Feeds one broker seeded events; `actions` has all of its actions, as lists of field values."""

    def __init__(self, broker: Broker, seed: int, now: int, first_request: int) -> None:
        self.broker, self.now, self._request = broker, now, first_request
        self._rng = random.Random(seed)
        self.in_flight: dict[tuple[int, int], int] = {}  # backends of the attempts, by request and attempt
        self.actions: list[list[Any]] = []
        self._timers: list[tuple[int, int]] = []  # due time and token
        self._attempts: dict[int, int] = {}

    def play(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP
            while self._timers and self._timers[0][0] <= self.now:
                self._handle(TimerFired(heappop(self._timers)[1]))
            for event in self._draw_events():
                self._handle(event)

    def _draw_events(self) -> list[Event]:
        rng, events = self._rng, list[Event]()
        if rng.random() < 0.8:
            self._request += 1
            request_class, tenant = rng.randrange(3), rng.randrange(1, 40)
            deadline = self.now + 3 * SECOND
            events.append(
                RequestArrived(
                    self._request, request_class, tenant % 2, tenant, deadline, 1.5, 3, tenant % 4, 0
                )
            )
        if rng.random() < 0.2:
            events.append(PeerMessage(rng.randrange(1, 4), self._peer_message()))
        for (request, attempt), backend in list(self.in_flight.items()):
            if rng.random() < 0.08:
                del self.in_flight[request, attempt]
                outcome = Outcome(rng.choice([1, 1, 1, 1, 2, 3]))
                elapsed = rng.randrange(10 * MS, 400 * MS)
                finished = outcome is Outcome.OK
                events.append(
                    AttemptEnded(request, finished, 0, backend, 0, outcome, elapsed, attempt, (0.5,))
                )
        return events

    def _peer_message(self) -> bytes:
        rng = self._rng
        tenant, age = rng.randrange(1, 40), rng.randrange(100)
        if rng.random() < 0.5:
            return pack_usage_totals(700, age, [(tenant, rng.randrange(400), rng.randrange(4))])
        kind, plan = rng.randrange(1, 40), tenant % 2
        return pack_quota_message(
            QuotaMessage(kind, tenant, plan, 1.5, 900, age, 40, tenant % 4, 3, 2.5, 1, 1)
        )

    def _handle(self, event: Event) -> None:
        for action in self.broker.handle(self.now, event):
            match action:
                case StartAttempt(request, backend):
                    attempt = self._attempts.get(request, 0)
                    self._attempts[request] = attempt + 1
                    self.in_flight[request, attempt] = backend
                case SetTimer(after, token):
                    heappush(self._timers, (self.now + after, token))
                case LogMessage():
                    continue
            values = (getattr(action, each.name) for each in fields(action))
            self.actions.append(
                [self.now, *(value.hex() if isinstance(value, bytes) else value for value in values)]
            )


SNAPSHOT_KEYS = (
    "version",
    "classes",
    "in_flight",
    "retries",
    "told_at",
    "me",
    "born",
    "tag",
    "pace",
    "restarted",
    "peers",
    "granted",
    "accounts",
    "servers",
    "sends",
    "newest",
    "out",
)
ACCOUNT_KEYS = (
    "_plan",
    "_commitment",
    "customer",
    "level",
    "at",
    "last",
    "told_at",
    "open_at",
    "demand",
    "granted",
    "seen",
    "ceiling",
    "lacked",
    "part",
    "peers",
    "slices",
    "open",
    "sent",
    "tells",
    "heard",
    "asked",
    "given",
    "others",
    "out",
    "owed",
    "soft",
    "hard",
    "places",
    "over",
    "absent",
    "more",
    "first",
    "spread",
    "teller",
    "refused_for",
    "unspent",
)
COMMITMENT_KEYS = (
    "last",
    "evaluated",
    "in_flight",
    "demand",
    "cap",
    "worth",
    "room",
    "aim",
    "least",
)
SERVER_KEYS = (
    "id",
    "booted",
    "met",
    "full",
    "slow",
    "pause",
    "fails",
    "suspended",
    "tokens",
    "tokens_at",
    "turn",
)

# Balances of these tenants' hard limits, which are refilled up to the burst less the units in transit; the
# stored ones were refilled up to the whole burst.
CEILINGS_BESIDE_TRANSIT = {4: 10.833333333333332, 28: 10.83333333333333, 32: 10.266666666666666}


def _stored_state() -> HandoverState:
    state = wire.decode((DATA / "handover_state.msgpack").read_bytes(), HandoverState)
    assert isinstance(state, HandoverState)
    return state


def _restore_broker(state: HandoverState) -> Broker:
    """Returns the broker of a successor after it restored the state."""
    broker = create_broker(2)
    snapshot_restore.restore_state(broker, state.decision_state, NAMES)
    return broker


def _attempts_in_flight(state: HandoverState) -> dict[tuple[int, int], int]:
    """Returns the backends of the predecessor's attempts in flight, by request and attempt."""
    return {(request, attempt): backend for request, attempt, backend, *_ in state.decision_state["out"]}


def _read(name: str) -> Any:
    return json.loads((DATA / name).read_bytes())


def test_snapshot_is_restored_and_written_unchanged() -> None:
    """Guards against state that is lost when a successor restores a snapshot of an earlier version."""
    state = _stored_state()
    broker = _restore_broker(state)
    attempts = _attempts_in_flight(state)
    assert len(attempts) == len(state.decision_state["out"]) == state.backend_descriptors > 0
    assert broker.requests.attempts.keys() == attempts.keys() and broker.requests.in_flight == len(attempts)
    written = wire.decode(wire.encode(snapshot.export_state(broker, NAMES, attempts)), dict)
    assert written == state.decision_state
    handover_state = HandoverState(
        written,
        state.clock_base_ns,
        state.open_request_ids,
        state.next_number,
        state.client_descriptors,
        state.backend_descriptors,
    )
    assert wire.encode(handover_state) == (DATA / "handover_state.msgpack").read_bytes()


def test_snapshot_keeps_its_keys() -> None:
    """Guards against renamed keys in the snapshot, which a predecessor of another version may write."""
    player = Player(create_broker(1), 11, START, 0)
    player.play(STEPS_BEFORE)
    state = snapshot.export_state(player.broker, NAMES, player.in_flight)
    assert state["version"] == 7
    assert tuple(state) == SNAPSHOT_KEYS
    assert {tuple(account) for account in state["accounts"]} == {ACCOUNT_KEYS}
    commitments = [account["_commitment"] for account in state["accounts"]]
    assert {tuple(each) for each in commitments if each is not None} == {COMMITMENT_KEYS}
    assert {tuple(server) for server in state["servers"]} == {SERVER_KEYS}
    assert {len(attempt) for attempt in state["out"]} == {7}
    assert HandoverState.__struct_encode_fields__ == (
        "module",
        "base",
        "ids",
        "next",
        "clients",
        "links",
        "ran",
    )


def test_restored_broker_acts_as_the_earlier_version_did() -> None:
    """Guards against decisions that differ after a handover from an earlier version.

    The same seeded events must lead to the same actions, timers and messages.
    """
    state = _stored_state()
    player = Player(_restore_broker(state), 12, START + STEPS_BEFORE * STEP, 1 << 32)
    player.in_flight = _attempts_in_flight(state)
    player.play(STEPS_AFTER)
    assert json.loads(json.dumps(player.actions)) == _read("handover_continued.json")


def test_same_events_lead_to_the_stored_snapshot() -> None:
    """Guards against values in the snapshot that change although the events and the format are the same."""
    player = Player(create_broker(1), 11, START, 0)
    player.play(STEPS_BEFORE)
    written = wire.decode(wire.encode(snapshot.export_state(player.broker, NAMES, player.in_flight)), dict)
    stored = _stored_state().decision_state
    for account in stored["accounts"]:
        account["ceiling"] = CEILINGS_BESIDE_TRANSIT.get(account["customer"], account["ceiling"])
    assert written == stored


def test_handover_progress_is_read_and_written_unchanged() -> None:
    """Guards against a changed format of the messages about attempts that end after the handover.

    The successor must count the attempts in them.
    """
    bodies = msgspec.msgpack.decode((DATA / "handover_progress.msgpack").read_bytes(), type=list[bytes])
    messages = [wire.decode(body, Progress) for body in bodies]
    assert [wire.encode(each) for each in messages] == bodies
    assert [each.kind for each in messages] == ["sent", "ended", "closed"]
    assert Progress.__struct_encode_fields__ == (
        "what",
        "request",
        "attempt",
        "backend",
        "outcome",
        "elapsed",
        "report",
        "cls",
        "plan",
        "customer",
        "units",
    )
    state = _stored_state()
    broker, (sent, ended, closed) = _restore_broker(state), messages
    in_flight_before = broker.requests.in_flight
    elsewhere = snapshot.AttemptElsewhere(
        sent.request, sent.attempt, sent.backend, sent.request_class, sent.plan, sent.tenant, sent.units
    )
    snapshot_restore.count_attempt_elsewhere(broker, NAMES, elsewhere)
    assert broker.requests.in_flight == in_flight_before + 1
    outcome = Outcome(ended.outcome)
    end = AttemptEnded(
        ended.request, True, 0, ended.backend, 0, outcome, ended.elapsed_ns, ended.attempt, ended.load_report
    )
    broker.handle(broker.quota.gossiped_at_ns + MS, end)
    assert broker.requests.in_flight == in_flight_before and closed.request == state.open_request_ids[0][0]
