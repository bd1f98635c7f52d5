"""One tenant's commitment: its requests to one service, and the cap on those in flight."""

from __future__ import annotations

from dataclasses import dataclass

from .decaying_mean import DecayingMean
from .tenant_account import TenantAccount


@dataclass(slots=True)
class Commitment:
    """One customer's requests to one service: how many are in flight, and the cap on that."""

    account: TenantAccount
    last_request_ns: int  # when a request last came
    evaluated_at_ns: int
    mean_in_flight: DecayingMean
    demand: DecayingMean
    cap: int = 0  # 0: it has ended, or has not begun
    in_flight: int = 0
    streaming: int = 0  # of them: long values that are being passed on, at their reader's pace
    priority: float = 0.0
    max_wait_ns: float = 0.0
    latency_objective_ns: int = 0
    min_throughput_per_s: float = (
        0.0  # requests a second that it is to be let through, as of its last evaluation
    )
