"""`trackspread fleet`: the fleet as its gateways know it, asked at their doors.

May know: doors and their answers. Every operator's error is one plain line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import http.client
import socket
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from ..cells.messages import CellRow, CellsMessage, DirectoryPage, DirectoryRequest
from ..cells.wire import CellsWire
from ..config import operator
from ..config.addresses import ConfigError, address
from ..membership.report import FleetReport
from ..membership.slot_allocation import SLOT_COUNT
from ..membership.identifiers import Address
from ..membership.messages import ForgetRequest, ForgetResponse, MemberMessage
from ..membership.wire import Wire
from ..membership.wire import MAX_DATAGRAM_BYTES
from ..node.cell_part import control_machines
from ..node.fleet_keys import read_keys

PATIENCE = 3.0  # s for one answer
AGAIN = 0.2  # s between questions while waiting


def run(given: argparse.Namespace) -> int:
    """Exit status; raises `ConfigError`."""
    match given.fleet:
        case "forget":
            return forget(given.name, Path(given.file))
        case "cells":
            return cells(Path(given.file))
        case _:
            return view(given)


def cells(file: Path) -> int:
    """Lists the cells, as the leader knows them."""
    fleet = operator.load(file).fleet
    if not fleet.control:
        raise ConfigError(f"{file}: fleet.control: found nothing, wanted a fleet's that has cells")
    wire = CellsWire(fleet.name, read_keys(fleet), fleet.most)
    rows, refused, page, pages = list[CellRow](), 0, 0, 1
    to = [machine.address for machine in control_machines(fleet)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as line:
        line.settimeout(AGAIN)
        while page < pages:
            answer = _described(line, wire, to, page)
            if answer is None or answer.leader is None:
                raise ConfigError(
                    f"{file}: fleet.control: no leader answered within {PATIENCE:.0f} s; "
                    "wanted a majority of the control machines up, and the fleet's key"
                )
            rows += answer.rows
            to, page, pages, refused = [answer.leader], page + 1, answer.pages, answer.rejected_requests
    gateways = sum(row.gateways for row in rows)
    print(f"fleet {fleet.name}: {len(rows)} cells, {gateways} gateways, {refused} questions refused")
    for row in rows:
        print(f"  {row.name:<40} {row.gateways:>4} gateways{', closing' if row.closing else ''}")
    return 0


def _described(
    line: socket.socket, wire: CellsWire, to: Sequence[Address], page: int
) -> DirectoryPage | None:
    """The leader's answer; whoever answers for it is not asked again."""
    question = wire.pack_message(CellsMessage(wire.fleet, "", 0, DirectoryRequest(page)))
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        for each in to:
            line.sendto(question, each)
        again = time.monotonic() + AGAIN
        while time.monotonic() < again:
            try:
                told = wire.read(line.recv(MAX_DATAGRAM_BYTES))
            except OSError:  # nobody yet, or nobody at one of the addresses
                continue
            body = told.body if isinstance(told, CellsMessage) else None
            if isinstance(body, DirectoryPage) and body.page == page and body.pages:
                return body
    return None


def forget(name: str, file: Path) -> int:
    """Has a member that is gone for good forgotten: all seeds are told, the one that coordinates answers."""
    fleet = operator.load(file).fleet
    if not fleet.name:
        raise ConfigError(f"{file}: fleet.name: found nothing, wanted a gateway's that keeps a view")
    if fleet.control:
        raise ConfigError(f"{file}: fleet.control: found control machines, wanted a fleet without cells")
    wire = Wire(fleet.name, read_keys(fleet), fleet.most)
    word = wire.pack(MemberMessage(fleet.name, "", 0, ForgetRequest(name), 0))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as line:
        line.settimeout(AGAIN)
        end = time.monotonic() + PATIENCE
        while time.monotonic() < end:
            for seed in fleet.seed_addresses():
                line.sendto(word, seed)
            try:
                message = wire.unpack(line.recv(MAX_DATAGRAM_BYTES))
            except OSError:  # nobody yet, or nobody at one of the addresses
                continue
            if message is not None and isinstance(message.body, ForgetResponse) and message.body.name == name:
                return _forgotten(message.body)
    raise ConfigError(
        f"{file}: fleet.seeds: no coordinator answered within {PATIENCE:.0f} s; wanted a "
        "majority of them up, and the fleet's key"
    )


def _forgotten(answer: ForgetResponse) -> int:
    if answer.is_running:
        print(f"{answer.name} is in the fleet, nothing is forgotten: end it, or wait until it is DEAD")
        return 1
    freed = (
        f"{answer.freed_slots} of {SLOT_COUNT} slots are free"
        if answer.freed_slots
        else "it held nothing known of"
    )
    print(f"{answer.name} is forgotten: {freed}")
    return 0


def view(given: argparse.Namespace) -> int:
    """Exit status; raises `ConfigError`."""
    end = time.monotonic() + given.wait
    while True:
        told = [(door, ask(door)) for door in given.door]
        reports = [decode(door, data) for door, data in told]
        amiss = differences(reports)
        if not amiss or time.monotonic() >= end:
            break
        time.sleep(AGAIN)
    if given.json:
        for _, data in told:
            print(data.decode().rstrip())
    else:
        for report in reports:
            print("\n".join(lines(report)))
        for each in amiss:
            print(f"amiss: {each}")
    return 1 if amiss else 0


def ask(door: str, path: str = "/fleet", key: str = "fleet.name") -> bytes:
    """The answer of one gateway; `key`: what has to be in its operator's file."""
    host, port = address(door, "HOST:PORT")
    line = http.client.HTTPConnection(host, port, timeout=PATIENCE)
    try:
        line.request("GET", path)
        answer = line.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise ConfigError(f"{door}: {error}; wanted the door (control) of a gateway that runs") from None
    finally:
        line.close()
    if answer.status == 404:
        what = "view" if path == "/fleet" else path.removeprefix("/")
        raise ConfigError(f"{door}: keeps no {what}, wanted a gateway with {key} in its operator's file")
    if answer.status != 200:
        raise ConfigError(f"{door}: {data.decode(errors='replace').strip()}")
    return data


def decode(door: str, data: bytes) -> FleetReport:
    try:
        return msgspec.json.decode(data, type=FleetReport)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{door}: not a gateway's answer: {error}") from None


def differences(reports: Sequence[FleetReport]) -> list[str]:
    """What keeps these gateways from being settled in one view, for a person."""
    found = [f"{r.name} is {r.standing}" for r in reports if r.standing != "settled"]
    found += [
        f"{r.name}: the view and who is live differ in {', '.join(r.differing_names)}"
        for r in reports
        if r.differing_names
    ]
    if len({r.fleet for r in reports}) > 1:
        found.append("these are of different fleets: " + ", ".join(sorted({r.fleet for r in reports})))
    for cell in sorted({r.cell for r in reports}):
        inside = [r for r in reports if r.cell == cell]
        if len({r.fleet for r in inside}) == 1 and len({r.view for r in inside}) > 1:
            found.append("; ".join(f"{r.name} holds view {_number(r.view)}" for r in inside))
    return found


def _number(view: tuple[int, int, int] | None) -> str:
    return ".".join(map(str, view)) if view is not None else "none"


def lines(report: FleetReport) -> list[str]:
    """One gateway's answer, for a person."""
    leads = f"{report.leader or 'nobody'}{' (this one)' if report.is_coordinator else ''}"
    made = [
        f"fleet {report.fleet}{f', cell {report.cell},' if report.cell else ''} as {report.name} knows it: "
        f"{report.standing}, view {_number(report.view)} of "
        f"{report.members}, coordinator {leads}, part {report.usable_fraction:.1%}, health {report.health}",
        f"  {'name':<20} {'state':<8} {'in view':<8} {'life':>4} {'since':>9}  {'version':<10} address",
    ]
    for each in report.known_members:
        made.append(
            f"  {each.name:<20} {each.state:<8} {'yes' if each.in_view else 'no':<8} {each.incarnation:>4} "
            f"{each.since_s:>7.1f} s  {each.version:<10} {each.address}"
        )
    if report.answered_s is not None:
        made.append(f"  a control machine answered {report.answered_s} s ago")
    if report.dropped:
        dropped = ", ".join(f"{why} {count}" for why, count in sorted(report.dropped.items()))
        made.append(f"  not believed: {dropped}")
    return made
