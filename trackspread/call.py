"""Holds one request as a client sent it: a client adapter parses it, and a backend adapter encodes it.

It knows the terms of the decision module. It knows no protocol, connection or pool.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

RETRY_FLAG = 2  # the bit of `options` that marks a client's retry


class InvalidCall(ValueError):
    """Reports a request that cannot be accepted; the client receives the text as the reason."""


class PausableSource(Protocol):
    """Provides a long value; bytes that were read before a pause may still follow it."""

    def pause(self) -> None:
        """Stops reading the value until `resume`."""

    def resume(self) -> None:
        """Continues to read after `pause`."""


@dataclass(slots=True, eq=False)
class Call:
    """Holds one request; `request_class` and `plan` are indices in the settings.

    `raw_request` is the request in its own protocol, which an adapter of the same protocol forwards
    unchanged. `wait_ms` is how long the client waits for the answer, from the request's arrival.
    `gateway_span` and `first_gateway` are those of `RequestArrived`.
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
