"""Defines the entries that stand-ins write about a run, which are the judge's only evidence.

Each `at` is in nanoseconds on one monotonic clock of the machine (or on a virtual clock), read by the
component that observed the event. Gateways write no entries. Entries of different processes are ordered by
their times; entries closer together than `RuleParameters.time_tolerance_ns` have no order that a verdict may
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
    """Holds what all entries share; the class name of an entry is its tag in files."""

    at: int  # ns


class RequestSent(_Entry, frozen=True):
    """Records that a client has written the last byte of a request.

    `origin` is the id of the client's first attempt, the same for all of its retries. `is_repeat` says that
    the same request is written once more, as the connection ended before the gateway can have read it.
    `wait_ns` is the longest time that the client waits for the reply.
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
    """Records that a client has read the last byte of a reply.

    `value` is the payload of a served request, and `retry_ms` the Retry-After of a rejected one.
    """

    request: str
    kind: Literal["served", "refused", "failed"]
    value: str = ""
    retry_ms: int = 0


class ConnectionLost(_Entry, frozen=True):
    """Records that a connection ended without a complete reply to this request.

    `gateway_unreachable` says that an idle connection was closed as the request was written, and that no
    gateway accepted a connection when the client wanted to write it again.
    """

    request: str
    gateway_unreachable: bool = False


class ClientDisconnected(_Entry, frozen=True):
    """Records that the client closed its connection before it had a reply."""

    request: str


class UnexpectedBytes(_Entry, frozen=True):
    """Records that a client received bytes on a connection without an outstanding request."""

    gateway: str


class AttemptReceived(_Entry, frozen=True):
    """Records that a backend has received the last byte of a request, and its first byte at `began_at`.

    `work_ns` is in core-nanoseconds. `value` is the payload that the backend produces for the request.
    `is_duplicate` says that the backend recognized the idempotency key, so this attempt has no effect of its
    own.
    """

    began_at: int
    request: str
    backend: str
    gateway: str
    work_ns: int
    rejected: bool = False
    is_duplicate: bool = False
    value: str = ""


class AttemptAnswered(_Entry, frozen=True):
    """Records that a backend has written the answer to a request that it had received."""

    request: str
    backend: str
    gateway: str


class MalformedRequest(_Entry, frozen=True):
    """Records that a backend received a request in a form that no client sends."""

    backend: str
    gateway: str
    text: str


class EndpointAnnounced(_Entry, frozen=True):
    """Records that the state of a backend in the endpoint list was written to a gateway."""

    gateway: str
    backend: str
    ready: bool


class BackendStarted(_Entry, frozen=True):
    """Records the start of a backend with `cores` at full capacity.

    The backend has the share `start_capacity` of its capacity at first (1 if it is warmed up already) and all
    of it after `warmup_ns`.
    """

    backend: str
    zone: str
    cell: int
    cores: float
    start_capacity: float
    warmup_ns: int


class BackendCrashed(_Entry, frozen=True):
    """Records that a backend that was warming up crashed under overload."""

    backend: str


class GatewayStarted(_Entry, frozen=True):
    """Records that a gateway answered its first ping."""

    gateway: str


class GatewayStopping(_Entry, frozen=True):
    """Records that a gateway is about to be asked to shut down (SIGTERM)."""

    gateway: str


class GatewayKilled(_Entry, frozen=True):
    """Records that a gateway is about to be killed (SIGKILL)."""

    gateway: str


class GatewayPaused(_Entry, frozen=True):
    """Records that a gateway's process was stopped (SIGSTOP); it no longer runs when this is written."""

    gateway: str


class GatewayResumed(_Entry, frozen=True):
    """Records that a gateway's process is about to be continued (SIGCONT)."""

    gateway: str


class FaultChanged(_Entry, frozen=True):
    """Records that a fault of the schedule began or ended; `fault_index` is its position in the schedule."""

    fault_index: int
    active: bool
    text: str = ""


class GatewayExited(_Entry, frozen=True):
    """Records that a gateway's process has exited."""

    gateway: str
    status: int


class GatewayMemoryUsed(_Entry, frozen=True):
    """Records the most memory that a gateway's process has used, and what it may use."""

    gateway: str
    peak_bytes: int
    limit_bytes: int


class HarnessLagged(_Entry, frozen=True):
    """Records that a stand-in's event loop ran late by `lag_ns`, so its entries' times are no evidence."""

    component: str
    lag_ns: int


Entry = (
    RequestSent
    | ReplyReceived
    | ConnectionLost
    | ClientDisconnected
    | UnexpectedBytes
    | AttemptReceived
    | AttemptAnswered
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
    | GatewayMemoryUsed
    | HarnessLagged
)


class ClassRule(msgspec.Struct, frozen=True):
    """Holds what the rules permit for a class of requests.

    `deduplication_window_ns` says how long the backends of a scope remember an idempotency key.
    """

    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ns: int


class PlanRule(msgspec.Struct, frozen=True):
    """Holds the token buckets of a tenant's quota and hard limit in a plan; a rate of 0 means no limit."""

    rate_per_s: float
    burst_units: float
    hard_limit_per_s: float = 0.0
    hard_limit_burst_units: float = 0.0
    hard_limit_slack_units: float = 0.0


class RuleParameters(msgspec.Struct, frozen=True):
    """Holds the parameters of the rules that a run is judged by.

    `time_tolerance_ns` extends each time limit because of delays on the machine. The slack of a hard limit
    grows by the tokens that its rate adds in `hard_limit_tolerance_ns`. `max_over_quota_share` is the largest
    permitted share of the forwarded units beyond quotas; it is 1 if that share is only measured.
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
    """Keeps all entries of one run in memory, in the order in which they were written."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.write = self.entries.append

    def save(self, path: Path, rules: RuleParameters) -> None:
        """Writes a file of JSON lines, the rules first and then one line per entry."""
        encoder = msgspec.json.Encoder()
        with path.open("wb") as file:
            for item in (rules, *self.entries):
                file.write(encoder.encode(item) + b"\n")


def load(lines: Iterable[bytes]) -> tuple[RuleParameters, list[Entry]]:
    """Reads the lines that `Ledger.save` wrote; raises `msgspec.DecodeError` on any other input."""
    remaining = iter(lines)
    rules = msgspec.json.decode(next(remaining, b""), type=RuleParameters)
    decoder = msgspec.json.Decoder(Entry)
    return rules, [decoder.decode(line) for line in remaining if line.strip()]
