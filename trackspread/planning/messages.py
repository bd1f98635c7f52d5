"""What forwarders and planners send one another about leases.

Only lengths of time travel, as each process has a clock of its own. Numbers of leases only grow.
"""

from __future__ import annotations

from typing import NamedTuple

from .limits import Limit

LeaseNumber = tuple[int, int]  # epoch and count: of two the later is the newer
NO_LEASE: LeaseNumber = (0, 0)


class LeaseRequest(NamedTuple):
    """A forwarder's request for a lease on one limit of one tenant, at each heartbeat.

    `limit_index`: of the tenant's limits. `incarnation`: new with each start. `sequence`: grows with each
    request. `base_lease`: the newest lease that the forwarder has, `held_limit` what it grants (nothing once
    it has expired), `tokens` what is left of it, `returned_tokens` given up since the request before.
    `demand_per_s`: in units, here. `waiting_units`: of a client's request that waits for a lease, or 0."""

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
    """A planner's answer: `lease` on `limit`, in place of `base_lease`; `tokens` come with it once."""

    epoch: int
    tenant: int
    limit_index: int
    sequence: int
    base_lease: LeaseNumber
    lease: LeaseNumber
    limit: Limit
    tokens: float
