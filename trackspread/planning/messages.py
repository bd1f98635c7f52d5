"""Defines the messages about leases between forwarders and planners.

Messages carry no points in time, as each process has a clock of its own. The numbers of leases only grow.
"""

from __future__ import annotations

from typing import NamedTuple

from .limits import Limit

LeaseNumber = tuple[int, int]  # epoch and count; the greater number is the newer lease
NO_LEASE: LeaseNumber = (0, 0)


class LeaseRequest(NamedTuple):
    """Requests a lease on one limit of one tenant; a forwarder sends it at each heartbeat.

    `limit_index` selects one of the tenant's limits. `incarnation` is new with each start, and `sequence`
    grows with each request. `base_lease` is the newest lease that the forwarder has, `held_limit` its rate
    and burst (0 once it has expired), and `tokens` are those left of it; `returned_tokens` were given up
    since the request before. `demand_per_s` is the forwarder's demand in units. `waiting_units` are those of
    a client's request that waits for a lease, or 0.
    """

    forwarder: int
    incarnation: int
    sequence: int
    tenant: int
    limit_index: int
    base_lease: LeaseNumber
    held_limit: Limit
    tokens: float
    returned_tokens: float
    demand_per_s: float
    waiting_units: float


class Grant(NamedTuple):
    """Grants `lease` on `limit` in place of `base_lease`; `tokens` are added once."""

    epoch: int
    tenant: int
    limit_index: int
    sequence: int
    base_lease: LeaseNumber
    lease: LeaseNumber
    limit: Limit
    tokens: float
