"""`trackspread reserve`: allowance ahead, in the plan registry's calendar.

May know: the registry, the calendar's rules. Every operator's error is one plain line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import re
import time

import msgspec

from ..config.addresses import ConfigError
from ..plans.calendar import Fleet, admit_reservation, cancel_reservation, capacity_per_s, available_per_s
from ..plans.registry import PlanRegistry
from .plans import change_registry, load_registry, parse_time, shown

_MEMBER = re.compile(r"[0-9a-fA-F]{16}")


def run(given: argparse.Namespace) -> int:
    """Exit status; raises `ConfigError`."""
    now = time.time_ns() // 1_000_000
    match given.reserve:
        case "add":
            return _add(given, now)
        case "cancel":
            change_registry(
                given.book,
                lambda registry: msgspec.structs.replace(
                    registry, reservations=cancel_reservation(registry.reservations, given.number, now)
                ),
            )
            print(f"reservation {given.number} is given back")
        case "fleet":
            fleet = _fleet(given)
            change_registry(given.book, lambda registry: msgspec.structs.replace(registry, fleet=fleet))
            print(
                f"{capacity_per_s(fleet):.6g} units a second within {fleet.aim_ms:g} ms, "
                f"{fleet.kept:g} of them kept"
            )
        case _:
            _list(load_registry(given.book), now)
    return 0


def _fleet(given: argparse.Namespace) -> Fleet:
    raw = {name: getattr(given, name) for name in ("delay_ms", "demand_ms", "aim_ms", "kept")}
    try:
        return msgspec.convert(raw, Fleet)
    except msgspec.ValidationError as error:
        raise ConfigError(f"reserve fleet: {error}") from None


def _add(given: argparse.Namespace, now: int) -> int:
    if not _MEMBER.fullmatch(given.member):
        raise ConfigError(f"reserve add: found member {given.member!r}, wanted 16 hexadecimal digits")
    start, end = parse_time(given.since, now), parse_time(given.until, now, "--to")
    rate = given.rate if given.rate is not None else given.units * 1000 / max(1, end - start)
    customer = int(given.member, 16)

    def change(registry: PlanRegistry) -> PlanRegistry:
        made = admit_reservation(
            registry.fleet, registry.reservations, customer, rate, start, end, now, given.note
        )
        return msgspec.structs.replace(registry, reservations=(*registry.reservations, made))

    made = change_registry(given.book, change).reservations[-1]
    print(
        f"reservation {made.number}: {made.rate:.6g} units a second for {made.customer:016x} from "
        f"{shown(start)} to {shown(end)}"
    )
    return 0


def _list(registry: PlanRegistry, now: int) -> None:
    for each in registry.reservations:
        state = (
            "given back"
            if each.cancelled
            else "over"
            if each.end <= now
            else "in force"
            if each.start <= now
            else "to come"
        )
        print(
            f"{each.number:>4} {each.customer:016x} {each.rate:.6g}/s {shown(each.start)} to "
            f"{shown(each.end)} {state} {each.note}".rstrip()
        )
    if registry.fleet is None:
        print("the fleet is not described: nothing can be reserved (`trackspread reserve fleet`)")
        return
    fits = available_per_s(registry.fleet, registry.reservations, now, now + 1)
    print(
        f"the fleet gives {capacity_per_s(registry.fleet):.6g} units a second; {fits:.6g} can be reserved now"
    )
