"""Slopes of the decision module: small runs of each subject, and how repeats become measurements."""

from __future__ import annotations

import pytest

from benchmarks.scale import control_state, module, operator_tools, quota_traffic, subjects
from benchmarks.scale.slopes import Run

RUN = Run(date="2026-12-02T05:10Z", command="test", commit="abc1234")


def test_each_subject_has_a_measurement_for_each_of_its_figures() -> None:
    functions = subjects.SUBJECTS | quota_traffic.SUBJECTS | operator_tools.SUBJECTS
    functions |= control_state.SUBJECTS
    assert {subject.function or subject.name for subject in module.SUBJECTS} == set(functions)
    for subject in module.SUBJECTS:
        told = set(functions[subject.function or subject.name](30))
        assert set(subject.kinds) == told or (subject.function and set(subject.kinds) < told)


@pytest.mark.parametrize("subject", module.SUBJECTS, ids=lambda subject: subject.name)
def test_four_sizes_are_fitted_and_twice_the_largest_is_held_out(subject: module.Subject) -> None:
    *fitted, held_out = subject.sizes
    assert len(set(fitted)) >= 4
    assert held_out >= 2 * max(fitted)


def test_a_gateway_whose_requests_are_refused_is_no_fair_work() -> None:
    driver = subjects.Driver(subjects.settings(gateways=1))
    with pytest.raises(RuntimeError, match="request must be forwarded"):
        driver.serve(1)  # no backend is known yet


def test_a_child_process_tells_its_figures() -> None:
    assert module.child("line", 10)["bytes"] > 1000


def test_a_child_that_fails_is_named() -> None:
    with pytest.raises(module.ChildError, match="none 10"):
        module.child("none", 10)


def test_the_spread_is_that_of_the_middle_half() -> None:
    assert module.spread([1.0, 1.0, 1.0, 1.0, 9.0]) == 0.0
    assert module.spread([8.0, 9.0, 10.0, 11.0, 12.0]) == pytest.approx(0.2)


SUBJECT = module.Subject("line", "backends", 160, {"bytes": module.Kind("bytes", 100.0, "a note")})


def test_repeats_become_one_fit_and_its_hold_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "child", lambda name, size, program: {"bytes": 3.0 * size})
    (made,) = module.measure_subject(SUBJECT, RUN, 3)
    assert (made.name, made.shape, made.limit) == ("module.line.bytes", "linear", 100.0)
    assert made.holdout.predicted == pytest.approx(480.0)
    assert not made.wrong
    assert made.note.startswith("a note; median of 3, spread 0%")


def test_repeats_that_spread_make_it_void_after_another_try(monkeypatch: pytest.MonkeyPatch) -> None:
    told = []

    def child(name: str, size: int, program: str) -> dict[str, float]:
        told.append(size)
        return {"bytes": size * (1.0 + len(told) % 3)}

    monkeypatch.setattr(module, "child", child)
    (made,) = module.measure_subject(SUBJECT, RUN, 3)
    assert made.void
    assert made.wrong
    assert len(told) == 5 * 3 * module.TRIES


def test_asks_cost_bytes_by_the_request() -> None:
    slow, fast = quota_traffic.asks(10)["bytes"], quota_traffic.asks(20)["bytes"]
    assert slow > 10 * 2 * 150  # an ask and its answer at least, each with what it travels in
    assert fast == pytest.approx(2 * slow, rel=0.1)


def test_a_beat_brings_those_of_all_gateways_and_is_taken_in() -> None:
    few, many = quota_traffic.counter_heartbeats(100)["bytes"], quota_traffic.counter_heartbeats(200)["bytes"]
    assert many - few == pytest.approx(100 * 8 * 2.5 * 40, rel=0.1)
