"""Tests the slopes of the decision module: runs of each subject, and measurements from repeated runs."""

from __future__ import annotations

import pytest

from benchmarks.scale import control_state, module, operator_tools, quota_traffic, subjects
from benchmarks.scale.slopes import Run

RUN = Run(date="2026-12-02T05:10Z", command="test", commit="abc1234")


def test_each_subject_measures_all_of_its_figures() -> None:
    functions = subjects.SUBJECTS | quota_traffic.SUBJECTS | operator_tools.SUBJECTS
    functions |= control_state.SUBJECTS
    assert {subject.function or subject.name for subject in module.SUBJECTS} == set(functions)
    for subject in module.SUBJECTS:
        figures = set(functions[subject.function or subject.name](30))
        assert set(subject.kinds) == figures or (subject.function and set(subject.kinds) < figures)


@pytest.mark.parametrize("subject", module.SUBJECTS, ids=lambda subject: subject.name)
def test_subject_has_four_sizes_and_a_hold_out(subject: module.Subject) -> None:
    *fitted, held_out = subject.sizes
    assert len(set(fitted)) >= 4
    assert held_out >= 2 * max(fitted)


def test_driver_rejects_work_with_refused_requests() -> None:
    driver = subjects.Driver(subjects.settings(gateways=1))
    with pytest.raises(RuntimeError, match="request must be forwarded"):
        driver.serve(1)  # The gateway knows no backend yet.


def test_child_process_returns_its_figures() -> None:
    assert module.child("line", 10)["bytes"] > 1000


def test_error_names_the_failed_child() -> None:
    with pytest.raises(module.ChildError, match="none 10"):
        module.child("none", 10)


def test_spread_is_of_the_middle_half() -> None:
    assert module.spread([1.0, 1.0, 1.0, 1.0, 9.0]) == 0.0
    assert module.spread([8.0, 9.0, 10.0, 11.0, 12.0]) == pytest.approx(0.2)


SUBJECT = module.Subject("line", "backends", 160, {"bytes": module.Kind("bytes", 100.0, "a note")})


def test_repeats_give_one_fit_and_its_hold_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "child", lambda name, size, program: {"bytes": 3.0 * size})
    (made,) = module.measure_subject(SUBJECT, RUN, 3)
    assert (made.name, made.shape, made.limit) == ("module.line.bytes", "linear", 100.0)
    assert made.holdout.predicted == pytest.approx(480.0)
    assert not made.wrong
    assert made.note.startswith("a note; median of 3, spread 0%")


def test_widely_spread_repeats_are_void_after_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    sizes = []

    def child(name: str, size: int, program: str) -> dict[str, float]:
        sizes.append(size)
        return {"bytes": size * (1.0 + len(sizes) % 3)}

    monkeypatch.setattr(module, "child", child)
    (made,) = module.measure_subject(SUBJECT, RUN, 3)
    assert made.void
    assert made.wrong
    assert len(sizes) == 5 * 3 * module.TRIES


def test_quota_requests_cost_bytes_in_proportion() -> None:
    slow, fast = quota_traffic.asks(10)["bytes"], quota_traffic.asks(20)["bytes"]
    assert slow > 10 * 2 * 150  # At least a request and its answer, each with its packet headers.
    assert fast == pytest.approx(2 * slow, rel=0.1)


def test_heartbeat_call_returns_heartbeats_of_all_gateways() -> None:
    few, many = quota_traffic.counter_heartbeats(100)["bytes"], quota_traffic.counter_heartbeats(200)["bytes"]
    assert many - few == pytest.approx(100 * 8 * 2.5 * 40, rel=0.1)
