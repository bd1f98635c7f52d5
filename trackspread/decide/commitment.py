"""One tenant's commitment: its requests to one service, and the cap on those in flight."""

from __future__ import annotations

from dataclasses import dataclass

from .decaying_mean import DecayingMean
from .tenant_account import TenantAccount


@dataclass(slots=True)
class Commitment:
    """One tenant's requests to one service: how many are in flight, and the cap on that."""

    account: TenantAccount
    last_request_ns: int  # when a request last arrived
    evaluated_at_ns: int
    mean_in_flight: DecayingMean  # requests
    demand: DecayingMean  # units that each request asked for
    cap: int = 0  # requests in flight; 0: it has ended, or has not begun
    in_flight: int = 0  # attempts
    streaming: int = 0  # of them: values that are being passed on, at their reader's pace
    priority: float = 0.0  # recent priority weight per ns of service
    max_wait_ns: float = 0.0  # the longest mean wait that its requests tolerate; 0.0: none has arrived
    latency_objective_ns: int = 0  # the longest of its requests' classes
    min_throughput_per_s: float = 0.0  # requests that it is to be granted, as of its last evaluation
