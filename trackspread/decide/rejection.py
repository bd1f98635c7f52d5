"""The final answer to a request that is not forwarded, and when its client may try again."""

from __future__ import annotations

from .actions import Reject
from .events import RequestArrived
from .settings import Settings
from .time_units import SECOND

RETRY_AFTER_NS = SECOND // 5  # a longer one leaves capacity unused, and floods do not heed it


def rejection(arrival: RequestArrived, settings: Settings) -> Reject:
    """Reject a request none of whose attempts may have executed, or that may be repeated without harm."""
    if not settings.may_send_retry_after:
        return Reject(arrival.request, 0)
    return Reject(arrival.request, min(RETRY_AFTER_NS, settings.max_retry_after_ns))
