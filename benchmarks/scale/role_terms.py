"""Defines the parts of the page's tables: rows of costs, bounds in the program, and roles."""

from __future__ import annotations

import msgspec


class Row(msgspec.Struct, frozen=True):
    """Holds one cost of a role: `slope` at the size that `at` names, times the figure that `by` names.

    `mechanism` is the path below trackspread/ of the module that implements it; without such a module, the
    row shows **missing**. `slope` is empty if no run measures it.
    """

    what: str
    slope: str
    at: str
    mechanism: str
    mend: str = ""
    by: str = ""
    when: str = "at rest"
    # Whether it counts in the role's totals; False if another row holds the same cost.
    counted: bool = True
    # The unit of the product and the name of the figure that limits it, if `by` is set.
    unit: str = ""
    limit: str = ""


class Bound(msgspec.Struct, frozen=True):
    """Holds a bound in the program: `most` names the bound, `at` names the figure that it limits."""

    what: str
    most: str
    at: str
    mechanism: str
    mend: str


class Role(msgspec.Struct, frozen=True):
    """Holds a table of the page; `state` describes the state and the messages of the role."""

    title: str
    state: str
    rows: tuple[Row, ...]
    # Whether its rows are parts of one gateway's budget, and so are summed.
    added_up: bool = False


SERVICE_SUBSETS = "services in the operator's file, each gateway carries some, with a broker for each"
RELAY_TIER = "a relay tier on control machines that holds one watch and hands lists on by service"
CELLS = "cells of some 24 gateways within a zone; control machines coordinate them and keep their directory"
NUMBERED_CHANGES = (
    "numbered changes handed down by control machines, to each gateway those of the services that it carries"
)
QUOTA_OWNERS = (
    "homes of customers within the cell or region, with grants for a span in place of an ask a request"
)
COUNTERS_BY_CELL = "a counter for each cell, or grants by cell from control machines"
BOUNDED_SOLVING = "levels of the seven cases found by halving, and a bound on what is solved in one beat"
