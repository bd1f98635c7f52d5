"""Stored data and a snapshot that commit 5f04399 wrote: today's code reads them, and goes on with them.

What lies in `tests/data` is described there. What today's code writes has the keys of that commit, and where
a document is only read and written again, its very bytes.
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
from trackspread.plans.registry import Figures, add_version, in_force
from trackspread.storage.directory import Directory
from trackspread.testing.judge.membership_records import RecordReader
from trackspread.testing.standins.billing import Billing, MemoryStore, StreamState
from trackspread.usage import control as use_control
from trackspread.usage import totals as use_totals
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
MOST = 30.0  # s: only a hang reaches it


# Use records.


class Sender:
    """To a billing that has what 5f04399 had sent it."""

    def __init__(self) -> None:
        before = json.loads((DATA / "billing.json").read_bytes())
        self.memory = MemoryStore()
        self.memory.streams = {name: StreamState(*known) for name, known in before["streams"].items()}
        self.before = msgspec.convert(before["received"], list[Received], strict=True)
        self._billing = Billing(self.memory)

    async def send(self, post: Post) -> Reply:
        return self._billing.post(post.body)

    def received(self) -> list[Received]:
        """All that billing has, of that commit and of today."""
        rows = [
            Received(row.customer, row.time // 86_400_000, row.ending, row.requests, row.units)
            for row in self.memory.rows
        ]
        return [*self.before, *rows]


@pytest.fixture
def use(tmp_path: Path) -> Path:
    """A copy of the folder: of a gateway that was killed while billing was out of reach."""
    return shutil.copytree(DATA / "use", tmp_path / "use")


def _lines(totals: use_totals.Totals) -> list[list[int]]:
    return [[*key, *held] for key, held in sorted(totals.rows.items())]


def test_a_folder_of_use_records_has_nothing_wrong_and_the_totals_that_it_had(
    use: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    found, told = audit(Directory(use, view=True)), json.loads((DATA / "use_totals.json").read_bytes())
    assert found.problems == [] and not found.newer and found.segments == 4
    assert _lines(found.journal) == told["journal"] and _lines(found.exported) == told["exported"]
    assert [[s.epoch, s.records, s.length, s.stream.acked, s.live] for s in found.streams] == told["streams"]
    assert main(["use", "verify", str(use)]) == 0
    records = sum(stream[1] for stream in told["streams"])
    assert f"{records} records check, 0 are damaged, 0 are missing" in capsys.readouterr().out


def test_billing_and_the_folder_agree_but_for_what_is_not_exported_yet(use: Path) -> None:
    found = audit(Directory(use, view=True))
    kinds = {each.kind for each in reconcile([found], Sender().received())}
    assert kinds == {"not exported yet"}


def test_a_folder_of_use_records_is_gone_on_with_and_all_of_it_exported(use: Path) -> None:
    sender = Sender()

    async def body() -> None:
        names = Names("n0", ("look up", "charge"), ("team", "solo"))
        host = UsageHost(use, Bounds(64, 12, 1_000_000, 10_000_000, "fold"), names, time.monotonic_ns, sender)
        host.start()
        while host.ledger.state is not State.LIVE:
            await asyncio.sleep(0.005)
        for number in range(100):
            host.count(Ending.SERVED, number % 2, 0, 4, 6 + number % 2, 1.5, 1)
        await host.stop()
        assert (await export_all(use, sender, MOST)).is_all_exported

    uvloop.run(asyncio.wait_for(body(), MOST))
    found = audit(Directory(use, view=True))
    assert found.problems == [] and found.control is not None and found.control.epoch == 4
    assert reconcile([found], sender.received()) == []
    before = {
        tuple(line[:3]): line[3:] for line in json.loads((DATA / "use_totals.json").read_bytes())["journal"]
    }
    now = Counter({key: held[0] for key, held in found.journal.rows.items()})
    assert now.total() == sum(held[0] for held in before.values()) + 100
    assert {key: list(found.journal.rows[key]) for key in before} == before
    fresh = {key[0]: held for key, held in found.journal.rows.items() if key not in before}
    assert fresh == {6: (50, 75 * NANO_PER_UNIT), 7: (50, 75 * NANO_PER_UNIT)}


@pytest.mark.parametrize("name", AREAS)
def test_the_control_is_written_as_it_was(name: str) -> None:
    line = (DATA / "use" / name).read_bytes().partition(b"\n")[0] + b"\n"
    control = use_control.SCHEMA.unpack(line, use_control.Control)
    assert use_control.pack(control) == line


def test_the_newest_control_has_the_keys_that_it_had() -> None:
    control, _, wrong, newer = use_control.newest([(DATA / "use" / name).read_bytes() for name in AREAS])
    assert control is not None and not wrong and not newer
    body = json.loads(use_control.pack(control))["body"]
    assert list(body) == ["producer", "generation", "epoch", "month", "names", "streams", "intent", "lost"]
    assert list(body["names"][0]) == ["gateway", "classes", "plans"]
    stream = ["nonce", "slots", "names", "parts", "length", "acked", "kept", "sealed"]
    assert [list(each) for each in body["streams"].values()] == [stream] * len(control.streams) != []
    assert {key for each in body["streams"].values() for part in each["parts"] for key in part} == {
        "first",
        "id",
    }
    assert list(body["intent"]) == ["epoch", "first", "last", "length", "digest"]


def test_sums_of_segments_that_went_are_written_as_they_were() -> None:
    paths = sorted((DATA / "use").glob("sum-*.json"))
    assert len(paths) == 6
    for path in paths:
        data = path.read_bytes()
        sums = use_totals.SCHEMA.unpack(data, SegmentTotals)
        assert use_totals.pack(sums) == data
        assert list(json.loads(data)["body"]) == ["epoch", "first", "last", "bad", "lines"]
        assert all(isinstance(line, TotalsRow) for line in sums.lines)


def test_a_batch_has_the_bytes_that_billing_was_sent() -> None:
    data = (DATA / "batch.json").read_bytes()
    batch = decode(data)
    assert encode(batch) == data and len(batch.rows) == batch.last - batch.first + 1 > 3
    assert batch.key == f"{batch.stream}:{batch.first}-{batch.last}"


def test_a_members_record_is_read_and_written_as_it_was(tmp_path: Path) -> None:
    old, path = DATA / "view_record.jsonl", tmp_path / "n1.view"
    shutil.copy(old, path)
    recorder = EventLog(path, "n1", 1_790_000_000_123)
    for line in old.read_text().splitlines():
        told = json.loads(line)
        recorder.write(told["kind"], told["about"])
    recorder.close()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert len(lines) == 6
    for before, now in zip(lines[:3], lines[3:], strict=True):
        assert list(before) == list(now) == ["at", "name", "born", "kind", "about"]
        assert {**now, "at": before["at"]} == before
    assert [each.kind for each in RecordReader([path]).all()].count("part") == 2


# The plan registry.

MADE = 1_790_000_000_000  # ms
TEAM = Figures(10.0, 20.0, 3, 20.0, 40.0, 4.0)


def test_a_plan_registry_is_read_and_written_as_it_was() -> None:
    data = (DATA / "plans.json").read_bytes()
    registry = load_registry(DATA / "plans.json")
    assert REGISTRY.pack(registry) == data
    assert [(v.number, v.since - MADE, v.withdrawn and v.withdrawn - MADE) for v in registry.versions] == [
        (1, 60_000, 0),
        (2, 120_000, 10_000),
        (3, 180_000, 0),
    ]
    assert registry.versions[0].plans == {"team": TEAM, "solo": Figures(2.5, 5.0)}
    assert registry.versions[2].note == "für alle"
    assert registry.fleet == Fleet(40.0, 2.0, 200.0, 50.0)
    assert registry.reservations == (
        Reservation(1, 0xABCDEF, 20.0, MADE + 60_000, MADE + 3_600_000, MADE, "import"),
        Reservation(2, 7, 5.5, MADE + 600_000, MADE + 900_000, MADE, "import", MADE + 300_000),
    )
    found = in_force(registry, MADE + 170_000)
    assert found is not None and found.number == 1


def test_a_plan_registry_has_the_keys_that_it_had() -> None:
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


def test_a_plan_registry_is_gone_on_with(tmp_path: Path) -> None:
    path = tmp_path / "plans.json"
    shutil.copy(DATA / "plans.json", path)
    before, now = load_registry(path), MADE + 200_000
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
    assert [each.cancelled for each in after.reservations] == [now, MADE + 300_000]


# The state that a handover carries along.

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


def made_broker(seed: int) -> Broker:
    broker = Broker(settings(plans=PLANS, gateway_count=4), seed, START)
    broker.handle(START, EndpointUpdate(EndpointUpdateKind.FULL, 1, BACKENDS))
    return broker


class Player:
    """Plays one broker's day by a seed; `wanted` is all that it wanted done, by position."""

    def __init__(self, broker: Broker, seed: int, now: int, first_request: int) -> None:
        self.broker, self.now, self._request = broker, now, first_request
        self._rng = random.Random(seed)
        self.out: dict[tuple[int, int], int] = {}  # attempts, by their backends
        self.wanted: list[list[Any]] = []
        self._timers: list[tuple[int, int]] = []  # when, token
        self._attempts: dict[int, int] = {}

    def play(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP
            while self._timers and self._timers[0][0] <= self.now:
                self._handle(TimerFired(heappop(self._timers)[1]))
            for event in self._drawn():
                self._handle(event)

    def _drawn(self) -> list[Event]:
        rng, made = self._rng, list[Event]()
        if rng.random() < 0.8:
            self._request += 1
            cls, customer = rng.randrange(3), rng.randrange(1, 40)
            made.append(
                RequestArrived(
                    self._request, cls, customer % 2, customer, self.now + 3 * SECOND, 1.5, 3, customer % 4, 0
                )
            )
        if rng.random() < 0.2:
            made.append(PeerMessage(rng.randrange(1, 4), self._peer_message()))
        for (request, attempt), backend in list(self.out.items()):
            if rng.random() < 0.08:
                del self.out[request, attempt]
                outcome = Outcome(rng.choice([1, 1, 1, 1, 2, 3]))
                elapsed = rng.randrange(10 * MS, 400 * MS)
                finished = outcome is Outcome.OK
                made.append(AttemptEnded(request, finished, 0, backend, 0, outcome, elapsed, attempt, (0.5,)))
        return made

    def _peer_message(self) -> bytes:
        rng = self._rng
        customer, age = rng.randrange(1, 40), rng.randrange(100)
        if rng.random() < 0.5:
            return pack_usage_totals(700, age, [(customer, rng.randrange(400), rng.randrange(4))])
        kind, plan = rng.randrange(1, 40), customer % 2
        return pack_quota_message(
            QuotaMessage(kind, customer, plan, 1.5, 900, age, 40, customer % 4, 3, 2.5, 1, 1)
        )

    def _handle(self, event: Event) -> None:
        for action in self.broker.handle(self.now, event):
            match action:
                case StartAttempt(request, backend):
                    attempt = self._attempts.get(request, 0)
                    self._attempts[request] = attempt + 1
                    self.out[request, attempt] = backend
                case SetTimer(after, token):
                    heappush(self._timers, (self.now + after, token))
                case LogMessage():
                    continue
            values = (getattr(action, each.name) for each in fields(action))
            self.wanted.append(
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


def _handed_over() -> HandoverState:
    state = wire.decode((DATA / "handover_state.msgpack").read_bytes(), HandoverState)
    assert isinstance(state, HandoverState)
    return state


def _taken_over(state: HandoverState) -> Broker:
    """A new process's broker after it took the state over."""
    broker = made_broker(2)
    snapshot_restore.restore_state(broker, state.decision_state, NAMES)
    return broker


def _out(state: HandoverState) -> dict[tuple[int, int], int]:
    """The attempts that the old process had out, by their backends."""
    return {(request, attempt): backend for request, attempt, backend, *_ in state.decision_state["out"]}


def _read(name: str) -> Any:
    return json.loads((DATA / name).read_bytes())


def test_a_snapshot_is_taken_over_whole_and_written_as_it_was() -> None:
    state = _handed_over()
    broker = _taken_over(state)
    out = _out(state)
    assert len(out) == len(state.decision_state["out"]) == state.backend_descriptors > 0
    assert broker.requests.attempts.keys() == out.keys() and broker.requests.in_flight == len(out)
    written = wire.decode(wire.encode(snapshot.export_state(broker, NAMES, out)), dict)
    assert written == state.decision_state
    made = HandoverState(
        written,
        state.clock_base_ns,
        state.open_request_ids,
        state.next_number,
        state.client_descriptors,
        state.backend_descriptors,
    )
    assert wire.encode(made) == (DATA / "handover_state.msgpack").read_bytes()


def test_a_snapshot_has_the_keys_that_it_had() -> None:
    player = Player(made_broker(1), 11, START, 0)
    player.play(STEPS_BEFORE)
    told = snapshot.export_state(player.broker, NAMES, player.out)
    assert told["version"] == 7
    assert tuple(told) == SNAPSHOT_KEYS
    assert {tuple(account) for account in told["accounts"]} == {ACCOUNT_KEYS}
    commitments = [account["_commitment"] for account in told["accounts"]]
    assert {tuple(each) for each in commitments if each is not None} == {COMMITMENT_KEYS}
    assert {tuple(server) for server in told["servers"]} == {SERVER_KEYS}
    assert {len(attempt) for attempt in told["out"]} == {7}
    assert HandoverState.__struct_encode_fields__ == ("module", "base", "ids", "next", "clients", "links")


def test_a_broker_goes_on_with_a_snapshot_just_as_one_of_then_did() -> None:
    """All that it wants done, by position: requests, timers, messages; the seed plays the same day."""
    state = _handed_over()
    player = Player(_taken_over(state), 12, START + STEPS_BEFORE * STEP, 1 << 32)
    player.out = _out(state)
    player.play(STEPS_AFTER)
    assert json.loads(json.dumps(player.wanted)) == _read("handover_continued.json")


def test_a_day_before_the_handover_is_the_one_that_was_handed_over() -> None:
    """Not only the form: today's code makes the very snapshot from the same events."""
    player = Player(made_broker(1), 11, START, 0)
    player.play(STEPS_BEFORE)
    written = wire.decode(wire.encode(snapshot.export_state(player.broker, NAMES, player.out)), dict)
    assert written == _handed_over().decision_state


def test_messages_on_what_ended_afterwards_are_read_and_written_as_they_were() -> None:
    bodies = msgspec.msgpack.decode((DATA / "handover_progress.msgpack").read_bytes(), type=list[bytes])
    told = [wire.decode(body, Progress) for body in bodies]
    assert [wire.encode(each) for each in told] == bodies
    assert [each.kind for each in told] == ["sent", "ended", "closed"]
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
    state = _handed_over()
    broker, (sent, ended, closed) = _taken_over(state), told
    open_before = broker.requests.in_flight
    elsewhere = snapshot.AttemptElsewhere(
        sent.request, sent.attempt, sent.backend, sent.request_class, sent.plan, sent.tenant, sent.units
    )
    snapshot_restore.count_attempt_elsewhere(broker, NAMES, elsewhere)
    assert broker.requests.in_flight == open_before + 1
    outcome = Outcome(ended.outcome)
    end = AttemptEnded(
        ended.request, True, 0, ended.backend, 0, outcome, ended.elapsed_ns, ended.attempt, ended.load_report
    )
    broker.handle(broker.quota.gossiped_at_ns + MS, end)
    assert broker.requests.in_flight == open_before and closed.request == state.open_request_ids[0][0]
