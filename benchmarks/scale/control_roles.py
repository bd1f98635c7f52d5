"""Lists the costs of control machines, regions, discovery, counters and tools."""

from __future__ import annotations

from .role_terms import CELLS, COUNTERS_BY_CELL, RELAY_TIER, Role, Row

COORDINATOR = Role(
    "A cell's coordinator or seed",
    "State: the members of the cell, which slots each may act on, the newest view. Each member asks anew for "
    "its part every span of a fifth of the grant; the coordinator tells each a new view.",
    (
        Row(
            "bytes: coordinator of one flat view",
            "membership.flat.coordinator_bytes",
            "gateways",
            "membership/coordinator.py",
            CELLS,
        ),
        Row(
            "bytes: coordinator of one cell",
            "membership.flat.coordinator_bytes",
            "cell",
            "cells/seeded_cell.py",
        ),
        Row("CPU: coordinator of one cell", "cells.coordinator_cpu", "cell", "cells/seeded_cell.py"),
        Row(
            "bytes: a rack is lost",
            "cells.coordinator_bytes_rack",
            "cell",
            "cells/seeded_cell.py",
            when="at the peak",
        ),
        Row(
            "bytes: half of the cell restarts",
            "cells.coordinator_bytes_restart",
            "cell",
            "cells/seeded_cell.py",
            when="at the peak",
        ),
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
        Row(
            "CPU: the leader's looks at the directory, the core alone",
            "module.directory.looks",
            "gateways",
            "cells/directory_leader.py",
        ),
        Row(
            "CPU s: all gateways ask where they are to be, the core alone",
            "module.directory.locate",
            "gateways",
            "cells/directory.py",
            by="gateways",
            unit="s",
            when="at the peak",
        ),
        Row(
            "CPU: seeds' reports of all cells, the core alone",
            "module.directory.report",
            "gateways",
            "cells/directory.py",
            by="reports_s",
            unit="share of a core",
        ),
        Row(
            "bytes: a zone is lost",
            "cells.control_bytes_zone",
            "cells",
            "cells/controller.py",
            when="at the peak",
        ),
        Row(
            "bytes: changes handed down",
            "distribution.control_bytes",
            "changes",
            "distribution/poll_server.py",
        ),
        Row("CPU: changes handed down", "distribution.control_cpu", "changes", "distribution/poll_server.py"),
        Row(
            "CPU: the same against its gateways",
            "distribution.control_cpu_by_gateways",
            "gateways_control",
            "distribution/poll_server.py",
        ),
        Row(
            "bytes: the same against its gateways",
            "distribution.control_bytes_by_gateways",
            "gateways_control",
            "distribution/poll_server.py",
        ),
        Row(
            "CPU: a poll a second of each of its gateways, the core alone",
            "module.routes.poll",
            "routes",
            "distribution/poll_server.py",
            by="gateways_control",
            unit="share of a core",
        ),
        Row(
            "CPU: changes committed, the core alone",
            "module.routes.change",
            "routes",
            "distribution/log.py",
            by="changes_s",
            unit="share of a core",
        ),
        Row("memory: log and snapshot", "module.routes.memory", "routes", "distribution/log.py"),
        Row(
            "s until a change is in force everywhere",
            "distribution.change_s",
            "gateways",
            "distribution/poll_server.py",
        ),
        Row(
            "s until all of its gateways that restart at once have theirs",
            "distribution.restarted.s",
            "gateways_control",
            "distribution/poll_server.py",
            when="at the peak",
        ),
        Row(
            "s until a replica that begins with nothing holds all",
            "distribution.recovered.s",
            "services",
            "distribution/replica.py",
            when="at the peak",
        ),
        Row(
            "s for a burst of 100 changes",
            "distribution.burst_s",
            "gateways",
            "distribution/poll_server.py",
            when="at the peak",
        ),
    ),
)
REGION = Role(
    "A region",
    "State: 1,800 gateways, 14,750 backends, 75 cells. Regions lose each other for minutes: what a region "
    "needs must be within it. Nothing in the program knows regions; the choice of backends knows zones.",
    (
        Row("bytes between regions", "region.bytes", "regions", "regions/"),
        Row(
            "s until all hold the same after two minutes apart",
            "cells.heal_s",
            "gateways",
            "cells/controller.py",
            when="at the peak",
        ),
        Row(
            "bytes of the heal, the busiest process",
            "cells.heal_bytes",
            "gateways",
            "cells/controller.py",
            when="at the peak",
        ),
    ),
)
DISCOVERY = Role(
    "What gateways ask of discovery",
    "Each gateway keeps one watch, and is told all changes of all backends: the platform's watch has no "
    "selection by service. A start or a broken watch brings a whole list.",
    (
        Row(
            "bytes a second while all gateways start at once",
            "module.line.bytes",
            "backends",
            "lists/poll_timing.py",
            RELAY_TIER,
            by="calls_start",
            when="at the peak",
            unit="bytes/s",
        ),
        Row(
            "the same by service",
            "module.carried_line.bytes",
            "links_gateway",
            "",
            by="calls_start",
            when="at the peak",
            unit="bytes/s",
        ),
    ),
)
COUNTER = Role(
    "A shared counter",
    "Off unless `counter.servers` is set. Each gateway sends a heartbeat to every partition and reads "
    "all others' with it: the sums above are its load, and grow with the square of the fleet.",
    (
        Row(
            "counter: CPU of a gateway for its heartbeats",
            "module.counter_heartbeats.cpu",
            "gateways",
            "counter/lease_manager.py",
            COUNTERS_BY_CELL,
        ),
        Row(
            "counter: bytes of a gateway for its heartbeats",
            "module.counter_heartbeats.bytes",
            "gateways",
            "counter/lease_manager.py",
            COUNTERS_BY_CELL,
        ),
    ),
)
TOOLS = Role(
    "The operator's tools",
    "`trackspread fleet` asks each door that it is given, one by one; `trackspread plans` writes a file that "
    "has to be brought to every gateway.",
    (
        Row(
            "bytes of all answers of the whole fleet",
            "module.fleet_view.bytes",
            "gateways",
            "commands/fleet.py",
            "one question to the control tier that answers for all cells",
        ),
        Row(
            "CPU s to read and compare them",
            "module.fleet_view.cpu",
            "gateways",
            "commands/fleet.py",
            "one question to the control tier that answers for all cells",
        ),
        Row(
            "s to ask the whole fleet, one by one",
            "tools.fleet_s",
            "gateways",
            "commands/fleet.py",
            "one question to the control tier that answers for all cells",
        ),
        Row(
            "s to bring a plan book to every gateway",
            "tools.plans_s",
            "gateways",
            "distribution/poll_server.py",
        ),
    ),
)
