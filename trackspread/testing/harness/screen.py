"""Renders a snapshot of a running fleet as lines of plain text, for a terminal or a pipe."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

BARS = " ▁▂▃▄▅▆▇█"  # eighths of the largest value
MAX_BARS = 40  # number of recent seconds that are shown
NODES_PER_LINE = 3
MAX_EVENTS = 4  # number of latest events that are shown
KINDS = ("asked", "served", "refused", "failed")


@dataclass(frozen=True, slots=True)
class GatewayRow:
    """Holds one gateway and its `counts` by kind."""

    name: str
    up: bool
    counts: Counter[str]


@dataclass(frozen=True, slots=True)
class NodeRow:
    """Holds one rating node; `busy` is the share of its cores that work."""

    name: str
    state: str  # "ready", "cold", "draining", "silent" or "DOWN"
    busy: float
    in_flight: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Holds all displayed values; `by_second` has counts by kind of recent seconds, the oldest first."""

    elapsed_s: float
    duration_s: float
    gateways: Sequence[GatewayRow]
    nodes: Sequence[NodeRow]
    total: Counter[str]
    rejections: Counter[str]
    by_second: Sequence[Counter[str]]
    events: Sequence[str] = field(default=())


def bars(values: Iterable[float], largest: float) -> str:
    """Returns one character for each value, whose height is the value as a share of `largest`."""
    top = len(BARS) - 1
    return "".join(
        BARS[min(top, round(top * value / largest))] if largest > 0 else BARS[0] for value in values
    )


def draw(snapshot: Snapshot, show_keys: bool) -> list[str]:
    """Returns lines of at most 100 characters, with a list of the keys if `show_keys` is set."""
    return [
        *_header(snapshot, show_keys),
        "gateways",
        *(_gateway(row) for row in snapshot.gateways),
        "",
        "rating nodes (busy, requests held)",
        *_nodes(snapshot.nodes),
        "",
        *_recent(snapshot.by_second),
        "",
        "why refused",
        *_rejections(snapshot.rejections),
        "",
        *(f"  {text}" for text in snapshot.events[-MAX_EVENTS:]),
    ]


def _header(snapshot: Snapshot, show_keys: bool) -> list[str]:
    keys = "   keys: g kill a gateway, n kill a node, q quit" if show_keys else ""
    return [f"trackspread try: {snapshot.elapsed_s:.0f} of {snapshot.duration_s:.0f} s{keys}", ""]


def _gateway(row: GatewayRow) -> str:
    counts = row.counts
    state = "up" if row.up else "DOWN"
    return (
        f"  {row.name:<8}{state:<10}{counts['served']:>7} served {counts['refused']:>7} refused "
        f"{counts['failed']:>5} failed {counts['unanswered']:>4} unanswered"
    )


def _nodes(rows: Sequence[NodeRow]) -> list[str]:
    cells = [f"{row.name:<7}{row.state:<9}{bars([row.busy], 1.0)} {row.in_flight:>2}" for row in rows]
    lines = (cells[at : at + NODES_PER_LINE] for at in range(0, len(cells), NODES_PER_LINE))
    return ["  " + "   ".join(f"{cell:<21}" for cell in line) for line in lines]


def _recent(by_second: Sequence[Counter[str]]) -> list[str]:
    recent = list(by_second)[-MAX_BARS:]
    largest = max((counts["asked"] for counts in recent), default=0)
    now = recent[-1] if recent else Counter[str]()
    return [
        f"a second        now  the last {len(recent)} s, the highest bar is {largest}",
        *(
            f"  {kind:<11}{now[kind]:>6}  {bars([counts[kind] for counts in recent], largest)}"
            for kind in KINDS
        ),
    ]


def _rejections(rejections: Counter[str]) -> list[str]:
    return [f"  {count:>6}  {reason}" for reason, count in rejections.most_common()] or ["  nothing yet"]


def one_line(snapshot: Snapshot) -> str:
    """Returns a summary of one line for a pipe, where lines cannot be overwritten."""
    now = snapshot.by_second[-1] if snapshot.by_second else Counter[str]()
    up = sum(row.up for row in snapshot.gateways)
    nodes = sum(row.state in ("ready", "cold") for row in snapshot.nodes)
    return (
        f"{snapshot.elapsed_s:5.1f} s  {up}/{len(snapshot.gateways)} gateways, "
        f"{nodes}/{len(snapshot.nodes)} nodes  "
        f"asked {now['asked']:>4}  served {now['served']:>4}  refused {now['refused']:>4}  "
        f"failed {now['failed']:>3}  unanswered {now['unanswered']:>3}"
    )
