"""One request as a client sent it: what a front parses from bytes, and what a backend's adapter encodes.

May know: the decision module's vocabulary. May not know: any protocol, connection or pool.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

RETRY_FLAG = 2  # bit of `options`: a client's retry


class InvalidCall(ValueError):
    """A request that cannot be accepted; its text is the reason that the client is given."""


class PausableSource(Protocol):
    """Where a long value comes from; bytes that were read before a pause may still follow it."""

    def pause(self) -> None:
        """Read no more of the value until `resume`."""

    def resume(self) -> None:
        """Read on after `pause`."""


@dataclass(slots=True, eq=False)
class Call:
    """One request. `request_class` and `plan` are indices in the settings.

    `raw_request` is the request in its own protocol, for an adapter that speaks the same: it is forwarded
    unchanged. `wait_ms`: how long the client waits for the answer, from the request's arrival.
    `gateway_span`, `first_gateway`: as in `RequestArrived`.
    """

    raw_request: object
    request_id: bytes
    request_class: int
    plan: int
    tenant: int
    wait_ms: int
    units: float
    gateway_span: int
    first_gateway: int
    options: int
    body_bytes: int = 0  # of a long body; 0 for a short one, which is part of `raw_request`
