"""Tests that capacity page, file of slopes and command agree, and that the arithmetic is right."""

from __future__ import annotations

import math
import re
from pathlib import Path

import pytest

from benchmarks import capacity
from benchmarks.scale import demand, estimates, faults, latency, role_terms, roles, slopes
from benchmarks.scale.extrapolation import unrefuted
from benchmarks.scale.mechanism_status import PROGRAM, MechanismStatus, mechanism_status, started
from benchmarks.scale.page import Page, amount
from benchmarks.scale.page_arithmetic import EvaluatedLine, ExpressionError, Line, evaluate_lines, figure
from benchmarks.scale.slopes import Measurement, Run, Slopes, measurement

RUN = Run(date="2026-12-02T05:10Z", command="python -m benchmarks.scale", commit="abc1234")
ROW = role_terms.Row("memory: all", "cost", "gateways", "decide/load_balancer.py", "a mend")
FIGURES = {"gateways": 7200.0, "calls": 10.0, "memory": 64e6, "share": 0.018, "budget": 5000.0}
LINES = [line for _, lines in demand.SECTIONS for line in lines]


def slope(
    base: float = 0.0,
    per: float = 2.0,
    held: float = 1600.0,
    limit: float | None = 5000.0,
    void: bool = False,
) -> Measurement:
    """Returns the measurement of a line through sizes 100 to 400 with a hold-out at 800."""
    points = [(size, base + per * size) for size in (100.0, 200.0, 300.0, 400.0)]
    return measurement("cost", "gateways", "bytes", points, (800.0, held), RUN, limit=limit, void=void)


def reckoned(
    found: Measurement | None, row: role_terms.Row = ROW, size: float = 7200.0
) -> estimates.EstimatedRow:
    """Returns the row computed at a size, from one measurement or from none."""
    kept = Slopes((found,) if found is not None else ())
    return estimates.estimate_row(
        row, kept, FIGURES | {"gateways": size}, lambda mechanism: MechanismStatus.STARTED
    )


def test_page_equals_the_output_of_the_command() -> None:
    text = capacity.PAGE.read_text()
    assert capacity.written(text, capacity.generated()) == text, "run `python -m benchmarks.capacity --write`"


def test_page_with_missing_or_repeated_part_is_rejected() -> None:
    text, parts = capacity.PAGE.read_text(), capacity.generated()
    for broken in (text.replace("<!-- capacity: breaks -->", ""), text + text):
        with pytest.raises(capacity.PageError, match="markers"):
            capacity.written(broken, parts)


@pytest.fixture
def copied(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Makes the command work on a copy of the page and returns the copy's path."""
    page = tmp_path / "CAPACITY.md"
    page.write_text(capacity.PAGE.read_text())
    monkeypatch.setattr(capacity, "PAGE", page)
    return page


def command(monkeypatch: pytest.MonkeyPatch, *words: str) -> int:
    """Runs the command with these arguments and returns its exit status."""
    monkeypatch.setattr("sys.argv", ["capacity", *words])
    return capacity.main()


def test_manually_changed_figure_fails_the_check(
    copied: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command(monkeypatch, "--check") == 0
    copied.write_text(copied.read_text().replace("480,000 / 7,200", "480,000 / 7,201"))
    assert command(monkeypatch, "--check") == 1
    assert "--write" in capsys.readouterr().err
    assert command(monkeypatch, "--write") == 0
    assert command(monkeypatch, "--check") == 0


def test_invalid_file_of_slopes_gives_one_line(
    copied: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def raise_error() -> dict[str, str]:
        raise slopes.SlopesError(Path("slopes.json"), "measurements[0].unit", "text is wanted")

    monkeypatch.setattr(capacity, "generated", raise_error)
    assert command(monkeypatch, "--check") == 2
    assert capsys.readouterr().err == "slopes.json: measurements[0].unit: text is wanted\n"


def test_page_has_every_measurement_of_the_file() -> None:
    text = capacity.PAGE.read_text()
    for found in slopes.load().measurements:
        assert f"| {found.name} |" in text


@pytest.mark.parametrize(
    "worked", evaluate_lines(LINES, demand.figures()), ids=lambda worked: worked.line.name
)
def test_shown_sum_equals_the_shown_value(worked: EvaluatedLine) -> None:
    plain = re.sub(r"(?<=\d),(?=\d)", "", worked.shown).replace(" x ", " * ")
    value = eval(compile(plain, "sum", "eval"), {"__builtins__": {}, "min": min})
    assert value == pytest.approx(worked.value, rel=0.01)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("requests_gateway", 66.67),
        ("requests_region", 88.89),
        ("attempts", 528_000.0),
        ("backends_service", 28.1),
        ("mesh", 424_800_000.0),
        ("tenants_active", 8000.0),
        ("changes_s", 0.243),
        ("restarts_s", 0.2546),
        ("rack_gateways", 120.0),
        ("zone_cells", 25.0),
        ("cells", 300.0),
        ("gateways_control", 378.9),
        ("cores", 129.6),
    ],
)
def test_lines_equal_values_computed_by_hand(name: str, value: float) -> None:
    by_name = {each.line.name: each.value for each in evaluate_lines(LINES, demand.figures())}
    assert by_name[name] == pytest.approx(value, rel=0.001)


def test_connections_of_a_gateway_fit_its_descriptors() -> None:
    by_name = {each.line.name: each.value for each in evaluate_lines(LINES, demand.figures())}
    assert by_name["links_gateway"] <= by_name["links_most"]


@pytest.mark.parametrize("wrong", ["a ** 2", "b", "a if a else 0", "print(a)", "'a'"])
def test_sum_with_unsupported_syntax_is_rejected(wrong: str) -> None:
    with pytest.raises(ExpressionError, match="must consist of numbers"):
        evaluate_lines([Line("x", "what", wrong, "")], {"a": 1.0})


def test_lines_need_unique_names() -> None:
    with pytest.raises(ExpressionError, match="must be a unique name"):
        evaluate_lines([Line("a", "what", "a + 1", "")], {"a": 1.0})


@pytest.mark.parametrize(
    ("value", "text"),
    [(480_000.0, "480,000"), (66.67, "66.7"), (4.0, "4"), (0.0255, "0.0255"), (0.0, "0"), (1e-7, "1.00e-07")],
)
def test_figures_are_formatted(value: float, text: str) -> None:
    assert figure(value) == text


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (5e6, "bytes", "5 MB"),
        (620.0, "bytes/s", "620 bytes/s"),
        (4.5e6, "bytes/s", "4.5 MB/s"),
        (0.0043, "s", "4.3 ms"),
        (0.25, "share of a core", "25% of a core"),
        (3.0, "cells", "3 cells"),
    ],
)
def test_amounts_are_formatted_with_units(value: float, unit: str, text: str) -> None:
    assert amount(value, unit) == text


def test_row_without_a_run_has_no_figure() -> None:
    result = reckoned(None)
    assert (result.state, result.value, result.room) == (estimates.State.NOT_MEASURED, None, None)


def test_row_of_a_void_run_has_no_figure() -> None:
    result = reckoned(slope(void=True))
    assert (result.state, result.value) == (estimates.State.VOID, None)


def test_row_with_wrong_fit_has_only_measured_figures() -> None:
    """A fit that missed its hold-out predicts no figure; the figure at the measured size remains."""
    assert reckoned(slope(held=3000.0)).state is estimates.State.WRONG
    there = reckoned(slope(held=3000.0), size=800.0)
    assert (there.state, there.value) == (estimates.State.MEASURED, 3000.0)


def test_row_with_fit_has_headroom_and_breaking_size() -> None:
    result = reckoned(slope())
    assert result.value == pytest.approx(14400.0)
    assert result.room == pytest.approx(5000.0 / 14400.0)
    assert result.breaks_at == pytest.approx(2500.0)


def test_far_extrapolation_uses_worst_unrefuted_fit() -> None:
    """Far beyond the measured sizes, the largest value of all fits that the points do not refute counts."""
    points = [(100.0, 101.0), (200.0, 103.0), (300.0, 102.0), (400.0, 104.0)]
    found = measurement("cost", "gateways", "bytes", points, (800.0, 107.0), RUN, limit=115.0)
    result = reckoned(found)
    assert result.state is estimates.State.FURTHER
    assert result.value == max(each.predict(7200.0) for each in unrefuted(found))
    assert result.breaks_at == min(each.breaks_at(115.0) for each in unrefuted(found))
    assert len(unrefuted(found)) > 1


def test_wrong_fit_breaks_between_sizes_around_the_limit() -> None:
    result = reckoned(slope(held=3000.0, limit=1900.0), size=800.0)
    assert result.breaks_at == pytest.approx(400 + 400 * (1900 - 800) / (3000 - 800))


def test_limit_exceeded_at_smallest_size_breaks_there() -> None:
    for held in (20_000.0, 80_000.0):  # The first fit holds and the second is wrong.
        result = reckoned(slope(base=4000.0, per=20.0, held=held, limit=3000.0), size=800.0)
        assert result.breaks_at == 100.0


def test_cost_below_smallest_size_is_bounded_by_it() -> None:
    result = reckoned(slope(base=-190.0, held=1410.0), size=24.0)
    assert (result.state, result.value) == (estimates.State.AT_MOST, 10.0)


def test_multiplied_row_has_no_limit_of_its_own() -> None:
    result = reckoned(
        slope(), role_terms.Row("bytes: all", "cost", "gateways", "decide/load_balancer.py", by="calls")
    )
    assert result.value == pytest.approx(144_000.0)
    assert (result.limit, result.breaks_at) == (None, None)


def test_multiplied_row_uses_the_limit_it_names() -> None:
    row = role_terms.Row(
        "bytes: all", "cost", "gateways", "decide/load_balancer.py", by="calls", limit="budget"
    )
    result = reckoned(slope(), row)
    assert result.limit == 5000.0
    assert result.room == pytest.approx(5000 / 144_000)
    assert result.breaks_at == pytest.approx(5000 / 10 / 2)


def test_totals_add_rows_and_count_missing_figures() -> None:
    role = role_terms.Role("a role", "state", (), added_up=True)
    twice = role_terms.Row("memory: the same", "cost", "gateways", "decide/load_balancer.py", counted=False)
    (total,) = estimates.totals(role, [reckoned(slope()), reckoned(None), reckoned(slope(), twice)], FIGURES)
    assert (total.kind, total.missing, total.limit) == ("memory", 1, 64e6)
    assert total.value == pytest.approx(14400.0)
    (nothing,) = estimates.totals(role, [reckoned(None)], FIGURES)
    assert (nothing.value, nothing.missing) == (None, 1)


def test_breaks_are_ordered_and_exclude_kept_limits() -> None:
    bound = role_terms.Bound("slots", "slots", "gateways", "membership/slot_allocation.py", "cells")
    holds = role_terms.Bound("more", "more", "gateways", "membership/slot_allocation.py", "cells")
    found = estimates.breaks(
        [reckoned(slope()), reckoned(slope(limit=1e9))],
        (bound, holds),
        {"gateways": 7200, "slots": 1024, "more": 8000},
    )
    assert [each.what for each in found] == ["slots", "memory: all"]
    assert found[0].share == pytest.approx(1024 / 7200)


def test_breaks_are_unique_and_grouped_by_remedy() -> None:
    bound = role_terms.Bound("slots", "slots", "gateways", "membership/slot_allocation.py", "cells")
    other = role_terms.Row("bytes: again", "cost", "gateways", "decide/load_balancer.py", "a mend")
    figures = {"gateways": 7200.0, "slots": 1024.0}
    found = estimates.breaks([reckoned(slope()), reckoned(slope(), other)], (bound,), figures)
    assert [each.what for each in found] == ["slots", "memory: all"]
    assert [mend for mend, _ in estimates.mends(found)] == ["cells", "a mend"]


def test_absent_mechanism_is_reported_missing() -> None:
    assert mechanism_status("decide/load_balancer.py") is MechanismStatus.STARTED
    assert mechanism_status("no/such.py") is mechanism_status("") is MechanismStatus.MISSING
    known = {"decide": MechanismStatus.STARTED, "membership": MechanismStatus.CORE}
    page = Page(Slopes(), here=lambda path: known.get(path.split("/")[0], MechanismStatus.MISSING))
    table = page.parts()["roles"]
    assert "| **missing** |" in table
    assert "| `decide/load_balancer.py` |" in table
    assert "| `membership/member_table.py`, a core that nothing starts yet |" in table
    assert "`counter/lease_manager.py`" not in table


def test_started_program_excludes_testing_code() -> None:
    assert {"node", "decide", "backends", "fronts", "lists", "membership"} <= started()
    assert "testing" not in started()


def test_without_runs_every_row_is_not_measured() -> None:
    parts = Page(Slopes()).parts()
    assert parts["latency"] == parts["slopes"] == parts["faults"] == "**not measured**"
    rows = [row for role in roles.ROLES for row in role.rows]
    sums = sum(len(roles.TOTALS) for role in roles.ROLES if role.added_up)
    assert parts["roles"].count("| **not measured** |") == len(rows) + sums


def test_rows_name_known_sizes_and_modules() -> None:
    """A row's module is in the program or in a planned package."""
    page = Page(Slopes())
    planned = {"services", "cells", "distribution", "regions"}
    for role in roles.ROLES:
        for row in role.rows:
            assert row.at in page.figures
            assert (PROGRAM / row.mechanism).exists() or row.mechanism.split("/")[0] in planned


def test_latency_is_compared_with_its_limit() -> None:
    def latency_part(added: float, void: bool) -> str:
        made = latency.Latency(RUN, void, 4000, 448, 60, (0.001, 0.002), (0.0015, 0.002 + added), 0.001, 1.0)
        return Page(Slopes(), made).parts()["latency"]

    assert "within the limit" in latency_part(0.004, False)
    assert "**over the limit**" in latency_part(0.005, False)
    assert "**void**" in latency_part(0.004, True)


def test_percentiles_of_0_to_100() -> None:
    low, high = latency.percentiles([float(number) for number in range(101)])
    assert (low, high) == (50.0, 99.0)


def test_fault_table_includes_unsettled_faults() -> None:
    struck = (faults.Fault("zone", 240, 20, 3.5, 24_000.0, 0), faults.Fault("region", 240, 60, None, 9e4, 1))
    report = faults.Report("2026-12-02T05:10Z", "python -m benchmarks.scale", "abc1234", True, "flat", struck)
    table = Page(Slopes(), report=report).parts()["faults"]
    assert "| zone | 20 of 240 | 3.5 s | 24 KB/s | 0 |" in table
    assert "not settled" in table
    assert "**Void**" in table


def test_flat_zero_cost_has_infinite_headroom() -> None:
    points = [(float(size), 0.0) for size in (1, 2, 3, 4)]
    flat = measurement("cost", "gateways", "bytes", points, (8.0, 0.0), RUN, limit=1.0)
    assert reckoned(flat).room == math.inf
