"""Implements `trackspread fleet`, which shows the fleet as the admin servers of its gateways report it.

An error of the operator is one line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Sequence
from pathlib import Path

from ..membership.report import FleetReport
from . import admin_client, fleet_queries

POLL_INTERVAL_S = 0.2  # interval between two polls while the gateways settle


def run(options: argparse.Namespace) -> int:
    """Runs one action and returns the exit status; raises `ConfigError`."""
    match options.fleet:
        case "forget":
            return fleet_queries.forget(options.name, Path(options.file))
        case "cells":
            return fleet_queries.cells(Path(options.file))
        case _:
            return view(options)


def view(options: argparse.Namespace) -> int:
    """Prints each gateway's view; raises `ConfigError`.

    The exit status is 1 if the views differ or a gateway is not settled, and otherwise 0.
    """
    deadline = time.monotonic() + options.wait
    while True:
        bodies = [admin_client.fetch(each, "/fleet", "fleet.name") for each in options.admin_address]
        reports = [decode(each, body) for each, body in zip(options.admin_address, bodies, strict=True)]
        problems = differences(reports)
        if not problems or time.monotonic() >= deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    if options.json:
        for body in bodies:
            print(body.decode().rstrip())
    else:
        for report in reports:
            print("\n".join(lines(report)))
        for problem in problems:
            print(f"problem: {problem}")
    return 1 if problems else 0


def decode(admin_address: str, body: bytes) -> FleetReport:
    """Decodes one gateway's report; raises `ConfigError`."""
    return admin_client.decode(admin_address, body, FleetReport)


def differences(reports: Sequence[FleetReport]) -> list[str]:
    """Returns lines for operators on why these gateways are not settled in one view."""
    problems = [f"{each.name} is {each.status}" for each in reports if each.status != "settled"]
    problems += [
        f"{each.name}: the view and the running members differ in {', '.join(each.differing_names)}"
        for each in reports
        if each.differing_names
    ]
    fleets = {each.fleet for each in reports}
    if len(fleets) > 1:
        problems.append("the gateways belong to different fleets: " + ", ".join(sorted(fleets)))
    for cell in sorted({each.cell for each in reports}):
        members = [each for each in reports if each.cell == cell]
        views = {each.view for each in members}
        if len({each.fleet for each in members}) == 1 and len(views) > 1:
            problems.append(
                "; ".join(f"{each.name} holds view {_view_number(each.view)}" for each in members)
            )
    return problems


def _view_number(view_id: tuple[int, int, int] | None) -> str:
    return ".".join(map(str, view_id)) if view_id is not None else "none"


def lines(report: FleetReport) -> list[str]:
    """Formats one gateway's report as lines for operators."""
    coordinator = f"{report.leader or 'none'}{' (this gateway)' if report.is_coordinator else ''}"
    cell = f", cell {report.cell}," if report.cell else ""
    text = [
        f"fleet {report.fleet}{cell} as {report.name} sees it: "
        f"{report.status}, view {_view_number(report.view)} of "
        f"{report.members}, coordinator {coordinator}, "
        f"usable limits {report.usable_fraction:.1%}, health {report.health}",
        f"  {'name':<20} {'state':<8} {'in view':<8} {'incarnation':>11} {'since':>9}  {'version':<10} "
        "address",
    ]
    for member in report.known_members:
        in_view = "yes" if member.in_view else "no"
        text.append(
            f"  {member.name:<20} {member.state:<8} {in_view:<8} {member.incarnation:>11} "
            f"{member.since_s:>7.1f} s  {member.version:<10} {member.address}"
        )
    if report.answered_s is not None:
        text.append(f"  the last answer of a control machine was {report.answered_s} s ago")
    if report.dropped:
        dropped = ", ".join(f"{reason} {count}" for reason, count in sorted(report.dropped.items()))
        text.append(f"  dropped messages: {dropped}")
    return text
