"""What each role of the fleet spends, row by row: which slope at which size, which limit, which mechanism.

Data alone. A row's figures are worked out by `page.py`; none is written here.
"""

from __future__ import annotations

from .control_roles import COORDINATOR, COUNTER, DISCOVERY, MACHINE, REGION, TOOLS
from .gateway_roles import CARRYING, GATEWAY
from .role_terms import CELLS, COUNTERS, SUBSETS, Bound

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
        COUNTERS,
    ),
    Bound(
        "backends that a gateway can hold a connection to",
        "links_most",
        "backends",
        "backends/pools.py",
        SUBSETS,
    ),
)
# What all control together may take of one gateway: the rows whose names begin so are added up.
TOTALS: dict[str, tuple[str, str]] = {
    "memory": ("memory", "bytes"),
    "CPU": ("share", "share of a core"),
    "bytes": ("budget", "bytes/s"),
}
