"""Holds the required size of the fleet, and the arithmetic of the load that follows from it."""

from __future__ import annotations

from trackspread.backends.pools import RETIRE_FRACTION
from trackspread.cells.seeded_cell import COORDINATOR_REFRESH_NS, SEED_REFRESH_NS
from trackspread.counter.commands import MAX_FIELDS
from trackspread.counter.timing import HEARTBEAT_NS
from trackspread.decide.commitments import IDLE_COMMITMENT_NS
from trackspread.decide.quota.account_table import ACCOUNT_LIFETIME_NS
from trackspread.decide.retry_policy import RETRIES_PER_REQUEST
from trackspread.decide.time_units import SECOND
from trackspread.lists.poll_timing import MAX_SPREAD_S
from trackspread.membership.slot_allocation import SLOT_COUNT
from trackspread.membership.transport import DESCRIPTORS
from trackspread.node.gateway import RESERVED_DESCRIPTORS

from .page_arithmetic import Line

# The required size; a rack fails as one machine in 60 at once.
ASKED: dict[str, float] = {
    "gateways": 7_200,
    "backends": 59_000,
    "services": 2_100,
    "requests": 480_000,
    "routes": 62_000,
    "tenants": 290_000,
    "regions": 4,
    "zones": 12,
    "racks": 60,
    "changes": 21_000,
    "restarts": 22_000,
    "failures": 100,
    "control": 19,
    "day": 86_400,
    "cell": 24,
    "change_s": 9,
}
# The program and its platform set these bounds.
BOUNDS: dict[str, float] = {
    "descriptors": 1_024,
    "descriptors_kept": RESERVED_DESCRIPTORS + DESCRIPTORS,
    "backends_part": 0.5,
    "retry_share": RETRIES_PER_REQUEST,
    "idle_s": IDLE_COMMITMENT_NS / SECOND,
    "forget_s": ACCOUNT_LIFETIME_NS / SECOND,
    "rest_s": 30 * RETIRE_FRACTION,
    "spread_s": MAX_SPREAD_S,
    "partitions": 8,
    "counter_beat_s": HEARTBEAT_NS / SECOND,
    "share": 0.018,
    "budget": 5_000,
    "memory": 64e6,
    "report_s": COORDINATOR_REFRESH_NS / SECOND,
    "report_others_s": SEED_REFRESH_NS / SECOND,
    "slots": SLOT_COUNT,
    "fleet_most": 4_096,
    "counter_most": MAX_FIELDS,
}
# The services of a gateway if requests were distributed by service; see the lines on connections.
SERVICES_PER_GATEWAY = 16

REQUESTS = (
    Line("requests_gateway", "requests a gateway", "requests / gateways", "/s"),
    Line("requests_zone", "the same while a zone is lost", "requests / (gateways - gateways / zones)", "/s"),
    Line(
        "requests_region",
        "the same while a region is lost",
        "requests / (gateways - gateways / regions)",
        "/s",
    ),
    Line(
        "attempts",
        "attempts at most, all gateways",
        "requests * (1 + retry_share)",
        "/s",
        "one further for ten first ones: `decide/retry_policy.py`, RETRIES_PER_REQUEST",
    ),
    Line("attempts_gateway", "attempts a gateway at most", "attempts / gateways", "/s"),
    Line("attempts_backend", "attempts a backend at most", "attempts / backends", "/s"),
    Line("requests_service", "requests a service", "requests / services", "/s"),
    Line("requests_tenant", "requests a tenant", "requests / tenants", "/s"),
    Line("routes_service", "routes a service", "routes / services", ""),
)
PLACES = (
    Line("gateways_region", "gateways a region", "gateways / regions", ""),
    Line("gateways_zone", "gateways a zone", "gateways / zones", ""),
    Line("backends_region", "backends a region", "backends / regions", ""),
    Line("backends_zone", "backends a zone", "backends / zones", ""),
    Line("backends_service", "backends a service", "backends / services", ""),
    Line("backends_service_region", "the same in one region", "backends_service / regions", ""),
    Line(
        "backends_service_zone",
        "the same in one zone",
        "backends_service / zones",
        "",
        "too few to lose one: a service is carried by region",
    ),
)
CONNECTIONS = (
    Line(
        "mesh",
        "connections, each gateway with each backend",
        "gateways * backends",
        "",
        "not possible: see the next line",
    ),
    Line(
        "links_most",
        "connections to backends that a gateway may hold",
        "(descriptors - descriptors_kept) * backends_part",
        "",
        "1,024 descriptors of the platform; `node/gateway.py` keeps some, half of the rest is clients'",
    ),
    Line(
        "links_rest",
        "backends asked within the time a connection rests, all services",
        "attempts_gateway * rest_s",
        "",
        "over the line above: a gateway that carries all services connects anew for nearly each attempt",
    ),
    Line(
        "carried_most",
        "services that a gateway can carry, one connection a backend",
        "links_most / backends_service",
        "",
    ),
    Line(
        "carried_region",
        "the same with the backends of its own region alone",
        "links_most / backends_service_region",
        "",
    ),
    Line(
        "carried",
        "services that a gateway carries, as this page reckons",
        "carried_by_choice",
        "",
        "`services.carries` in the operator's file; nothing draws up which gateway carries which",
    ),
    Line("links_gateway", "connections a gateway then holds", "carried * backends_service", ""),
    Line(
        "descriptors_gateway",
        "descriptors then held, with as many clients as there is room for",
        "links_gateway + links_most + descriptors_kept",
        "",
        "of 1,024",
    ),
    Line(
        "gateways_service",
        "gateways a service, and connections a backend",
        "gateways * carried / services",
        "",
    ),
    Line("gateways_service_zone", "the same in one zone", "gateways_service / zones", ""),
    Line("links_all", "connections of all gateways", "gateways * links_gateway", ""),
    Line(
        "link_rate",
        "attempts a connection",
        "attempts_gateway / links_gateway",
        "/s",
        "one each 6 s, under the time that a connection rests: they are kept",
    ),
    Line("routes_gateway", "routes a gateway then carries", "carried * routes_service", ""),
)
TENANTS = (
    Line("tenants_mean", "tenants a gateway, if each comes by one", "tenants / gateways", ""),
    Line(
        "tenants_ten",
        "tenants at most with a commitment",
        "requests_gateway * idle_s",
        "",
        "none but those with a request within 10 s: `decide/commitments.py`, IDLE_COMMITMENT_NS",
    ),
    Line(
        "tenants_active",
        "tenants at most with an account",
        "min(tenants, requests_gateway * forget_s)",
        "",
        "none but those with a request within two minutes: `quota/account_table.py`, ACCOUNT_LIFETIME_NS",
    ),
)
CHANGES = (
    Line("changes_s", "configuration changes", "changes / day", "/s"),
    Line("changes_gateways", "the same told to every gateway", "changes_s * gateways", "/s"),
    Line(
        "changes_gateway",
        "changes a day for one gateway's services alone",
        "changes * carried / services",
        "",
    ),
    Line("changes_gateway_s", "the same a second", "changes_gateway / day", "/s"),
    Line(
        "changes_carried",
        "changes told, to those gateways alone that carry the service",
        "changes_s * gateways_service",
        "/s",
    ),
    Line(
        "machines",
        "machines that are restarted or fail",
        "gateways + backends",
        "",
        "restarts and failures are reckoned in proportion",
    ),
    Line("restarts_s", "restarts and replacements", "restarts / day", "/s"),
    Line("restarts_gateways", "of these gateways, a day", "restarts * gateways / machines", ""),
    Line("restarts_backends", "of these backends, a day", "restarts * backends / machines", ""),
    Line(
        "list_changes",
        "changes of the list, three a restart",
        "3 * restarts_backends / day",
        "/s",
        "draining, gone, ready again",
    ),
    Line(
        "list_changes_gateway",
        "the same of one gateway's services",
        "list_changes * carried / services",
        "/s",
    ),
    Line("views_flat", "changes of one flat view, two a restart", "2 * restarts_gateways / day", "/s"),
    Line(
        "views_cell",
        "changes of a cell's view",
        "views_flat * cell / gateways",
        "/s",
        "a cell of 24 gateways",
    ),
    Line("failures_gateways", "gateways that fail a day", "failures * gateways / machines", ""),
    Line("tenth", "joins while a tenth restarts within a minute", "gateways / 10 / 60", "/s"),
)
LOSSES = (
    Line("rack_gateways", "gateways lost with a rack, one in 60", "gateways / racks", ""),
    Line("rack_backends", "backends lost with it", "backends / racks", ""),
    Line("zone_cells", "cells lost with a zone", "gateways_zone / cell", ""),
    Line("region_cells", "cells cut off with a region", "gateways_region / cell", ""),
    Line(
        "region_changes",
        "configuration changes missed in two minutes",
        "changes_s * 120",
        "",
        "to be caught up at the heal",
    ),
    Line("region_lists", "changes of the list missed in two minutes", "list_changes * 120", ""),
)
CONTROL = (
    Line("cells", "cells", "gateways / cell", ""),
    Line("cells_control", "cells a control machine", "cells / control", ""),
    Line("gateways_control", "gateways a control machine", "gateways / control", ""),
    Line("gateways_control_one", "the same while one is lost", "gateways / (control - 1)", ""),
    Line(
        "reports_s",
        "reports of all cells to the leader, while nothing changes",
        "cells / report_s + 2 * cells / report_others_s",
        "/s",
        "a coordinator's each 10 s, two other seeds' each 30 s: `cells/seeded_cell.py`",
    ),
    Line(
        "bytes_control",
        "bytes a control machine, if all gateways spend all on it",
        "gateways * budget / control",
        "B/s",
    ),
    Line("cores", "cores that all gateways may spend on control", "gateways * share", ""),
    Line(
        "calls_start",
        "calls to discovery while all gateways start at once",
        "gateways / spread_s",
        "/s",
        "`lists/poll_timing.py` spreads them over 5 s at most",
    ),
    Line(
        "counter_heartbeats",
        "calls of a shared counter's beat",
        "gateways * partitions / counter_beat_s",
        "/s",
    ),
    Line(
        "counter_fields",
        "fields read with them, one a gateway",
        "counter_heartbeats * gateways",
        "/s",
        "the square of the fleet; a counter's name holds 4,096 fields at most",
    ),
)
SECTIONS: tuple[tuple[str, tuple[Line, ...]], ...] = (
    ("Requests", REQUESTS),
    ("Places", PLACES),
    ("Who connects to whom", CONNECTIONS),
    ("Tenants at a gateway", TENANTS),
    ("Changes and restarts", CHANGES),
    ("Racks, zones, regions", LOSSES),
    ("Control", CONTROL),
)


def figures() -> dict[str, float]:
    """Returns the figures from which the arithmetic starts."""
    return {**ASKED, **BOUNDS, "carried_by_choice": SERVICES_PER_GATEWAY}
