"""Tests the scale run: bounds, verdicts on lag and on dead members, JSON, and small runs on sockets."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter

import msgspec
import pytest
import uvloop

from benchmarks.scale import measured, report, slopes
from benchmarks.scale.bounds import Guard, OverBound, ProcessEntry, Use, tree
from benchmarks.scale.cells_fleet import CellsCost, CellsFleet, unsettled_reason
from benchmarks.scale.cells_messages import (
    Holding,
    InView,
    Layout,
    gateway_zone,
    in_rack,
    region_of_member,
)
from benchmarks.scale.configuration import Configured, Waits
from benchmarks.scale.configuration_fleet import (
    Change,
    ConfigurationCost,
    ConfigurationFleet,
    busier_rate,
    cpu_share,
    time_in_force,
)
from benchmarks.scale.configuration_messages import ConfigurationReport, Tier
from benchmarks.scale.configuration_process import carried_services
from benchmarks.scale.extrapolation import extrapolate
from benchmarks.scale.fit import Shape
from benchmarks.scale.flat_fleet import Cost, FlatFleet, Outcome, cost
from benchmarks.scale.hollow_fleet import HollowFleet
from benchmarks.scale.lag import LATE, WORST_MOST, Lag, LagWatch, combined_lag
from benchmarks.scale.messages import DeadVerdict, Held, Life, Measured, Traffic
from benchmarks.scale.placement import (
    PORT,
    RACKS,
    REGIONS,
    ZONES,
    Partition,
    Placement,
    control_name,
    name_of,
    number_of,
    of_rack,
    of_zone,
    region_of,
)
from benchmarks.scale.real_gateways import shared_scenario
from benchmarks.scale.verdicts import Cutoff, false_deaths, relayed_deaths
from benchmarks.scale.view import View, digest, settled
from trackspread.testing.standins.scenario import Scenario

MB = 1 << 20
PLACED = Placement(("127.192.0.1", "127.192.0.2"))


def entries(children: int, memory: int) -> list[ProcessEntry]:
    """Returns the processes of a run, with children of `memory` bytes each, and one outside the run."""
    own = [ProcessEntry(100, 1, 10 * MB), *(ProcessEntry(200 + n, 100, memory) for n in range(children))]
    return [*own, ProcessEntry(300, 200, memory), ProcessEntry(400, 1, 1 << 40)]


def test_tree_counts_descendants_only() -> None:
    assert tree(100, entries(2, MB)) == Use(4, 13 * MB)


def test_guard_rejects_more_processes_than_its_bound() -> None:
    guard = Guard(processes_most=10, look=lambda: entries(4, MB), root=100)
    guard.admit(4)
    with pytest.raises(OverBound, match="processes: must be at most 10, would be 11"):
        guard.admit(5)


def test_guard_ends_oversized_run_and_records_peak() -> None:
    children = [2, 4, 1]
    guard = Guard(processes_most=5, memory_most=16 * MB, look=lambda: entries(children[0], MB), root=100)
    guard.check()
    children[0] = 4
    with pytest.raises(OverBound, match="processes: must be at most 5, got 6"):
        guard.check()
    children[0] = 1
    guard.check()
    assert guard.most == Use(6, 15 * MB)
    heavy = Guard(processes_most=5, memory_most=16 * MB, look=lambda: entries(1, 4 * MB), root=100)
    with pytest.raises(OverBound, match="memory"):
        heavy.check()


def test_guard_counts_the_current_process() -> None:
    use = Guard().check()
    assert use.processes >= 1 and use.memory > MB


def test_one_long_or_many_short_lags_void() -> None:
    assert not Lag(1000, 10, LATE + 0.01).void
    assert Lag(1000, 11, LATE + 0.01).void
    assert Lag(100_000, 1, WORST_MOST + 0.01).void
    assert combined_lag([Lag(10, 0, 0.01), Lag(10, 0, WORST_MOST + 0.1)]).void
    assert not combined_lag([]).void


def test_lag_watch_resets_when_it_is_read() -> None:
    watch = LagWatch()
    for late in (-0.001, 0.02, LATE + 0.05):
        watch.note(late)
    assert watch.take() == Lag(3, 1, LATE + 0.05)
    assert watch.take() == Lag()


def test_blocked_event_loop_is_detected() -> None:
    async def block_loop() -> Lag:
        watch = LagWatch()
        watch.start()
        await asyncio.sleep(0.05)
        time.sleep(WORST_MOST + 0.1)
        await asyncio.sleep(0.05)
        watch.stop()
        return watch.take()

    assert uvloop.run(block_loop()).void


def test_numbers_and_addresses_map_one_to_one() -> None:
    assert {PLACED.number(PLACED.address(number)) for number in range(50)} == set(range(50))
    assert PLACED.number(("127.0.0.1", PORT)) is None
    assert PLACED.number(("127.192.0.1", PORT - 1)) is None
    assert number_of(name_of(7)) == 7 and number_of("n7") is None


def test_each_rack_is_in_one_zone_and_region() -> None:
    numbers = range(10 * RACKS)
    assert len(of_rack(7, numbers)) == 10 and len(of_zone(5, numbers)) == 10 * RACKS // ZONES
    for rack in range(RACKS):
        members = of_rack(rack, numbers)
        assert len({number % ZONES for number in members}) == 1
        assert len({region_of(number) for number in members}) == 1


def test_cut_drops_both_directions_between_regions_and_heals() -> None:
    partition = Partition(PLACED.region)
    region_3, region_0, real = PLACED.address(3), PLACED.address(4), ("127.200.0.1", 7400)
    assert partition.passes(region_3, region_0)
    partition.cut([3])
    assert not partition.passes(region_3, region_0) and not partition.passes(region_0, region_3)
    assert not partition.passes(region_3, real) and not partition.passes(real, region_3)
    assert partition.passes(region_3, PLACED.address(3 + REGIONS)) and partition.passes(region_0, real)
    partition.cut([])
    assert partition.passes(region_3, region_0)


WHO = (name_of(3), 1)
LIVES = [Life(WHO, 100, 500), Life((name_of(4), 1), 100)]


def dead(at: int, by: int, of: int, own: bool = True, suspected: int | None = None) -> DeadVerdict:
    return DeadVerdict(at, name_of(by), (name_of(of), 1), own, at if suspected is None else suspected)


def test_only_a_running_process_is_wrongly_dead() -> None:
    mistaken, late, unknown = dead(499, 1, 3), dead(500, 1, 3), dead(300, 1, 99)
    assert false_deaths([mistaken, late, unknown], LIVES) == [mistaken]


def test_member_cut_off_is_rightly_dead() -> None:
    """The verdict is also right if the suspicion began during the cut and ended after it."""
    cut = [Cutoff(3, 200, 300)]
    during, after = dead(250, 4, 3), dead(400, 4, 3, suspected=310)
    outlasting = dead(320, 4, 3, suspected=290)
    same_side = dead(250, 7, 3)
    assert false_deaths([during, outlasting, after, same_side], LIVES, cut) == [after, same_side]
    assert false_deaths([during], LIVES, [Cutoff(3, 200)]) == []


def test_verdicts_of_other_members_are_counted_separately() -> None:
    reported = dead(250, 7, 3, own=False)
    assert false_deaths([reported], LIVES) == [] and relayed_deaths([reported], LIVES) == {WHO}


def test_fleet_settles_on_one_view_of_running_members() -> None:
    running = ((name_of(0), 1), (name_of(1), 1))
    real = [("n0", 5)]
    wanted, number = digest(sorted([*running, *real])), (3, 0, 1)
    complete = Held(((wanted, wanted, number),), running, 0)
    assert settled([complete], real, {View(wanted, number)})
    assert not settled([complete], real, {View(wanted, (3, 0, 2))})
    assert not settled([complete], [], set())
    assert not settled([Held(((wanted, 7, number),), running, 0)], real, {View(wanted, number)})
    assert not settled([Held(((7, wanted, number),), running, 0)], real, {View(wanted, number)})


def process_measured(
    at: int, cpu: float, sent: int, leading: int | None = None, members: int = 10
) -> Measured:
    led = () if leading is None else (Traffic(name_of(0), leading, leading // 2),)
    lag = Lag(100, 0, 0.01)
    return Measured(at, cpu, 30 * MB, members, sent // 100, sent, 2 * sent, led, "", 0, lag, (), ())


def test_cost_is_per_member_and_separates_coordinator() -> None:
    second = 1_000_000_000
    before = [process_measured(0, 1.0, 0, 0), process_measured(0, 2.0, 0)]
    after = [process_measured(2 * second, 1.4, 10_000, 6_000), process_measured(2 * second, 2.2, 30_000)]
    found = cost(before, after, 40 * MB, 23, Lag())
    assert (found.members, found.sent, found.received, found.bytes) == (23, 1000.0, 2000.0, 2000.0)
    assert found.cpu == pytest.approx((0.2 + 0.1) / 20)
    assert found.memory == 1 * MB
    assert (found.coordinator_sent, found.coordinator_received) == (3000.0, 1500.0)
    assert found.coordinator_cpu == pytest.approx(0.2 - 9 * 0.1 / 10)


RUN = slopes.Run("2026-12-02T05:10Z", "python -m benchmarks.scale --quick", "abc1234")
KEYS = {
    "sizes",
    "holdout_error_worst",
    "gateway_cpu_share_at_size",
    "gateway_memory_mb_at_size",
    "gateway_bytes_s_at_size",
    "busiest_control_bytes_s_at_size",
    "control_machines_at_size",
    "change_s_worst",
    "settle_s_zone",
    "settle_s_region_heal",
    "false_dead",
    "added_p99_ms",
    "hollow",
    "processes",
    "memory_gb",
    "violations",
    "void",
    "not_run",
    "limits_kept",
}


def priced(members: int, cpu: float, lag: Lag | None = None) -> Cost:
    return Cost(
        members,
        cpu,
        2000.0,
        2100.0,
        10.0,
        1e5,
        600.0 * members,
        600.0 * members,
        0.1,
        lag or Lag(100, 0, 0.01),
        Lag(),
    )


def fitted(held_out: float, lag: Lag | None = None) -> report.Report:
    sizes = [16, 32, 48, 64]
    costs = [priced(size, 0.0001 * size) for size in sizes]
    last = priced(128, held_out, lag)
    made = report.Report(command="", commit="", date="")
    report.put_flat(made, [*costs, last], measured.flat(costs, last, RUN))
    return made


def test_report_has_all_keys_and_kept_limits() -> None:
    made = fitted(0.0128)
    report.put_limits(made, full=True)
    decoded = json.loads(msgspec.json.encode(made))
    assert set(decoded) >= KEYS
    assert decoded["sizes"] == [16, 32, 48, 64, 128] and decoded["hollow"] == 128
    assert decoded["gateway_cpu_share_at_size"] == pytest.approx(0.72)
    assert decoded["flat"]["gateway_cpu_share_at_size"] == pytest.approx(0.72)
    assert decoded["busiest_control_bytes_s_at_size"] == pytest.approx(600 * report.SIZE)
    kept = decoded["limits_kept"]
    assert kept["gateway_cpu_share_at_size"] is False and kept["gateway_bytes_s_at_size"] is True
    assert kept["change_s_worst"] is None and kept["hollow"] is False


def test_extrapolation_gives_range_of_unrefuted_fits() -> None:
    points = [(12.0, 0.0013), (24.0, 0.0019), (36.0, 0.0026), (48.0, 0.0025)]
    found = slopes.measurement("x", "gateways", "", points, (96.0, 0.0039), RUN)
    assert found.shape is Shape.LOG and found.fit.predict(7200) < 0.01
    there = extrapolate(found, 7200)
    assert there is not None and there.least < 0.01 and there.most > 0.15
    straight = slopes.measurement("x", "", "", [(n, 600.0 * n) for n in (10, 20, 30, 40)], (80, 48_000), RUN)
    assert extrapolate(straight, 7200) == pytest.approx((4_320_000, 4_320_000))
    flat = slopes.measurement("x", "", "", [(n, 3e3) for n in (100, 200, 300, 400)], (800, 3e3), RUN)
    assert extrapolate(flat, 7200) == pytest.approx((3e3, 3e3))
    noisy = [(100.0, 3.0e3), (200.0, 3.1e3), (300.0, 2.9e3), (400.0, 3.0e3)]
    assert extrapolate(slopes.measurement("x", "", "", noisy, (800, 3.2e3), RUN), 7200) == (2.9e3, 3.2e3)
    wrong = slopes.measurement("x", "", "", [(n, 3e3) for n in (100, 200, 300, 400)], (800, 4e3), RUN)
    assert extrapolate(wrong, 7200) is None


def test_wrong_fit_gives_no_figure_and_a_note() -> None:
    made = fitted(0.02)
    report.put_limits(made, full=False)
    assert made.gateway_cpu_share_at_size is None and made.holdout_error_worst == pytest.approx(0.36)
    assert any("membership.flat.cpu" in line for line in made.not_run)
    assert made.limits_kept["holdout_error_worst"] is False


def in_cells(gateways: int) -> CellsCost:
    cells = gateways // 24
    return CellsCost(
        gateways,
        19,
        cells,
        0.0015,
        2000.0,
        5e4,
        0.001 * cells,
        800.0 * cells,
        1e4 * cells,
        0.002 * cells,
        1200.0 * cells,
        Lag(100, 0, 0.01),
    )


def handed_down(gateways: int, rate: float) -> ConfigurationCost:
    lag = Lag(100, 0, 0.01)
    return ConfigurationCost(gateways, 19, rate, 0.0003, 60.0, 1e4, 0.01, 20.0 * gateways / 19, 3e7, lag)


def test_report_has_figures_of_cells_and_flat_view() -> None:
    made = fitted(0.0128)
    costs = [in_cells(size) for size in (96, 192, 288, 576, 1152)]
    sizes = [handed_down(size, 1.0) for size in (150, 300, 450, 600, 1200)]
    rates = [handed_down(1200, rate) for rate in (0.5, 1.0, 1.5, 2.0, 4.0)]
    waits = Waits([1.5] * 5, [1.6] * 5, 1.7, 3.5)
    configured = Configured(sizes, rates, waits)
    report.put_configuration(made, configured)
    report.put_cells(made, costs, measured.cells(costs, RUN), measured.configuration(configured, RUN))
    report.put_limits(made, full=True)
    assert made.mechanism == "cells" and made.flat.gateway_cpu_share_at_size == pytest.approx(0.72)
    assert made.gateway_cpu_share_at_size == pytest.approx(0.0018)
    assert made.gateway_bytes_s_at_size == pytest.approx(2060)
    assert made.busiest_control_bytes_s_at_size == pytest.approx(1200 * 300 + 20 * 7200 / 19, rel=0.01)
    assert made.change_s_worst == 3.5 and made.hollow == 1200
    assert all(made.limits_kept[name] for name in ("gateway_cpu_share_at_size", "change_s_worst", "hollow"))
    assert made.limits_kept["false_dead"] is None


def test_lag_in_any_span_voids_the_run() -> None:
    assert not fitted(0.0128).void
    made = fitted(0.0128, Lag(100, 0, WORST_MOST + 0.1))
    assert made.void and made.lag_ms_worst == pytest.approx(1000 * (WORST_MOST + 0.1))


def test_faults_report_settling_times_or_none() -> None:
    def outcome(fault: str, settle: float | None, mistaken: int = 0) -> Outcome:
        return Outcome(fault, 63, 5, settle, 1000, mistaken, 0, Lag(100, 0, 0.01), Lag())

    made = report.Report(command="", commit="", date="")
    report.put_failures(made, made, [outcome("zone", 3.5, 2), outcome("region", None, 1)], 12.0)
    assert made.settle_s_zone == 3.5 and made.settle_s_region_heal is None and made.false_dead == 3
    assert made.not_run == ["region: not settled within 12 s"]
    none = report.Report(command="", commit="", date="")
    report.put_failures(none, none, [], 12.0)
    assert none.false_dead is None and none.settle_s_zone is None


def test_shared_scenario_scales_quotas_but_not_demand() -> None:
    usual = Scenario(gateways=3, nodes=6, load=0.15, greedy_share=0.0, seed=49)
    shared = shared_scenario(usual, 63)
    assert shared.plans["basic"].rate_per_s == pytest.approx(21 * usual.plans["basic"].rate_per_s)
    burst_units = shared.rule_parameters().plans["full"].hard_limit_burst_units
    assert burst_units == pytest.approx(21 * usual.plans["full"].hard_limit_burst_units)
    assert shared.population().tenants == usual.population().tenants


def handed(at: int, cpu: float, sent: int, received: int) -> ConfigurationReport:
    return ConfigurationReport(at, cpu, 30 * MB, 0, 0, sent, received, "", 0, (), 0, Lag())


def test_change_takes_effect_with_the_last_process() -> None:
    progress = [[(100, 4), (300, 7)], [(200, 5), (500, 6), (600, 9)]]
    second = 1_000_000_000
    assert time_in_force(Change(50, 5), progress) == pytest.approx(250 / second)
    assert time_in_force(Change(50, 6), progress) == pytest.approx(450 / second)
    assert time_in_force(Change(50, 8), progress) is None
    assert time_in_force(Change(50, 1), [*progress, []]) is None


def test_bytes_use_busier_direction_and_cpu_process_time() -> None:
    before, after = handed(0, 1.0, 100, 0), handed(2_000_000_000, 1.5, 300, 1_000)
    assert busier_rate(before, after) == 500.0 and cpu_share(before, after) == 0.25


def test_services_are_spread_evenly_over_gateways() -> None:
    tier = Tier("x", (), services=30, carried=4)
    counts = Counter(each for gateway in range(60) for each in carried_services(tier, gateway))
    assert len(counts) == 30 and set(counts.values()) == {8}


LAID = Layout("x", (("127.200.0.1", PORT), ("127.200.0.2", PORT)), ("127.192.0.1", "127.192.0.2"), 48)


def test_zones_have_complete_cells_and_addresses_give_regions() -> None:
    numbers = range(24 * ZONES * 2)
    zones = Counter(gateway_zone(number) for number in numbers)
    assert set(zones) == set(range(ZONES)) and set(zones.values()) == {48}
    assert sum(in_rack(14, number) for number in numbers) == len(numbers) // RACKS + 1
    assert {gateway_zone(number) for number in numbers if in_rack(14, number)} == {2}
    for number in range(96):
        assert LAID.region(LAID.address(number)) == gateway_zone(number) % REGIONS
        assert region_of_member(name_of(number)) == gateway_zone(number) % REGIONS
    assert LAID.region(LAID.control[1]) == region_of_member(control_name(1)) == 1


def test_cells_settle_on_one_view_and_full_directory() -> None:
    gateway, control, number = (name_of(0), 2), (control_name(0), 1), (5, 0, 3)
    both = digest(sorted([gateway, control]))
    mine, seed = InView(gateway, "c", number, both, True), InView(control, "c", number, both, True)
    leading = Holding(0, (seed,), 0, 0, True, 1, 1)
    assert unsettled_reason([Holding(0, (mine,), 0, 0), leading], 1) == ""
    assert "in a cell" in unsettled_reason([Holding(0, (mine,), 0, 0), leading], 2)
    assert "no cell" in unsettled_reason([Holding(0, (mine,), 1, 0), leading], 1)
    behind = InView(gateway, "c", (5, 0, 2), both, True)
    assert "one view" in unsettled_reason([Holding(0, (behind,), 0, 0), leading], 1)
    alone = digest([gateway])
    stale = [InView(who, "c", number, alone, True) for who in (gateway, control)]
    lone_seed = Holding(0, (stale[1],), 0, 0, True, 1, 1)
    assert "just those" in unsettled_reason([Holding(0, (stale[0],), 0, 0), lone_seed], 1)
    lost = Holding(0, (seed,), 0, 0, True, 0, 1)
    assert "directory" in unsettled_reason([Holding(0, (mine,), 0, 0), lost], 1)


@pytest.mark.processes
def test_hollow_gateways_settle_in_cells_after_crash() -> None:
    async def run() -> tuple[Outcome, int]:
        async with CellsFleet(3, 1, 24, Guard()) as fleet:
            since = await fleet.begin(range(6))
            assert await fleet.until_settled(60.0, since) is not None
            await fleet.before_fault()
            since = time.monotonic_ns()
            await fleet.kill([2, 3])
            return await fleet.outcome("crash", 2, since, 30.0), len(fleet.running)

    outcome, running = uvloop.run(run())
    assert outcome.settle_s is not None and outcome.settle_s > 0.5 and running == 4
    assert outcome.members == 6 and outcome.struck == 2 and outcome.peak_bytes_s > 0


@pytest.mark.processes
def test_change_reaches_all_hollow_gateways() -> None:
    async def run() -> tuple[list[float | None], list[float | None], int]:
        async with ConfigurationFleet(3, 2, 4, Guard()) as fleet:
            await fleet.add(8)
            usual = await fleet.everywhere([await fleet.change(n) for n in range(5)], 20.0)
            without_leader = await fleet.everywhere(await fleet.burst_without_leader(10), 20.0)
            return usual, without_leader, fleet.gateways

    usual, without_leader, gateways = uvloop.run(run())
    assert gateways == 8 and len(usual) == 5 and len(without_leader) == 10
    assert None not in usual and None not in without_leader


@pytest.mark.processes
def test_hollow_members_settle_again_after_crash() -> None:
    async def run() -> tuple[Outcome, int, int]:
        guard = Guard()
        async with HollowFleet(2, (0, 1, 2), 32, guard, "small") as hollow:
            fleet = FlatFleet(hollow, None, guard)
            await fleet.open()
            await hollow.begin(range(8), 0.1)
            assert await fleet.until_settled(20.0) is not None
            outcome = await fleet.crash("crash", [5, 6], 20.0)
            fleet.close()
            measured = await hollow.measure()
            return outcome, sum(each.members for each in measured), guard.most.processes

    outcome, members, processes = uvloop.run(run())
    assert (
        outcome.settle_s is not None and outcome.settle_s > 0.5
    )  # A member is declared dead only after several protocol periods.
    assert outcome.struck == 2 and outcome.members == 8 and members == 6
    assert outcome.peak_bytes_s > 0 and outcome.lag.beats > 0
    assert processes >= 3
