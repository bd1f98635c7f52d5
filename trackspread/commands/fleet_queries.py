"""Implements `trackspread fleet cells` and `fleet forget`, which send datagrams to the leaders of the fleet.

An error of the operator is one line (`ConfigError`).
"""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from pathlib import Path

from ..cells.messages import CellRow, CellsMessage, DirectoryPage, DirectoryRequest
from ..cells.wire import CellsWire
from ..config import operator
from ..config.addresses import ConfigError
from ..membership.identifiers import Address
from ..membership.messages import ForgetRequest, ForgetResponse, MemberMessage
from ..membership.slot_allocation import SLOT_COUNT
from ..membership.wire import MAX_DATAGRAM_BYTES, Wire
from ..node.cell_part import control_machines
from ..node.fleet_keys import read_keys

TIMEOUT_S = 3.0  # time-out of a request
RESEND_INTERVAL_S = 0.2


def cells(file: Path) -> int:
    """Prints the cells in the directory of its leader and returns the exit status; raises `ConfigError`.

    `file` is the operator's file of any process of the fleet.
    """
    fleet = operator.load(file).fleet
    if not fleet.control:
        raise ConfigError(
            f"{file}: fleet.control: must name the control machines of a fleet with cells, got nothing"
        )
    wire = CellsWire(fleet.name, read_keys(fleet), fleet.most)
    rows: list[CellRow] = []
    rejected_requests = 0
    page = 0
    pages = 1
    destinations = [machine.address for machine in control_machines(fleet)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        datagrams.settimeout(RESEND_INTERVAL_S)
        while page < pages:
            response = _request_page(datagrams, wire, destinations, page)
            if response is None or response.leader is None:
                raise ConfigError(
                    f"{file}: fleet.control: no leader answered within {TIMEOUT_S:.0f} s; a "
                    "majority of the control machines must run, with the fleet's key"
                )
            rows += response.rows
            destinations = [response.leader]
            page += 1
            pages = response.pages
            rejected_requests = response.rejected_requests
    gateways = sum(row.gateways for row in rows)
    print(
        f"fleet {fleet.name}: {len(rows)} cells, {gateways} gateways, {rejected_requests} rejected requests"
    )
    for row in rows:
        print(f"  {row.name:<40} {row.gateways:>4} gateways{', closing' if row.closing else ''}")
    return 0


def _request_page(
    datagrams: socket.socket, wire: CellsWire, destinations: Sequence[Address], page: int
) -> DirectoryPage | None:
    """Requests a page of the directory until the time-out; returns None if it does not arrive."""
    request = wire.pack_message(CellsMessage(wire.fleet, "", 0, DirectoryRequest(page)))
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        for destination in destinations:
            datagrams.sendto(request, destination)
        resend_at = time.monotonic() + RESEND_INTERVAL_S
        while time.monotonic() < resend_at:
            try:
                message = wire.read(datagrams.recv(MAX_DATAGRAM_BYTES))
            except OSError:  # no response yet, or no process listens at one of the addresses
                continue
            body = message.body if isinstance(message, CellsMessage) else None
            if isinstance(body, DirectoryPage) and body.page == page and body.pages:
                return body
    return None


def forget(name: str, file: Path) -> int:
    """Makes the coordinator forget a member and returns the exit status; raises `ConfigError`.

    The request goes to all seeds, and the coordinator among them responds. `file` is the operator's file of
    any gateway of the fleet.
    """
    fleet = operator.load(file).fleet
    if not fleet.name:
        raise ConfigError(f"{file}: fleet.name: must be the name of a fleet, got nothing")
    if fleet.control:
        raise ConfigError(
            f"{file}: fleet.control: must be empty, as of a fleet without cells, got control machines"
        )
    wire = Wire(fleet.name, read_keys(fleet), fleet.most)
    response = _request_forgetting(wire, name, fleet.seed_addresses())
    if response is None:
        raise ConfigError(
            f"{file}: fleet.seeds: no coordinator answered within {TIMEOUT_S:.0f} s; a "
            "majority of the seeds must run, with the fleet's key"
        )
    return _print_forgotten(response)


def _request_forgetting(wire: Wire, name: str, seeds: Sequence[Address]) -> ForgetResponse | None:
    request = wire.pack(MemberMessage(wire.fleet, "", 0, ForgetRequest(name), 0))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        datagrams.settimeout(RESEND_INTERVAL_S)
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            for seed in seeds:
                datagrams.sendto(request, seed)
            try:
                message = wire.unpack(datagrams.recv(MAX_DATAGRAM_BYTES))
            except OSError:  # no response yet, or no process listens at one of the addresses
                continue
            if message is not None and isinstance(message.body, ForgetResponse) and message.body.name == name:
                return message.body
    return None


def _print_forgotten(response: ForgetResponse) -> int:
    if response.is_running:
        print(f"{response.name} is in the fleet and is not forgotten: stop it, or wait until it is DEAD")
        return 1
    freed = "it held no known slots"
    if response.freed_slots:
        freed = f"{response.freed_slots} of {SLOT_COUNT} slots are freed"
    print(f"{response.name} is forgotten: {freed}")
    return 0
