"""`trackspread fleet cells` and `fleet forget`: requests to the fleet's leaders by datagrams.

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

TIMEOUT_S = 3.0  # until a request has failed
RESEND_INTERVAL_S = 0.2


def cells(file: Path) -> int:
    """Prints the cells that the directory's leader knows and returns the exit status; raises `ConfigError`.

    `file` is the operator's file of any process of the fleet.
    """
    fleet = operator.load(file).fleet
    if not fleet.control:
        raise ConfigError(f"{file}: fleet.control: found nothing, wanted a fleet's that has cells")
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
                    f"{file}: fleet.control: no leader answered within {TIMEOUT_S:.0f} s; "
                    "wanted a majority of the control machines up, and the fleet's key"
                )
            rows += response.rows
            destinations = [response.leader]
            page += 1
            pages = response.pages
            rejected_requests = response.rejected_requests
    gateways = sum(row.gateways for row in rows)
    print(
        f"fleet {fleet.name}: {len(rows)} cells, {gateways} gateways, {rejected_requests} questions refused"
    )
    for row in rows:
        print(f"  {row.name:<40} {row.gateways:>4} gateways{', closing' if row.closing else ''}")
    return 0


def _request_page(
    datagrams: socket.socket, wire: CellsWire, destinations: Sequence[Address], page: int
) -> DirectoryPage | None:
    """Returns a page of the directory, or None after the time-out."""
    request = wire.pack_message(CellsMessage(wire.fleet, "", 0, DirectoryRequest(page)))
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        for destination in destinations:
            datagrams.sendto(request, destination)
        resend_at = time.monotonic() + RESEND_INTERVAL_S
        while time.monotonic() < resend_at:
            try:
                message = wire.read(datagrams.recv(MAX_DATAGRAM_BYTES))
            except OSError:  # no response yet, or nobody listens at one of the addresses
                continue
            body = message.body if isinstance(message, CellsMessage) else None
            if isinstance(body, DirectoryPage) and body.page == page and body.pages:
                return body
    return None


def forget(name: str, file: Path) -> int:
    """Has the coordinator forget a member and returns the exit status; raises `ConfigError`.

    The request goes to all seeds, of which the coordinator responds. `file` is the operator's file of any
    gateway of the fleet.
    """
    fleet = operator.load(file).fleet
    if not fleet.name:
        raise ConfigError(f"{file}: fleet.name: found nothing, wanted a gateway's that keeps a view")
    if fleet.control:
        raise ConfigError(f"{file}: fleet.control: found control machines, wanted a fleet without cells")
    wire = Wire(fleet.name, read_keys(fleet), fleet.most)
    response = _request_forgetting(wire, name, fleet.seed_addresses())
    if response is None:
        raise ConfigError(
            f"{file}: fleet.seeds: no coordinator answered within {TIMEOUT_S:.0f} s; wanted a "
            "majority of them up, and the fleet's key"
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
            except OSError:  # no response yet, or nobody listens at one of the addresses
                continue
            if message is not None and isinstance(message.body, ForgetResponse) and message.body.name == name:
                return message.body
    return None


def _print_forgotten(response: ForgetResponse) -> int:
    if response.is_running:
        print(f"{response.name} is in the fleet, nothing is forgotten: end it, or wait until it is DEAD")
        return 1
    freed = "it held nothing known of"
    if response.freed_slots:
        freed = f"{response.freed_slots} of {SLOT_COUNT} slots are free"
    print(f"{response.name} is forgotten: {freed}")
    return 0
