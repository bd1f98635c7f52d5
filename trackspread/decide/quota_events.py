"""Processes quota events, which concern all services of a gateway, once for all of them."""

from __future__ import annotations

from collections.abc import Sequence

from .actions import Action
from .events import AllocationChanged, CounterAnswered, PeerMessage
from .peer_messages import is_quota_message
from .quota import Quota
from .quota_admission import QuotaAdmission

QuotaEvent = AllocationChanged | PeerMessage | CounterAnswered


def handle_quota_event(
    now: int, event: QuotaEvent, quota: Quota, admissions: Sequence[QuotaAdmission]
) -> list[Action]:
    """Applies one event to the quota and decides the requests that wait for it.

    `admissions` holds those of all services that share the quota.
    """
    match event:
        case AllocationChanged():
            quota.change_allocation(now, event)
            return [
                action
                for admission in admissions
                for action in admission.allocation_changed(now, event.tenant)
            ]
        case PeerMessage() if quota.uses_gossip and not is_quota_message(event.data):
            quota.receive_usage_totals(now, event)
            return []
        case PeerMessage():
            query, granted, preceding = quota.receive_quota_message(now, event)
        case CounterAnswered():
            query, granted, preceding = quota.receive_counter_answer(now, event)
    waiting = next((each for each in admissions if query in each.queued), admissions[0])
    return waiting.handle_answer(now, query, granted, preceding)
