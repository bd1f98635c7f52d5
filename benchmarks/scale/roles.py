"""What each role of the fleet spends, row by row: which slope at which size, which limit, which mechanism.

Data alone. A row's figures are worked out by `page.py`; none is written here.
"""

from __future__ import annotations

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One cost of a role: `slope` at the size that `at` names, times the figure that `by` names.

    `mechanism`: the module that carries it, by its path below trackspread/; where there is none yet, the row
    says **missing**. An empty `slope` is one that no run measures yet."""

    what: str
    slope: str
    at: str
    mechanism: str
    mend: str = ""
    by: str = ""
    when: str = "at rest"
    # Whether it counts in the role's totals; not where another row stands for the same.
    counted: bool = True
    # Of the product, where `by` is set: its unit, and the name of the figure that bounds it.
    unit: str = ""
    limit: str = ""


class Bound(msgspec.Struct, frozen=True):
    """A bound in the program: it holds up to the figure that `most` names of what `at` names."""

    what: str
    most: str
    at: str
    mechanism: str
    mend: str


class Role(msgspec.Struct, frozen=True):
    """A table of the page. `state`: what it holds and what is said to it, in words."""

    title: str
    state: str
    rows: tuple[Row, ...]
    # Whether its rows are parts of one gateway's budget, and so are added up.
    added_up: bool = False


SUBSETS = "services in the operator's file, each gateway carries some, with a broker for each"
RELAY = "a relay tier on control machines that holds one watch and hands lists on by service"
CELLS = "cells of some 24 gateways within a zone; control machines coordinate them and keep their directory"
NUMBERED = ("numbered changes handed down by control machines, to each gateway those of the services that it "
            "carries")
HOMES = "homes of customers within the cell or region, with grants for a span in place of an ask a request"
COUNTERS = "a counter for each cell, or grants by cell from control machines"
BUSY = "sums kept from evaluation to evaluation in place of a look at all other commitments for each"

GATEWAY = Role(
    "A gateway as it is today: all of the fleet at each",
    "State: every backend, every plan, an account for each customer of the last two minutes, every member of "
    "one view. It is told every change of the list and of the view.",
    (
        Row("memory: list of all backends", "module.backends.memory", "backends", "decide/fleet.py", SUBSETS),
        Row("memory: a plan for each tenant", "module.plans.memory", "tenants", "decide/quota.py", NUMBERED),
        Row("memory: the same as reservations on one plan", "module.reservations.memory", "tenants",
            "plans/registry.py", NUMBERED, counted=False),
        Row("memory: accounts of customers", "module.customers.memory", "tenants_active", "decide/quota.py"),
        Row("memory: one flat view", "membership.flat.memory", "gateways", "membership/member_table.py",
            CELLS),
        Row("CPU: beat, looks at all backends", "module.backends.beat", "backends",
            "decide/fleet.py", SUBSETS),
        Row("CPU: beat, commitments under way", "module.customers.beat", "tenants_ten", "decide/broker.py"),
        Row("CPU: one flat view", "membership.flat.cpu", "gateways", "membership/member.py", CELLS),
        Row("bytes: one flat view", "membership.flat.bytes", "gateways", "membership/gossip.py", CELLS),
        Row("CPU: changes of the list", "module.backends.change", "backends", "decide/fleet.py", SUBSETS,
            by="list_changes", unit="share of a core", limit="share"),
        Row("bytes: changes of the list", "module.line.change_bytes", "backends", "lists/agent.py", RELAY,
            by="list_changes", unit="bytes/s", limit="budget"),
        Row("stall: a zone's backends go, each by a change of its own", "module.backends.change", "backends",
            "decide/fleet.py", SUBSETS, when="at the peak", by="backends_zone", unit="s", limit="change_s"),
        Row("bytes: asks to homes of customers", "module.asks.bytes", "requests_gateway", "decide/quota.py",
            HOMES),
        Row("memory: routes", "module.subscribed.memory", "routes", "distribution/subscriber.py", NUMBERED),
        Row("added: a request that sees all backends", "module.backends.arrival", "backends",
            "decide/fleet.py", SUBSETS),
        Row("added: a customer's first request after a change of the view", "module.members.first",
            "gateways", "decide/quota.py", HOMES, when="at the peak"),
        Row("added: its later requests, up to the ask", "module.members.arrival", "gateways",
            "decide/quota.py", HOMES),
        Row("stall: a full list of all backends, parsed", "module.line.parse", "backends", "lists/agent.py",
            RELAY, when="at the peak"),
        Row("stall: the same, taken in", "module.backends.list", "backends", "decide/fleet.py", SUBSETS,
            when="at the peak"),
        Row("stall: the first one, before it serves", "module.backends.list_first", "backends",
            "decide/fleet.py", SUBSETS, when="at the peak"),
        Row("line: bytes that a full list is", "module.line.bytes", "backends", "lists/agent.py",
            RELAY, when="at the peak", counted=False),
        Row("stall: all tenants' plans change", "module.plans.change", "tenants", "decide/quota.py", NUMBERED,
            when="at the peak"),
        Row("stall: all tenants' reservations change", "module.reservations.change", "tenants",
            "decide/quota.py", NUMBERED, when="at the peak"),
        Row("stall: the module takes in a change of the view", "module.members.change", "gateways",
            "decide/quota.py", CELLS, when="at the peak"),
        Row("stall: commitments solved under pressure", "module.pressed.evaluation", "tenants_ten",
            "decide/broker.py", BUSY, when="at the peak"),
    ),
    added_up=True,
)
CARRYING = Role(
    "A gateway that carries its own services alone",
    "State: the backends, plans and routes of some 16 services, a view of its cell of 24. Below the least "
    "size that was fitted a row takes the cost at that size, as one that is not passed.",
    (
        Row("memory: its services' brokers and backends", "module.services.memory", "carried",
            "decide/services.py"),
        Row("memory: a plan for each active tenant", "module.plans.memory", "tenants_active", ""),
        Row("memory: accounts of customers", "module.customers.memory", "tenants_active", "decide/quota.py"),
        Row("memory: view of its cell, against gateways", "cells.gateway_memory", "gateways",
            "cells/gateway.py"),
        Row("memory: a flat view as small as a cell", "membership.flat.memory", "cell",
            "membership/member_table.py", counted=False),
        Row("CPU: beat, looks at its services' backends", "module.services.beat", "carried",
            "decide/services.py"),
        Row("CPU: changes of its services' lists", "module.services.change", "carried", "decide/services.py",
            by="list_changes_gateway", unit="share of a core", limit="share"),
        Row("CPU: view of its cell, against gateways", "cells.gateway_cpu", "gateways", "cells/gateway.py"),
        Row("CPU: a flat view as small as a cell", "membership.flat.cpu", "cell", "membership/member.py",
            counted=False),
        Row("bytes: view of its cell, against gateways", "cells.gateway_bytes", "gateways",
            "cells/gateway.py"),
        Row("bytes: a flat view as small as a cell", "membership.flat.bytes", "cell",
            "membership/gossip.py", counted=False),
        Row("bytes: asks to homes of customers", "module.asks.bytes", "requests_gateway", "decide/quota.py",
            HOMES),
        Row("added: a request that sees its service's backends", "module.services.arrival", "carried",
            "decide/services.py"),
        Row("added: the same where one broker has one service", "module.candidates.arrival",
            "backends_service", "decide/fleet.py"),
        Row("added: the same where it sees all that the gateway carries", "module.carried.arrival",
            "links_gateway", "decide/fleet.py"),
        Row("stall: a full list of its services, parsed, where no other comes", "module.carried_line.parse",
            "links_gateway", "", when="at the peak"),
        Row("stall: the same, taken in", "module.services.list", "carried", "decide/services.py",
            when="at the peak"),
        Row("stall: the first one, before it serves", "module.services.list_first", "carried",
            "decide/services.py", when="at the peak"),
        Row("CPU: changes of configuration", "distribution.gateway_cpu", "changes",
            "distribution/subscriber.py"),
        Row("bytes: changes of configuration", "distribution.gateway_bytes", "changes",
            "distribution/subscriber.py"),
        Row("CPU: the same against gateways", "distribution.gateway_cpu_by_gateways", "gateways",
            "distribution/subscriber.py", counted=False),
        Row("bytes: the same against gateways", "distribution.gateway_bytes_by_gateways", "gateways",
            "distribution/subscriber.py", counted=False),
        Row("CPU: changes of its services, the core alone", "module.subscribed.change", "routes_gateway",
            "distribution/subscriber.py", by="changes_gateway_s", unit="share of a core", limit="share",
            counted=False),
        Row("s until a gateway that starts has its services' configuration", "distribution.carried.start_s",
            "carried", "distribution/subscriber.py", when="at the peak"),
        Row("bytes of it", "distribution.carried.start_bytes", "carried", "distribution/subscriber.py",
            when="at the peak"),
        Row("memory: routes of its services", "module.subscribed.memory", "routes_gateway",
            "distribution/subscriber.py"),
    ),
    added_up=True,
)
COORDINATOR = Role(
    "A cell's coordinator or seed",
    "State: the members of the cell, which slots each may act on, the newest view. Each member asks anew for "
    "its part every span of a fifth of the grant; the coordinator tells each a new view.",
    (
        Row("bytes: coordinator of one flat view", "membership.flat.coordinator_bytes", "gateways",
            "membership/coordinating.py", CELLS),
        Row("bytes: coordinator of one cell", "membership.flat.coordinator_bytes", "cell",
            "cells/seeding.py"),
        Row("CPU: coordinator of one cell", "cells.coordinator_cpu", "cell", "cells/seeding.py"),
        Row("bytes: a rack is lost", "cells.coordinator_bytes_rack", "cell", "cells/seeding.py",
            when="at the peak"),
        Row("bytes: half of the cell restarts", "cells.coordinator_bytes_restart", "cell", "cells/seeding.py",
            when="at the peak"),
    ),
)
MACHINE = Role(
    "A control machine, one of 19",
    "State: the directory of cells, the cells that it coordinates, the log of configuration changes with a "
    "snapshot. The arithmetic above gives some 16 cells and 379 gateways to each.",
    (
        Row("bytes: cells that it coordinates", "cells.control_bytes", "cells", "cells/controller.py"),
        Row("CPU: the same", "cells.control_cpu", "cells", "cells/controller.py"),
        Row("memory: the same", "cells.control_memory", "cells", "cells/controller.py"),
        Row("memory: the directory", "module.directory.memory", "gateways", "cells/directory.py"),
        Row("CPU: the leader's looks at the directory, the core alone", "module.directory.looks", "gateways",
            "cells/leading.py"),
        Row("CPU s: all gateways ask where they are to be, the core alone", "module.directory.locate",
            "gateways", "cells/directory.py", by="gateways", unit="s", when="at the peak"),
        Row("CPU: seeds' reports of all cells, the core alone", "module.directory.report",
            "gateways", "cells/directory.py", by="reports_s", unit="share of a core"),
        Row("bytes: a zone is lost", "cells.control_bytes_zone", "cells", "cells/controller.py",
            when="at the peak"),
        Row("bytes: changes handed down", "distribution.control_bytes", "changes", "distribution/serving.py"),
        Row("CPU: changes handed down", "distribution.control_cpu", "changes", "distribution/serving.py"),
        Row("CPU: the same against its gateways", "distribution.control_cpu_by_gateways", "gateways_control",
            "distribution/serving.py"),
        Row("bytes: the same against its gateways", "distribution.control_bytes_by_gateways",
            "gateways_control", "distribution/serving.py"),
        Row("CPU: a poll a second of each of its gateways, the core alone", "module.routes.poll", "routes",
            "distribution/serving.py", by="gateways_control", unit="share of a core"),
        Row("CPU: changes committed, the core alone", "module.routes.change", "routes",
            "distribution/log.py", by="changes_s", unit="share of a core"),
        Row("memory: log and snapshot", "module.routes.memory", "routes", "distribution/log.py"),
        Row("s until a change is in force everywhere", "distribution.change_s", "gateways",
            "distribution/serving.py"),
        Row("s until all of its gateways that restart at once have theirs", "distribution.restarted.s",
            "gateways_control", "distribution/serving.py", when="at the peak"),
        Row("s until a replica that begins with nothing holds all", "distribution.recovered.s", "services",
            "distribution/replica.py", when="at the peak"),
        Row("s for a burst of 100 changes", "distribution.burst_s", "gateways", "distribution/serving.py",
            when="at the peak"),
    ),
)
REGION = Role(
    "A region",
    "State: 1,800 gateways, 14,750 backends, 75 cells. Regions lose each other for minutes: what a region "
    "needs must be within it. Nothing in the program knows regions; the choice of backends knows zones.",
    (
        Row("bytes between regions", "region.bytes", "regions", "regions/"),
        Row("s until all hold the same after two minutes apart", "cells.heal_s", "gateways",
            "cells/controller.py", when="at the peak"),
        Row("bytes of the heal, the busiest process", "cells.heal_bytes", "gateways", "cells/controller.py",
            when="at the peak"),
    ),
)
DISCOVERY = Role(
    "What gateways ask of discovery",
    "Each gateway keeps one watch, and is told all changes of all backends: the platform's watch has no "
    "selection by service. A start or a broken watch brings a whole list.",
    (
        Row("bytes a second while all gateways start at once", "module.line.bytes", "backends",
            "lists/turns.py", RELAY, by="calls_start", when="at the peak", unit="bytes/s"),
        Row("the same by service", "module.carried_line.bytes", "links_gateway", "",
            by="calls_start", when="at the peak", unit="bytes/s"),
    ),
)
COUNTER = Role(
    "A shared counter",
    "Off unless `counter.servers` is set. Each gateway sends a heartbeat to every partition and reads "
    "all others' with it: the sums above are its load, and grow with the square of the fleet.",
    (
        Row("counter: CPU of a gateway for its heartbeats", "module.counter_heartbeats.cpu", "gateways",
            "counter/lease_manager.py", COUNTERS),
        Row("counter: bytes of a gateway for its heartbeats", "module.counter_heartbeats.bytes", "gateways",
            "counter/lease_manager.py", COUNTERS),
    ),
)
TOOLS = Role(
    "The operator's tools",
    "`trackspread fleet` asks each door that it is given, one by one; `trackspread plans` writes a file that "
    "has to be brought to every gateway.",
    (
        Row("bytes of all answers of the whole fleet", "module.fleet_view.bytes", "gateways",
            "commands/fleet.py", "one question to the control tier that answers for all cells"),
        Row("CPU s to read and compare them", "module.fleet_view.cpu", "gateways", "commands/fleet.py",
            "one question to the control tier that answers for all cells"),
        Row("s to ask the whole fleet, one by one", "tools.fleet_s", "gateways", "commands/fleet.py",
            "one question to the control tier that answers for all cells"),
        Row("s to bring a plan book to every gateway", "tools.plans_s", "gateways",
            "distribution/serving.py"),
    ),
)
ROLES = (GATEWAY, CARRYING, COORDINATOR, MACHINE, REGION, DISCOVERY, COUNTER, TOOLS)

BOUNDS = (
    Bound("places that get a slot of what all share", "slots", "gateways", "membership/slots.py", CELLS),
    Bound("members that `fleet.most` may be set to", "fleet_most", "gateways", "config/operator.py", CELLS),
    Bound("fields that a counter's name may hold, one a gateway", "counter_most", "gateways",
          "counter/commands.py", COUNTERS),
    Bound("backends that a gateway can hold a connection to", "links_most", "backends", "backends/pools.py",
          SUBSETS),
)
# What all control together may take of one gateway: the rows whose names begin so are added up.
TOTALS: dict[str, tuple[str, str]] = {
    "memory": ("memory", "bytes"), "CPU": ("share", "share of a core"), "bytes": ("budget", "bytes/s"),
}
