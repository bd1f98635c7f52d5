"""What stand-ins saw, entry by entry: the judge's only evidence.

Every `at` is in nanoseconds on one monotonic clock of the machine (or on a virtual one), taken by whoever saw
the thing happen. Gateways write nothing here. Across processes the order of two entries is that of their
times; what is closer together than `World.tolerance` has no order that a verdict may rest on.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Literal

import msgspec

Repeat = Literal["safe", "keyed", "unsafe"]
Group = Literal["all", "zone", "cell"]


class _Entry(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    at: int


class RequestSent(_Entry, frozen=True):
    """A client has written a request's last byte. `origin` is the first try's id, the same for all retries;
    `again`: the same request once more, as the connection ended before the gateway can have read it."""

    request: str
    origin: str
    gateway: str
    cls: str
    plan: str
    customer: int
    units: float
    wait: int
    again: bool = False


class ReplyReceived(_Entry, frozen=True):
    """A client has read an answer's last byte; `value` is what was served, `retry_ms` the advice."""

    request: str
    kind: Literal["served", "refused", "failed"]
    value: str = ""
    retry_ms: int = 0


class ConnectionLost(_Entry, frozen=True):
    """A connection ended with no whole answer to this request. `unreached`: it crossed the end of a
    connection that was at rest, and no gateway was there to take it when it was to be written once more."""

    request: str
    unreached: bool = False


class ClientDisconnected(_Entry, frozen=True):
    """The client has hung up by itself."""

    request: str


class UnexpectedBytes(_Entry, frozen=True):
    """Bytes came to a client that had nothing outstanding on that connection."""

    gateway: str


class AttemptReceived(_Entry, frozen=True):
    """A request has come whole to a backend; its first byte came at `began`. `value`: what the backend makes
    for it; `repeat`: recognized by its key, no effect of its own."""

    began: int
    request: str
    backend: str
    gateway: str
    work: int
    turned_away: bool = False
    repeat: bool = False
    value: str = ""


class MalformedRequest(_Entry, frozen=True):
    """A backend was sent what no client sent in this form."""

    backend: str
    gateway: str
    text: str


class EndpointAnnounced(_Entry, frozen=True):
    """The list's word on a backend was written to a gateway."""

    gateway: str
    backend: str
    ready: bool


class BackendStarted(_Entry, frozen=True):
    """A backend started, with `cores` in all. A cold one has `start` of its capacity at first and all of it
    after `warm`; `start` is 1 for a warm one."""

    backend: str
    zone: str
    cell: int
    cores: float
    start: float
    warm: int


class BackendCrashed(_Entry, frozen=True):
    """A cold backend fell over."""

    backend: str


class GatewayStarted(_Entry, frozen=True):
    """A gateway answered its first ping."""

    gateway: str


class GatewayStopping(_Entry, frozen=True):
    """A gateway was asked to end (SIGTERM)."""

    gateway: str


class GatewayKilled(_Entry, frozen=True):
    """A gateway was killed outright."""

    gateway: str


class GatewayPaused(_Entry, frozen=True):
    """A gateway's process was stopped (SIGSTOP) and had taken no step more when this was written."""

    gateway: str


class GatewayResumed(_Entry, frozen=True):
    """It is about to go on (SIGCONT)."""

    gateway: str


class FaultChanged(_Entry, frozen=True):
    """A fault of the schedule began, or ended; `fault` is its place there."""

    fault: int
    on: bool
    text: str = ""


class GatewayExited(_Entry, frozen=True):
    """A gateway's process has ended."""

    gateway: str
    status: int


class HarnessLagged(_Entry, frozen=True):
    """A stand-in's own loop came late by so much: what it saw then is no evidence on time."""

    who: str
    late: int


Entry = (
    RequestSent
    | ReplyReceived
    | ConnectionLost
    | ClientDisconnected
    | UnexpectedBytes
    | AttemptReceived
    | MalformedRequest
    | EndpointAnnounced
    | BackendStarted
    | BackendCrashed
    | GatewayStarted
    | GatewayStopping
    | GatewayKilled
    | GatewayPaused
    | GatewayResumed
    | FaultChanged
    | GatewayExited
    | HarnessLagged
)


class ClassRule(msgspec.Struct, frozen=True):
    """What the rules say of a class; `window`, ns: how long a group remembers a key."""

    repeat: Repeat
    group: Group
    window: int


class PlanRule(msgspec.Struct, frozen=True):
    """Each customer's quota and ceiling, in units and units a second; 0 rates for none."""

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


class World(msgspec.Struct, frozen=True):
    """The rules' figures. Times in ns."""

    classes: dict[str, ClassRule]
    plans: dict[str, PlanRule]
    grace: int  # of a drain
    fall_window: int
    fall_multiple: float
    tolerance: int = 50_000_000  # by which each time limit is longer, for ways on the machine
    ceiling_tolerance: int = 150_000_000  # what the ceiling's rate gives in this time widens the slack
    beyond_most: float = 1.0  # part of the units sent on that may lie beyond the quotas; 1: only measured


class Ledger:
    """Entries as they are written, in memory; bounded by the run that writes them."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.write = self.entries.append

    def save(self, path: Path, world: World) -> None:
        """One JSON object a line: the world, then each entry."""
        encoder = msgspec.json.Encoder()
        with path.open("wb") as file:
            for item in (world, *self.entries):
                file.write(encoder.encode(item) + b"\n")


def load(lines: Iterable[bytes]) -> tuple[World, list[Entry]]:
    """What `Ledger.save` wrote; raises `msgspec.DecodeError` on anything else."""
    rest = iter(lines)
    world = msgspec.json.decode(next(rest, b""), type=World)
    decoder = msgspec.json.Decoder(Entry)
    return world, [decoder.decode(line) for line in rest if line.strip()]
