"""The entries that stand-ins write about a run: the only evidence that the judge uses.

Each `at` is in nanoseconds on one monotonic clock of the machine (or on a virtual clock), read by the
component that observed the event. Gateways write no entries. Entries of different processes are ordered by
their times; those closer together than `RuleParameters.time_tolerance_ns` have no order that a verdict may
depend on.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Literal

import msgspec

Idempotency = Literal["safe", "keyed", "unsafe"]
DeduplicationScope = Literal["all", "zone", "cell"]


class _Entry(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    at: int  # ns


class RequestSent(_Entry, frozen=True):
    """A client has written the last byte of a request.

    `origin`: the id of the client's first attempt, the same for all of its retries. `is_repeat`: the same
    request is written once more, as the connection ended before the gateway can have read it. `wait_ns`: the
    longest that the client waits for the reply.
    """

    request: str
    origin: str
    gateway: str
    request_class: str
    plan: str
    tenant: int
    units: float
    wait_ns: int
    is_repeat: bool = False


class ReplyReceived(_Entry, frozen=True):
    """A client has read the last byte of a reply.

    `value` is the payload of a served request; `retry_ms` the Retry-After of a rejected one.
    """

    request: str
    kind: Literal["served", "refused", "failed"]
    value: str = ""
    retry_ms: int = 0


class ConnectionLost(_Entry, frozen=True):
    """A connection ended without a complete reply to this request.

    `gateway_unreachable`: the request met the end of an idle connection, and no gateway accepted a connection
    when the client wanted to write it again.
    """

    request: str
    gateway_unreachable: bool = False


class ClientDisconnected(_Entry, frozen=True):
    """The client has closed its connection before it had a reply."""

    request: str


class UnexpectedBytes(_Entry, frozen=True):
    """A client that had no outstanding request on a connection received bytes on it."""

    gateway: str


class AttemptReceived(_Entry, frozen=True):
    """A backend has received the last byte of a request, and its first byte at `began_at`.

    `work_ns`: core-nanoseconds. `value`: the payload that the backend produces for the request.
    `is_duplicate`: the backend recognized the idempotency key, so this attempt has no effect of its own.
    """

    began_at: int
    request: str
    backend: str
    gateway: str
    work_ns: int
    rejected: bool = False
    is_duplicate: bool = False
    value: str = ""


class MalformedRequest(_Entry, frozen=True):
    """A backend has received a request in a form that no client sends."""

    backend: str
    gateway: str
    text: str


class EndpointAnnounced(_Entry, frozen=True):
    """The state of a backend in the endpoint list was written to a gateway."""

    gateway: str
    backend: str
    ready: bool


class BackendStarted(_Entry, frozen=True):
    """A backend with `cores` at full capacity has started.

    It has the share `start_capacity` of its capacity at first (1 if it is warmed up already) and all of it
    after `warmup_ns`.
    """

    backend: str
    zone: str
    cell: int
    cores: float
    start_capacity: float
    warmup_ns: int


class BackendCrashed(_Entry, frozen=True):
    """A backend that was warming up crashed under overload."""

    backend: str


class GatewayStarted(_Entry, frozen=True):
    """A gateway answered its first ping."""

    gateway: str


class GatewayStopping(_Entry, frozen=True):
    """A gateway is about to be asked to shut down (SIGTERM)."""

    gateway: str


class GatewayKilled(_Entry, frozen=True):
    """A gateway is about to be killed (SIGKILL)."""

    gateway: str


class GatewayPaused(_Entry, frozen=True):
    """A gateway's process was stopped (SIGSTOP) and no longer runs when this is written."""

    gateway: str


class GatewayResumed(_Entry, frozen=True):
    """A gateway's process is about to be continued (SIGCONT)."""

    gateway: str


class FaultChanged(_Entry, frozen=True):
    """A fault of the schedule began or ended; `fault_index` is its position in the schedule."""

    fault_index: int
    active: bool
    text: str = ""


class GatewayExited(_Entry, frozen=True):
    """A gateway's process has exited."""

    gateway: str
    status: int


class HarnessLagged(_Entry, frozen=True):
    """The event loop of a stand-in ran late by `lag_ns`, so the times of its entries are no evidence."""

    component: str
    lag_ns: int


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
    """What the rules permit for a class of requests.

    `deduplication_window_ns`: how long the backends of a scope remember an idempotency key.
    """

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ns: int


class PlanRule(msgspec.Struct, frozen=True):
    """The quota and the hard limit of each tenant of a plan, as token buckets; a rate of 0 means no limit."""

    rate_per_s: float
    burst_units: float
    hard_limit_per_s: float = 0.0
    hard_limit_burst_units: float = 0.0
    hard_limit_slack_units: float = 0.0


class RuleParameters(msgspec.Struct, frozen=True):
    """The parameters of the rules that a run is judged by.

    `time_tolerance_ns` extends each time limit, for delays on the machine. The slack of a hard limit is wider
    by what its rate adds in `hard_limit_tolerance_ns`. `max_over_quota_share`: the largest permitted share of
    the forwarded units that is beyond quotas; 1 if it is only measured.
    """

    classes: dict[str, ClassRule]
    plans: dict[str, PlanRule]
    drain_grace_ns: int
    overload_window_ns: int
    overload_multiple: float
    time_tolerance_ns: int = 50_000_000
    hard_limit_tolerance_ns: int = 150_000_000
    max_over_quota_share: float = 1.0


class Ledger:
    """All entries of one run, in memory and in the order in which they were written."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.write = self.entries.append

    def save(self, path: Path, rules: RuleParameters) -> None:
        """Write a file of JSON lines: the rules, then one line per entry."""
        encoder = msgspec.json.Encoder()
        with path.open("wb") as file:
            for item in (rules, *self.entries):
                file.write(encoder.encode(item) + b"\n")


def load(lines: Iterable[bytes]) -> tuple[RuleParameters, list[Entry]]:
    """Read the lines that `Ledger.save` wrote; raises `msgspec.DecodeError` on any other input."""
    remaining = iter(lines)
    rules = msgspec.json.decode(next(remaining, b""), type=RuleParameters)
    decoder = msgspec.json.Decoder(Entry)
    return rules, [decoder.decode(line) for line in remaining if line.strip()]
