"""Implements `trackspread reserve`, which adds, cancels and lists reservations of the plan registry.

An error of the operator is one line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import re
import time

import msgspec

from ..config.addresses import ConfigError
from ..plans.calendar import (
    Fleet,
    Reservation,
    admit_reservation,
    available_per_s,
    cancel_reservation,
    capacity_per_s,
)
from ..plans.registry import PlanRegistry
from .registry_file import MS_PER_S, NS_PER_MS, change_registry, format_time, load_registry, parse_time

_TENANT = re.compile(r"[0-9a-fA-F]{16}")


def run(options: argparse.Namespace) -> int:
    """Runs one action and returns the exit status; raises `ConfigError`."""
    now_ms = time.time_ns() // NS_PER_MS
    match options.reserve:
        case "add":
            _add(options, now_ms)
        case "cancel":
            _cancel(options, now_ms)
        case "fleet":
            _describe_fleet(options)
        case _:
            _list(load_registry(options.book), now_ms)
    return 0


def _cancel(options: argparse.Namespace, now_ms: int) -> None:
    def change(registry: PlanRegistry) -> PlanRegistry:
        reservations = cancel_reservation(registry.reservations, options.number, now_ms)
        return msgspec.structs.replace(registry, reservations=reservations)

    change_registry(options.book, change)
    print(f"reservation {options.number} is cancelled")


def _describe_fleet(options: argparse.Namespace) -> None:
    fleet = _fleet(options)
    change_registry(options.book, lambda registry: msgspec.structs.replace(registry, fleet=fleet))
    print(
        f"{capacity_per_s(fleet):.6g} units per second within {fleet.aim_ms:g} ms, of which {fleet.kept:g} "
        "are kept"
    )


def _fleet(options: argparse.Namespace) -> Fleet:
    raw = {name: getattr(options, name) for name in Fleet.__struct_fields__}
    try:
        return msgspec.convert(raw, Fleet)
    except msgspec.ValidationError as error:
        raise ConfigError(f"reserve fleet: {error}") from None


def _add(options: argparse.Namespace, now_ms: int) -> None:
    if not _TENANT.fullmatch(options.member):
        raise ConfigError(f"MEMBER: must be 16 hexadecimal digits, got {options.member!r}")
    start_ms = parse_time(options.since, now_ms)
    end_ms = parse_time(options.until, now_ms, "--to")
    rate = options.rate
    if rate is None:
        rate = options.units * MS_PER_S / max(1, end_ms - start_ms)
    tenant = int(options.member, 16)

    def change(registry: PlanRegistry) -> PlanRegistry:
        reservation = admit_reservation(
            registry.fleet, registry.reservations, tenant, rate, start_ms, end_ms, now_ms, options.note
        )
        return msgspec.structs.replace(registry, reservations=(*registry.reservations, reservation))

    added = change_registry(options.book, change).reservations[-1]
    print(
        f"reservation {added.number}: {added.rate:.6g} units per second for {added.tenant:016x} from "
        f"{format_time(start_ms)} to {format_time(end_ms)}"
    )


def _list(registry: PlanRegistry, now_ms: int) -> None:
    for each in registry.reservations:
        print(
            f"{each.number:>4} {each.tenant:016x} {each.rate:.6g}/s {format_time(each.start)} to "
            f"{format_time(each.end)} {_state(each, now_ms)} {each.note}".rstrip()
        )
    if registry.fleet is None:
        print("no reservation is possible until `trackspread reserve fleet` describes the fleet")
        return
    available = available_per_s(registry.fleet, registry.reservations, now_ms, now_ms + 1)
    capacity = capacity_per_s(registry.fleet)
    print(f"the fleet serves {capacity:.6g} units per second, of which {available:.6g} can be reserved now")


def _state(reservation: Reservation, now_ms: int) -> str:
    if reservation.cancelled:
        return "cancelled"
    if reservation.end <= now_ms:
        return "ended"
    return "in force" if reservation.start <= now_ms else "pending"
