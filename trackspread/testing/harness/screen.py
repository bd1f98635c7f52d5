"""A plain text screen of a fleet that runs, for a terminal or a pipe. Pure: a snapshot in, lines out."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

BARS = " ▁▂▃▄▅▆▇█"  # a value's part of the greatest, in eighths
WIDTH = 40  # cells of the line of the recent past


@dataclass(frozen=True, slots=True)
class GatewayRow:
    name: str
    up: bool
    counts: Counter[str]


@dataclass(frozen=True, slots=True)
class NodeRow:
    name: str
    state: str  # "ready", "cold", "draining", "silent" or "down"
    busy: float  # part of its cores
    held: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that is shown; `elapsed` and `seconds` in s."""

    elapsed: float
    seconds: float
    gateways: Sequence[GatewayRow]
    nodes: Sequence[NodeRow]
    total: Counter[str]
    refusals: Counter[str]
    past: Sequence[Counter[str]]
    happened: Sequence[str] = field(default=())


def bars(values: Iterable[float], most: float) -> str:
    """One character a value, its height as a part of `most`."""
    top = len(BARS) - 1
    return "".join(BARS[min(top, round(top * value / most))] if most > 0 else BARS[0] for value in values)


def _gateway(row: GatewayRow) -> str:
    c = row.counts
    state = "up" if row.up else "DOWN"
    return (
        f"  {row.name:<8}{state:<10}{c['served']:>7} served {c['refused']:>7} refused "
        f"{c['failed']:>5} failed {c['unanswered']:>4} unanswered"
    )


def _node(row: NodeRow) -> str:
    return f"{row.name:<7}{row.state:<9}{bars([row.busy], 1.0)} {row.held:>2}"


def draw(shot: Snapshot, keys: bool) -> list[str]:
    """Lines of at most 100 characters; `keys`: say which keys do what."""
    past = list(shot.past)[-WIDTH:]
    most = max((c["asked"] for c in past), default=0)
    now = past[-1] if past else Counter[str]()
    lines = [
        f"trackspread try: {shot.elapsed:.0f} of {shot.seconds:.0f} s"
        + ("   keys: g kill a gateway, n kill a node, q quit" if keys else ""),
        "",
        "gateways",
    ]
    lines += [_gateway(row) for row in shot.gateways]
    lines += ["", "rating nodes (busy, requests held)"]
    cells = [_node(row) for row in shot.nodes]
    lines += ["  " + "   ".join(f"{cell:<21}" for cell in cells[i : i + 3]) for i in range(0, len(cells), 3)]
    lines += ["", f"a second        now  the last {len(past)} s, the highest bar is {most}"]
    lines += [
        f"  {kind:<11}{now[kind]:>6}  {bars([c[kind] for c in past], most)}"
        for kind in ("asked", "served", "refused", "failed")
    ]
    lines += ["", "why refused"]
    lines += [f"  {count:>6}  {why}" for why, count in shot.refusals.most_common()] or ["  nothing yet"]
    lines += ["", *(f"  {text}" for text in shot.happened[-4:])]
    return lines


def one_line(shot: Snapshot) -> str:
    """The same for a pipe, where nothing can be drawn over."""
    now = shot.past[-1] if shot.past else Counter[str]()
    up = sum(row.up for row in shot.gateways)
    nodes = sum(row.state in ("ready", "cold") for row in shot.nodes)
    return (
        f"{shot.elapsed:5.1f} s  {up}/{len(shot.gateways)} gateways, {nodes}/{len(shot.nodes)} nodes  "
        f"asked {now['asked']:>4}  served {now['served']:>4}  refused {now['refused']:>4}  "
        f"failed {now['failed']:>3}  unanswered {now['unanswered']:>3}"
    )
