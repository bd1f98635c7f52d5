"""Lists the roles of the fleet with their costs: the slope, the size, the limit and the mechanism of each.

The module holds data only. The figures of a row are computed by `estimates.py`.
"""

from __future__ import annotations

from .control_roles import COORDINATOR, COUNTER, DISCOVERY, MACHINE, REGION, TOOLS
from .gateway_roles import CARRYING, GATEWAY
from .role_terms import CELLS, COUNTERS_BY_CELL, SERVICE_SUBSETS, Bound

ROLES = (GATEWAY, CARRYING, COORDINATOR, MACHINE, REGION, DISCOVERY, COUNTER, TOOLS)

BOUNDS = (
    Bound(
        "places that get a slot of what all share",
        "slots",
        "gateways",
        "membership/slot_allocation.py",
        CELLS,
    ),
    Bound(
        "members that `fleet.most` may be set to",
        "fleet_most",
        "gateways",
        "config/fleet_tables.py",
        CELLS,
    ),
    Bound(
        "fields that a counter's name may hold, one a gateway",
        "counter_most",
        "gateways",
        "counter/commands.py",
        COUNTERS_BY_CELL,
    ),
    Bound(
        "backends that a gateway can hold a connection to",
        "links_most",
        "backends",
        "backends/pools.py",
        SERVICE_SUBSETS,
    ),
)
# The limits of all control tasks together at one gateway. Rows whose names begin with a key are summed.
TOTALS: dict[str, tuple[str, str]] = {
    "memory": ("memory", "bytes"),
    "CPU": ("share", "share of a core"),
    "bytes": ("budget", "bytes/s"),
}
