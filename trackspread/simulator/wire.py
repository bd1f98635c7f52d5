"""Decodes the simulator's frames to events, encodes actions to frames, and parses its settings text.

It translates and checks values, and makes no decisions.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import Any

from ..decide.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LogMessage,
    Reject,
    RequestAllocation,
    SendToPeers,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from ..decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from ..decide.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    FleetChanged,
    HealthChecked,
    Outcome,
    PeerMessage,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from ..decide.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

SELECT, UP, DOWN = 1110, 1000, 1090  # codes of incoming records
FLEET = 1900  # the code of this project's own record, far from those of the simulator's kit
SLOTS_BYTES = 128  # of a set of slots, the lowest first
FOR, DIE = 1130, 1090  # codes of outgoing records
EVERY_PEER = 0xFFFF


class WireError(ValueError):
    """Reports a frame that cannot be read; the text names the fault and its byte."""


class SettingsError(ValueError):
    """Reports settings with a missing or invalid value; the text names the key."""


class InstanceStarted:
    """Marks the start of an instance, with its random seed and its settings text."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: str) -> None:
        self.seed = seed
        self.settings = settings


class InstanceStopped:
    """Marks the end of an instance."""

    __slots__ = ()


class _FrameReader:
    """Reads one frame from its start; every read is checked against the end of the frame."""

    def __init__(self, data: bytes, position: int, offset: int) -> None:
        """Starts at `position`; `offset` is that of the frame in the input, for error texts."""
        self.data = data
        self.position = position
        self.offset = offset

    @property
    def byte(self) -> int:
        """Returns the present position in the input."""
        return self.offset + self.position

    def unpack(self, layout: struct.Struct, record: str) -> tuple[Any, ...]:
        """Returns the next fields; raises `WireError`."""
        if self.position + layout.size > len(self.data):
            raise WireError(f"frame ends inside {record} at byte {self.byte}")
        values = layout.unpack_from(self.data, self.position)
        self.position += layout.size
        return values

    def read_bytes(self, count: int, record: str) -> bytes:
        """Returns the next bytes; raises `WireError`."""
        if self.position + count > len(self.data):
            raise WireError(f"count of {count} in {record} runs past the end at byte {self.byte}")
        self.position += count
        return self.data[self.position - count : self.position]


def _layout(code: str) -> struct.Struct:
    return struct.Struct("<" + code)


_U8, _U16, _U32 = _layout("B"), _layout("H"), _layout("I")
_ENTRY, _FRAME, _STARTED = _layout("IBBHBfQ"), _layout("Q"), _layout("QI")
_TOPOLOGY, _ARRIVAL, _RESPONSE_STARTED = _layout("BQI"), _layout("QBIQQfffB"), _layout("QQHI")
_ATTEMPT_ENDED, _U64, _HEALTH_CHECKED = _layout("QBHIHHQHB"), _layout("Q"), _layout("HIQB")
_PEER_MESSAGE, _COUNTER_ANSWERED, _FLEET_CHANGED = _layout("IH"), _layout("QHQf"), _layout("IQQHHH")


def _outcome(number: int, reader: _FrameReader) -> Outcome:
    try:
        return Outcome(number)
    except ValueError:
        raise WireError(f"unknown outcome {number} at byte {reader.byte}") from None


def _load_report(reader: _FrameReader, count: int) -> tuple[float, ...]:
    return struct.unpack(f"<{count}f", reader.read_bytes(4 * count, "load report"))


def _started(reader: _FrameReader) -> InstanceStarted:
    seed, size = reader.unpack(_STARTED, "up")
    return InstanceStarted(seed, reader.read_bytes(size, "up").decode("utf-8", "replace"))


def _topology(reader: _FrameReader) -> EndpointUpdate:
    kind, version, count = reader.unpack(_TOPOLOGY, "topology")
    if kind > max(EndpointUpdateKind):
        raise WireError(f"unknown list kind {kind} at byte {reader.byte}")
    raw = reader.read_bytes(count * _ENTRY.size, "topology")
    entries = []
    for backend, zone, machine, cell, health, weight, started_at_ns in _ENTRY.iter_unpack(raw):
        if health > max(Health):
            raise WireError(f"unknown health {health} at byte {reader.byte}")
        entries.append(Backend(backend, zone, machine, cell, Health(health), weight, started_at_ns))
    return EndpointUpdate(EndpointUpdateKind(kind), version, tuple(entries))


def _arrival(reader: _FrameReader) -> RequestArrived:
    request, request_class, plan, tenant, expires_at_ns, units, gateway_span, first_gateway, options = (
        reader.unpack(_ARRIVAL, "inbound")
    )
    return RequestArrived(
        request,
        request_class,
        plan,
        tenant,
        expires_at_ns,
        units,
        int(gateway_span),
        int(first_gateway),
        options,
    )


def _attempt_ended(reader: _FrameReader) -> AttemptEnded:
    request, is_finished, units, backend, quota_usage, number, elapsed_ns, attempt, count = reader.unpack(
        _ATTEMPT_ENDED, "reply"
    )
    outcome = _outcome(number, reader)
    report = _load_report(reader, count)
    return AttemptEnded(
        request, bool(is_finished), units, backend, quota_usage, outcome, elapsed_ns, attempt, report
    )


def _health_checked(reader: _FrameReader) -> HealthChecked:
    number, backend, elapsed_ns, count = reader.unpack(_HEALTH_CHECKED, "status_back")
    outcome = _outcome(number, reader)
    return HealthChecked(outcome, backend, elapsed_ns, _load_report(reader, count))


def _peer_message(reader: _FrameReader) -> PeerMessage:
    sender, size = reader.unpack(_PEER_MESSAGE, "mail")
    return PeerMessage(sender, reader.read_bytes(size, "mail"))


def _counter_answered(reader: _FrameReader) -> CounterAnswered:
    elapsed_ns, number, name, total = reader.unpack(_COUNTER_ANSWERED, "counter_reply")
    return CounterAnswered(elapsed_ns, _outcome(number, reader), name, total)


_MAX_GATEWAYS = 4096  # that one view may name


def _slots(reader: _FrameReader) -> int:
    return int.from_bytes(reader.read_bytes(SLOTS_BYTES, "fleet"), "little")


def _numbers(reader: _FrameReader, count: int) -> tuple[int, ...]:
    return struct.unpack(f"<{count}I", reader.read_bytes(4 * count, "fleet"))


def _fleet_changed(reader: _FrameReader) -> FleetChanged:
    """Reads a view, in this project's own record, as the simulator's platform has no views.

    The record holds counts and times, the slots of this gateway, the numbers of the other gateways, the
    numbers of possible quota owners, the slots of each other gateway, and the slots of each place.
    """
    own_number, until_ns, ends_ns, place_count, other_count, owner_count = reader.unpack(
        _FLEET_CHANGED, "fleet"
    )
    if not owner_count or not place_count or max(place_count, other_count, owner_count) > _MAX_GATEWAYS:
        raise WireError(f"impossible count in fleet at byte {reader.byte}")
    own_slots = _slots(reader)
    others, owners = _numbers(reader, other_count), _numbers(reader, owner_count)
    slots_of_others = tuple(_slots(reader) for _ in range(other_count))
    slots_of_places = tuple(_slots(reader) for _ in range(place_count))
    return FleetChanged(
        own_number, others, owners, slots_of_places, own_slots, slots_of_others, until_ns, ends_ns
    )


_DECODERS: dict[int, Callable[[_FrameReader], Event | InstanceStarted | InstanceStopped]] = {
    UP: _started,
    DOWN: lambda reader: InstanceStopped(),
    1010: _topology,
    1020: _arrival,
    1030: lambda reader: ResponseStarted(*reader.unpack(_RESPONSE_STARTED, "begun")),
    1040: _attempt_ended,
    1050: lambda reader: ClientDisconnected(*reader.unpack(_U64, "client_left")),
    1060: lambda reader: TimerFired(*reader.unpack(_U32, "elapsed")),
    1070: _health_checked,
    1080: _peer_message,
    1100: _counter_answered,
    FLEET: _fleet_changed,
}


def decode(
    body: bytes, offset: int = 0
) -> tuple[int, list[tuple[int, Event | InstanceStarted | InstanceStopped]]]:
    """Returns the clock, in ns, and the (instance, event) pairs of one batch; raises `WireError`.

    `body` is the batch without its length field; `offset` is that of the body in the input, for error texts.
    """
    reader = _FrameReader(body, 0, offset)
    (now,) = reader.unpack(_FRAME, "header")
    events: list[tuple[int, Event | InstanceStarted | InstanceStopped]] = []
    instance: int | None = None
    while reader.position < len(body):
        start = reader.byte
        (code,) = reader.unpack(_U16, "record code")
        if code == SELECT:
            (instance,) = reader.unpack(_U32, "select")
            continue
        decoder = _DECODERS.get(code)
        if decoder is None:
            raise WireError(f"unknown record code {code} at byte {start}")
        if instance is None:
            raise WireError(f"record {code} before any select at byte {start}")
        events.append((instance, decoder(reader)))
    return now, events


_START_ATTEMPT, _REJECT, _CANCEL_ATTEMPT = _layout("HQIq"), _layout("HQQ"), _layout("HQH")
_SET_TIMER, _ONE_U64, _ONE_U32 = _layout("HQI"), _layout("HQ"), _layout("HI")
_SEND_TO_PEERS, _ADD_TO_COUNTER = _layout("HHH"), _layout("HQQf")
_TEXT, _ONE_U8 = _layout("HH"), _layout("HB")


def encode_text(code: int, text: str) -> bytes:
    """Returns a record with a text, which is cut to the maximum of its length field."""
    raw = text.encode()[:0xFFFF]
    return _TEXT.pack(code, len(raw)) + raw


def encode_action(action: Action) -> bytes:
    """Returns the record of an action; raises `ValueError` for one that the simulator does not support."""
    match action:
        case StartAttempt(request, backend, timeout_ns):
            return _START_ATTEMPT.pack(1000, request, backend, timeout_ns)
        case Reject(request, retry_after_ns):
            return _REJECT.pack(1010, request, retry_after_ns)
        case Fail(request):
            return _ONE_U64.pack(1020, request)
        case CancelAttempt(request, attempt):
            return _CANCEL_ATTEMPT.pack(1030, request, attempt)
        case SetTimer(delay_ns, token):
            return _SET_TIMER.pack(1040, delay_ns, token)
        case CheckHealth(backend):
            return _ONE_U32.pack(1050, backend)
        case CloseIdleConnections(backend):
            return _ONE_U32.pack(1060, backend)
        case SendToPeers(recipient, data):
            number = EVERY_PEER if recipient is None else recipient
            return _SEND_TO_PEERS.pack(1070, number, len(data)) + data
        case LogMessage(text):
            return encode_text(1080, text)
        case WatchEndpoints(is_on):
            return _ONE_U8.pack(1100, is_on)
        case FetchEndpoints():
            return _U16.pack(1110)
        case AddToCounter(name, lifetime_ns, amount):
            return _ADD_TO_COUNTER.pack(1120, name, lifetime_ns, amount)
        case RequestAllocation():
            raise ValueError("RequestAllocation: not supported, as the simulator allocates no quota")


def encode(groups: Iterator[tuple[int, list[bytes]]]) -> bytes:
    """Returns the complete reply of (instance, records) pairs."""
    records: list[bytes] = []
    for instance, instance_records in groups:
        records.append(_ONE_U32.pack(FOR, instance))
        records.extend(instance_records)
    body = b"".join(records)
    return struct.pack("<II", len(records), len(body)) + body


class _SettingsText:
    """Holds the settings text as a mapping; each look-up raises a `SettingsError` that names its key."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            path, equals, value = line.partition("=")
            if equals:
                self.values[path.strip()] = value.strip()

    def text(self, key: str) -> str:
        """Returns a text value."""
        if key not in self.values:
            raise SettingsError(f"{key}: missing")
        return self.values[key]

    def number(self, key: str, min_value: float = 0.0) -> float:
        """Returns a finite number of at least `min_value`."""
        text = self.text(key)
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(f"{key}: must be a number, got {text!r}") from None
        if not min_value <= value < float("inf"):
            raise SettingsError(f"{key}: must be finite and at least {min_value:g}, got {value}")
        return value

    def integer(self, key: str, min_value: int = 0) -> int:
        """Returns an integer of at least `min_value`."""
        value = self.number(key, min_value)
        if value != int(value):
            raise SettingsError(f"{key}: must be an integer, got {value}")
        return int(value)

    def boolean(self, key: str) -> bool:
        """Returns a boolean value."""
        value = self.text(key)
        if value not in ("true", "false"):
            raise SettingsError(f"{key}: must be true or false, got {value!r}")
        return value == "true"

    def choice(self, key: str, enum: Any) -> Any:
        """Returns a member of an enum by its value."""
        try:
            return enum(self.text(key))
        except SettingsError:
            raise
        except ValueError:
            raise SettingsError(f"{key}: unknown value {self.values[key]!r}") from None


def _request_class(values: _SettingsText, path: str) -> RequestClass:
    return RequestClass(
        name=values.text(path + "name"),
        latency_objective_ns=values.integer(path + "aim", 1),
        deadline_ns=values.integer(path + "deadline", 1),
        priority_weight=values.number(path + "points"),
        late_priority_weight=values.number(path + "lateWorth"),
        idempotency=values.choice(path + "idempotency", Idempotency),
        deduplication_scope=values.choice(path + "group", DeduplicationScope),
        deduplication_window_ns=values.integer(path + "window"),
    )


def _plan(values: _SettingsText, path: str) -> Plan:
    return Plan(
        name=values.text(path + "name"),
        rate_per_s=values.number(path + "quotaRate"),
        burst_units=values.number(path + "mostAtOnce"),
        concurrency_limit=values.integer(path + "parallel"),
        priority_factor=values.number(path + "worthFactor"),
        overage_weight=values.number(path + "beyondEarns"),
        overage_cost=values.number(path + "excessCost"),
        hard_limit_per_s=values.number(path + "ceilingRate"),
        hard_limit_burst_units=values.number(path + "hardBurst"),
        hard_limit_slack_units=values.number(path + "ceilingSlack"),
    )


def parse_settings(text: str) -> Settings:
    """Returns the settings of a start record's text; ignores unknown keys and raises `SettingsError`."""
    values = _SettingsText(text)
    names = values.text("report.names")
    return Settings(
        classes=tuple(
            _request_class(values, f"classes.{i}.") for i in range(values.integer("classes.count", 1))
        ),
        plans=tuple(_plan(values, f"packages.{i}.") for i in range(values.integer("packages.count", 1))),
        zone=values.integer("zone"),
        gateway_index=values.integer("position"),
        gateway_count=values.integer("replicasOfMe", 1),
        load_report_names=tuple(name for name in names.split(",") if name),
        max_attempts=values.integer("limits.maxAttempts", 1),
        may_hedge=values.boolean("limits.secondCopies"),
        may_cancel=values.boolean("limits.cancel"),
        may_check_health=values.boolean("limits.probes"),
        may_gossip=values.boolean("limits.peerMessages"),
        may_send_retry_after=values.boolean("limits.retryAfter"),
        max_retry_after_ns=values.integer("limits.maxRetryAfter"),
        has_shared_counter=values.boolean("familyInfo.counter"),
        metering_period_ns=values.integer("familyInfo.usePeriod"),
        largest_request_units=values.number("familyInfo.largest"),
        peer_messages_per_s=values.number("familyInfo.mailPerS"),
        units_settled_later=values.boolean("familyInfo.truedUp"),
        polls_discovery=values.text("discovery") == "on_request",
        poll_within_ns=values.integer("rules.askWithin"),
        drain_grace_ns=values.integer("rules.drainGrace"),
        overload_window_ns=values.integer("rules.fall", 1),
        overload_multiple=values.number("rules.fallMultiple"),
        slow_start_capacity=values.number("rules.startCapacity"),
        slow_start_ns=values.integer("rules.warmUp"),
        cross_zone_cost=values.number("prices.crossZone"),
    )
