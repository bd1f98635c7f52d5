"""Generates the parts of docs/CAPACITY.md as Markdown, from the arithmetic, the rows and the slopes."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from .demand import ASKED, SECTIONS, figures
from .estimates import Break, EstimatedRow, State, Total, breaks, estimate_row, mends, totals
from .faults import Report
from .latency import LIMIT, Latency
from .mechanism_status import MechanismStatus, mechanism_status
from .page_arithmetic import EvaluatedLine, evaluate_lines, figure
from .role_terms import Role
from .roles import BOUNDS, ROLES
from .slopes import Measurement, Run, Slopes

NAMED: dict[str, str] = {
    "cell": "gateways in a cell",
    "links_gateway": "backends of its services",
    "tenants_active": "customers active",
    "tenants_ten": "commitments",
    "backends_service": "backends of a service",
    "routes_gateway": "routes of its services",
    "gateways_control": "gateways of a control machine",
    "requests_gateway": "requests/s at a gateway",
    "changes": "changes a day",
}


class Page:
    """Generates all parts by name; `here` returns the status of a mechanism."""

    def __init__(
        self,
        slopes: Slopes,
        latency: Latency | None = None,
        report: Report | None = None,
        here: Callable[[str], MechanismStatus] = mechanism_status,
    ) -> None:
        self._slopes, self._latency, self._report = slopes, latency, report
        self.evaluated = evaluate_lines([line for _, lines in SECTIONS for line in lines], figures())
        self.figures = figures() | {each.line.name: each.value for each in self.evaluated}
        self.estimated = {
            role.title: [estimate_row(row, slopes, self.figures, here) for row in role.rows] for role in ROLES
        }
        self._runs = _runs(slopes, latency, report)

    def parts(self) -> dict[str, str]:
        """Returns the Markdown of each part by the name of its marker."""
        return {
            "size": self._size(),
            "load": self._load(),
            "roles": self._roles(),
            "faults": self._faults(),
            "latency": self._latency_part(),
            "breaks": self._breaks(),
            "slopes": self._measured(),
            "runs": self._run_table(),
        }

    def breaks(self) -> list[Break]:
        """Returns what breaks below the required size, in order."""
        return breaks([each for rows in self.estimated.values() for each in rows], BOUNDS, self.figures)

    def _size(self) -> str:
        rows = [(name, figure(value)) for name, value in ASKED.items() if name != "day"]
        return _table(("what", "asked for"), rows)

    def _load(self) -> str:
        by_name = {each.line.name: each for each in self.evaluated}
        sections = []
        for title, lines in SECTIONS:
            rows = [_sum_cells(by_name[line.name]) for line in lines]
            sections.append(f"### {title}\n\n" + _table(("what", "sum", "is", "note"), rows))
        return "\n\n".join(sections)

    def _roles(self) -> str:
        return "\n\n".join(self._role(role) for role in ROLES)

    def _role(self, role: Role) -> str:
        estimated = self.estimated[role.title]
        head = ("what", "when", "at", "figure", "limit", "room", "breaks at", "mechanism", "run")
        rows = [self._cells(each) for each in estimated]
        rows += [_total_cells(total) for total in totals(role, estimated, self.figures)]
        return f"### {role.title}\n\n{role.state}\n\n{_table(head, rows)}"

    def _cells(self, each: EstimatedRow) -> tuple[str, ...]:
        row, found = each.row, each.found
        unit = row.unit or (found.unit if found is not None else "")
        value = _no_figure(each) if each.value is None else f"{amount(each.value, unit)} ({each.state.value})"
        return (
            row.what,
            row.when,
            f"{figure(each.size)} {NAMED.get(row.at, row.at)}",
            value,
            amount(each.limit, unit) if each.limit is not None else "-",
            _room(each.room),
            _size_text(each.breaks_at, each.at_the_latest),
            _mechanism(each),
            self._run(found),
        )

    def _run(self, found: Measurement | None) -> str:
        return f"R{1 + self._runs.index(found.run)}" if found is not None else "-"

    def _faults(self) -> str:
        result = self._report
        if result is None:
            return "**not measured**"
        rows = [
            (
                each.fault,
                f"{each.struck} of {each.members}",
                "not settled" if each.settle_s is None else f"{figure(each.settle_s)} s",
                amount(each.peak_bytes_s, "bytes/s"),
                str(each.false_dead),
            )
            for each in result.failures
        ]
        void = " **Void**: the machine lagged." if result.void else ""
        head = ("fault", "struck", "all hold the same again", "busiest process", "live ones called dead")
        return (
            _table(head, rows) + f"\n\nMechanism: {result.mechanism}. Run "
            f"R{1 + self._runs.index(result.run)}.{void}"
        )

    def _latency_part(self) -> str:
        if self._latency is None:
            return "**not measured**"
        result = self._latency
        rows = [(name, *(amount(value, "s") for value in values)) for name, values in result.rows()]
        verdict = (
            "**void**: the machine lagged"
            if result.void
            else ("within the limit" if result.added_p99 <= LIMIT else "**over the limit**")
        )
        return (
            _table(("way", "p50", "p99"), rows) + f"\n\nLimit 4.3 ms for 99 in 100: {verdict}. "
            f"{result.text()} Run R{1 + self._runs.index(result.run)}."
        )

    def _breaks(self) -> str:
        rows = [
            (
                str(number),
                each.what,
                f"{_size_text(each.breaks_at, each.at_the_latest)} of "
                f"{figure(each.size)} {NAMED.get(each.at, each.at)}",
                f"{each.share:.3f}",
                f"`{each.mechanism}`",
            )
            for number, each in enumerate(self.breaks(), 1)
        ]
        ranks = {each: str(number) for number, each in enumerate(self.breaks(), 1)}
        mend_rows = [
            (str(number), mend or "-", f"{found[0].share:.3f}", ", ".join(ranks[each] for each in found))
            for number, (mend, found) in enumerate(mends(self.breaks()), 1)
        ]
        return (
            _table(("", "what", "breaks at", "share of the size", "today"), rows)
            + "\n\n"
            + _table(("", "mended by", "first share", "of the list above"), mend_rows)
        )

    def _measured(self) -> str:
        rows = [
            (
                each.name,
                each.factor,
                f"{figure(each.points[0][0])} to {figure(each.points[-1][0])}",
                f"{each.shape.value}, {_coefficients(each)}",
                f"{figure(each.holdout.size)}",
                amount(each.holdout.predicted, each.unit),
                amount(each.holdout.measured, each.unit),
                _holdout_error(each),
                each.note or "-",
                self._run(each),
            )
            for each in self._slopes.measurements
        ]
        head = (
            "slope",
            "factor",
            "fitted on",
            "shape",
            "hold-out at",
            "predicted",
            "measured",
            "off by",
            "note",
            "run",
        )
        return _table(head, rows) if rows else "**not measured**"

    def _run_table(self) -> str:
        rows = [
            (f"R{number}", run.date, f"`{run.command}`", run.commit)
            for number, run in enumerate(self._runs, 1)
        ]
        return _table(("run", "date", "command", "commit"), rows) if rows else "none"


def amount(value: float, unit: str) -> str:
    """Formats a value with its unit for readers."""
    kind, per, rest = unit.partition("/s")
    if kind.startswith("bytes"):
        for least, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
            if abs(value) >= least:
                return f"{figure(value / least)} {name}{per}{rest}"
    if unit == "s":
        for least, name in ((1.0, "s"), (1e-3, "ms"), (1e-6, "us")):
            if abs(value) >= least:
                return f"{figure(value / least)} {name}"
    if unit == "share of a core":
        return f"{figure(100 * value)}% of a core"
    return f"{figure(value)} {unit}"


def _runs(slopes: Slopes, latency: Latency | None, report: Report | None) -> list[Run]:
    runs = [each.run for each in slopes.measurements]
    runs += [result.run for result in (latency, report) if result is not None]
    return sorted(set(runs), key=lambda run: (run.date, run.command, run.commit))


def _sum_cells(evaluated: EvaluatedLine) -> tuple[str, ...]:
    line = evaluated.line
    return line.what, evaluated.shown, f"{figure(evaluated.value)} {line.unit}".strip(), line.note or "-"


def _total_cells(total: Total) -> tuple[str, ...]:
    limit = amount(total.limit, total.unit)
    if total.value is None:
        return f"**{total.kind}, together**", "", "", State.NOT_MEASURED.value, limit, "-", "-", "-", "-"
    room = total.limit / total.value if total.value else math.inf
    value = amount(total.value, total.unit)
    if total.missing:
        value = f"at least {value}: {total.missing} without a figure"
    return f"**{total.kind}, together**", "", "", value, limit, _room(room), "-", "-", "-"


def _no_figure(each: EstimatedRow) -> str:
    if each.state is State.WRONG and each.found is not None:
        return f"{each.state.value}: off by {each.found.holdout.error:.0%}"
    return each.state.value


def _mechanism(each: EstimatedRow) -> str:
    if each.mechanism_status is MechanismStatus.MISSING:
        return str(each.mechanism_status.value)
    return ", ".join(filter(None, (f"`{each.row.mechanism}`", each.mechanism_status.value)))


def _room(room: float | None) -> str:
    if room is None:
        return "-"
    if math.isinf(room):
        return "no end"
    return f"{figure(room)} times" if room >= 1.0 else f"**{figure(room)} times**"


def _size_text(size: float | None, at_the_latest: bool = False) -> str:
    if size is None:
        return "-"
    text = "never, by this fit" if math.isinf(size) else figure(math.floor(size) if size >= 1.0 else 0.0)
    return f"{text} or fewer" if at_the_latest else text


def _coefficients(each: Measurement) -> str:
    base, slope = each.coefficients
    return f"{base:.3g} + {slope:.3g} f(size)"


def _holdout_error(each: Measurement) -> str:
    if each.void:
        return "**void**"
    off = f"{each.holdout.error:.0%}"
    return f"**{off}: fit wrong**" if each.holdout.wrong else off


def _table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    heads = tuple(head)
    lines = ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    lines += ["| " + " | ".join(cell or " " for cell in row) + " |" for row in rows]
    return "\n".join(lines)
