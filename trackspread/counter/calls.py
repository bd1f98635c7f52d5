"""Defines the calls to the counter, its replies, and the grants that follow from them, as plain values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Call:
    """Holds one call to the counter, which writes this gateway's field and then reads the complete key.

    `value` is what is written; with None the call only reads. `tenant` is None for a partition's
    heartbeats.
    """

    call_id: int
    partition: int
    tenant: int | None
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Reply:
    """Holds the counter's reply to a call.

    `clock_ms` is the server's clock. `fields` are by gateway. `token` identifies the counter; it is set only
    in replies about heartbeats. `field_was_missing` says that this gateway's field did not exist before the
    call wrote it.
    """

    clock_ms: int
    fields: dict[int, bytes]
    token: bytes = b""
    field_was_missing: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Holds the shares of a tenant's quota, hard limit and concurrency limit that may be used from now on.

    `spent_elsewhere_units` is what other gateways spent of the quota, to be subtracted once. `tokens` is the
    level of the quota's token bucket as others know it, which replaces the level known here; with None the
    level here stays. `more_expected` says that the first reply is pending, so that queueing a request is
    worthwhile.
    """

    tenant: int
    quota_share: float
    hard_limit_share: float
    concurrency_share: float
    spent_elsewhere_units: float
    tokens: float | None
    more_expected: bool
