"""Builds the final answer to a request that is rejected, with the time after which its client may retry."""

from __future__ import annotations

from enum import StrEnum

from .actions import Reject
from .events import RequestArrived
from .settings import Settings
from .time_units import SECOND

# A longer time leaves capacity unused, and clients that flood the gateway ignore it.
RETRY_AFTER_NS = SECOND // 5


class EarlyRejection(StrEnum):
    """Enumerates why requests are rejected before their tenants are looked up; the values name counters."""

    OUT_OF_TIME = "out_of_time"
    CLIENT_BACKLOGGED = "client_backlogged"
    TOO_MANY_TENANTS = "too_many_tenants"


def rejection(arrival: RequestArrived, settings: Settings) -> Reject:
    """Returns the rejection of a request that the client may safely repeat.

    Either none of its attempts can have been executed, or it may be executed again without harm.
    """
    if not settings.may_send_retry_after:
        return Reject(arrival.request, 0)
    return Reject(arrival.request, min(RETRY_AFTER_NS, settings.max_retry_after_ns))
