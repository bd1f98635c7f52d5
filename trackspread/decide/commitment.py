"""Holds one tenant's commitment: its requests to one service and the cap on those in flight."""

from __future__ import annotations

from dataclasses import dataclass

from .decaying_mean import DecayingMean
from .tenant_account import TenantAccount


@dataclass(slots=True)
class Commitment:
    """Holds the state of one tenant's requests to one service, and the cap on those in flight."""

    account: TenantAccount
    last_request_ns: int  # arrival of the last request
    evaluated_at_ns: int
    mean_in_flight: DecayingMean  # requests
    demand: DecayingMean  # units requested by each request
    sampled_at_ns: int = 0  # the tick up to which `mean_in_flight` has a sample of each tick
    cap: int = 0  # requests in flight; 0 before the commitment begins and after it has ended
    in_flight: int = 0  # attempts
    streaming: int = 0  # attempts in flight that are streaming a value at the speed of its reader
    priority: float = 0.0  # moving average of priority weight per ns of service time
    max_wait_ns: float = 0.0  # longest mean wait that its requests tolerate; 0.0 before the first request
    latency_objective_ns: int = 0  # longest objective among the classes of its requests
    min_throughput_per_s: float = 0.0  # requests to be granted, as of the last evaluation
