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

from ..config import operator
from ..config.addresses import ConfigError, address
from ..membership.report import Report
from ..membership.slots import SLOTS
from ..membership.terms import Forget, Forgotten, Letter
from ..membership.wire import DATAGRAM, Wire
from ..node.membered import keys

PATIENCE = 3.0  # s for one answer
AGAIN = 0.2  # s between questions while waiting


def run(given: argparse.Namespace) -> int:
    """Exit status; raises `ConfigError`."""
    return forget(given.name, Path(given.file)) if given.fleet == "forget" else view(given)


def forget(name: str, file: Path) -> int:
    """Has a member that is gone for good forgotten: all seeds are told, the one that coordinates answers."""
    fleet = operator.load(file).fleet
    if not fleet.name:
        raise ConfigError(f"{file}: fleet.name: found nothing, wanted a gateway's that keeps a view")
    wire = Wire(fleet.name, keys(fleet), fleet.most)
    word = wire.pack(Letter(fleet.name, "", 0, Forget(name), 0))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as line:
        line.settimeout(AGAIN)
        end = time.monotonic() + PATIENCE
        while time.monotonic() < end:
            for seed in fleet.seed_addresses():
                line.sendto(word, seed)
            try:
                letter = wire.unpack(line.recv(DATAGRAM))
            except OSError:  # nobody yet, or nobody at one of the addresses
                continue
            if letter is not None and isinstance(letter.body, Forgotten) and letter.body.name == name:
                return _forgotten(letter.body)
    raise ConfigError(f"{file}: fleet.seeds: no coordinator answered within {PATIENCE:.0f} s; wanted a "
                      "majority of them up, and the fleet's key")


def _forgotten(answer: Forgotten) -> int:
    if answer.runs:
        print(f"{answer.name} is in the fleet, nothing is forgotten: end it, or wait until it is DEAD")
        return 1
    freed = f"{answer.slots} of {SLOTS} slots are free" if answer.slots else "it held nothing known of"
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


def decode(door: str, data: bytes) -> Report:
    try:
        return msgspec.json.decode(data, type=Report)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{door}: not a gateway's answer: {error}") from None


def differences(reports: Sequence[Report]) -> list[str]:
    """What keeps these gateways from being settled in one view, for a person."""
    found = [f"{r.name} is {r.standing}" for r in reports if r.standing != "settled"]
    found += [f"{r.name}: the view and who is live differ in {', '.join(r.differ)}"
              for r in reports if r.differ]
    if len({r.fleet for r in reports}) > 1:
        found.append("these are of different fleets: " + ", ".join(sorted({r.fleet for r in reports})))
    elif len({r.view for r in reports}) > 1:
        found.append("; ".join(f"{r.name} holds view {_number(r.view)}" for r in reports))
    return found


def _number(view: tuple[int, int, int] | None) -> str:
    return ".".join(map(str, view)) if view is not None else "none"


def lines(report: Report) -> list[str]:
    """One gateway's answer, for a person."""
    leads = f"{report.leader or 'nobody'}{' (this one)' if report.leads else ''}"
    made = [
        f"fleet {report.fleet} as {report.name} knows it: {report.standing}, view {_number(report.view)} of "
        f"{report.members}, coordinator {leads}, part {report.part:.1%}, health {report.health}",
        f"  {'name':<20} {'state':<8} {'in view':<8} {'life':>4} {'since':>9}  {'version':<10} address",
    ]
    for each in report.seen:
        made.append(
            f"  {each.name:<20} {each.state:<8} {'yes' if each.in_view else 'no':<8} {each.life:>4} "
            f"{each.since_s:>7.1f} s  {each.version:<10} {each.address}"
        )
    if report.dropped:
        dropped = ", ".join(f"{why} {count}" for why, count in sorted(report.dropped.items()))
        made.append(f"  not believed: {dropped}")
    return made
