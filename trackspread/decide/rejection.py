"""Builds the final answer to a request that is rejected, with the time after which its client may retry."""

from __future__ import annotations

from .actions import Reject
from .events import RequestArrived
from .settings import Settings
from .time_units import SECOND

# A longer time leaves capacity unused, and clients that flood the gateway ignore it.
RETRY_AFTER_NS = SECOND // 5


def rejection(arrival: RequestArrived, settings: Settings) -> Reject:
    """Returns the rejection of a request that the client may safely repeat.

    Either none of its attempts can have been executed, or it may be executed again without harm.
    """
    if not settings.may_send_retry_after:
        return Reject(arrival.request, 0)
    return Reject(arrival.request, min(RETRY_AFTER_NS, settings.max_retry_after_ns))
