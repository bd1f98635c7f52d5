"""What the page's tables are made of: rows of costs, bounds in the program, and roles."""

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
NUMBERED = (
    "numbered changes handed down by control machines, to each gateway those of the services that it carries"
)
HOMES = "homes of customers within the cell or region, with grants for a span in place of an ask a request"
COUNTERS = "a counter for each cell, or grants by cell from control machines"
BUSY = "levels of the seven cases found by halving, and a bound on what is solved in one beat"
