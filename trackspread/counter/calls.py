"""Calls to the counter, its replies, and the grants that follow from them. Plain values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Call:
    """One call to the counter: write `value` under this gateway's field (None: only read), then read the
    complete key. `tenant` is None for the heartbeats of a partition."""

    call_id: int
    partition: int
    tenant: int | None
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Reply:
    """What the counter answered to a call.

    `clock_ms`: the server's. `fields`: by gateway. `token`: which counter this is, with heartbeats.
    `field_was_missing`: this gateway's field was not there before it was written now."""

    clock_ms: int
    fields: dict[int, bytes]
    token: bytes = b""
    field_was_missing: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Shares of a tenant's limits that may be used from now on: of the quota, the hard limit and the limit on
    concurrent attempts.

    `spent_elsewhere_units`: of the quota that others spent, to be taken off once. `tokens`: of the quota's
    bucket as others know it, in place of what is known here; None where that stands. `more_expected`: the
    first reply is on its way, so that it pays to queue a request."""

    tenant: int
    quota_share: float
    hard_limit_share: float
    concurrency_share: float
    spent_elsewhere_units: float
    tokens: float | None
    more_expected: bool
