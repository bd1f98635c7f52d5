"""Runs the leader's directory and makes each cell's control machines seed it.

- Every entry is sent to its seeds until they report it with that number; a process that restarts is sent all
  its entries again. Seeds of a retired cell are notified as long as they report it.
- A report that does not fit into one datagram arrives in pages, and is applied only when it is complete.
- Each report is answered with a receipt, which stops its repetition.
"""

from __future__ import annotations

from typing import NamedTuple

from ..membership.identifiers import MS, NO_VIEW, SECOND, Address, Epoch, MemberId, ViewNumber
from .directory import Directory, MoveRequest
from .messages import (
    CellReport,
    CellRow,
    DirectoryPage,
    ForwardedPlacement,
    ForwardedRequest,
    MessageBody,
    MoveGateways,
    ReportReceipt,
    RetireCell,
    SeedCell,
)
from .topology import CellPolicy, ControlMachine

TICK_INTERVAL_NS = 250 * MS  # time between two runs of `tick`
RESEND_INTERVAL_NS = 1 * SECOND  # time until an entry is sent again to a seed that has not reported it
MAX_REPORT_PAGES = 64  # a cell has far fewer gateways than so many pages hold
ROWS_PER_PAGE = 8  # number of cells with the longest names that fit into one page of the directory
MAX_PARTIAL_REPORTS = 1_024  # limit of reports with missing pages


class AddressedBody(NamedTuple):
    """Holds a message to send in the leader's epoch, and its address."""

    address: Address
    body: MessageBody


class _SeedEntry(NamedTuple):
    """Identifies an entry of the directory at one of its seeds."""

    cell_name: str
    seed: Address


class _PartialReport(NamedTuple):
    """Holds the pages of one report that have arrived."""

    view_number: ViewNumber
    members: dict[int, tuple[MemberId, ...]]


class DirectoryLeader:
    """Acts as the leader of one epoch."""

    def __init__(
        self, now_ns: int, epoch: Epoch, policy: CellPolicy, machines: tuple[ControlMachine, ...]
    ) -> None:
        self.epoch = epoch
        self.directory = Directory(now_ns, epoch, policy, machines)
        self._machines = {machine.name: machine for machine in machines}
        self._reported: dict[_SeedEntry, ViewNumber] = {}
        self._sent_at_ns: dict[_SeedEntry, int] = {}
        self._created_at_ms: dict[str, int] = {}  # creation times of the control machines, by name
        self._partial_reports: dict[tuple[str, str], _PartialReport] = {}  # keyed by machine and cell name
        self._tick_at_ns = now_ns

    def place(self, now_ns: int, forwarded: ForwardedRequest) -> ForwardedPlacement | None:
        """Returns the placement of a gateway, or None where it has none yet."""
        request = forwarded.request
        placement = self.directory.place(now_ns, forwarded.member_id, request)
        if placement is None:
            return None
        return ForwardedPlacement(forwarded.member_id, request.address, placement)

    def record_report(self, now_ns: int, machine: ControlMachine, report: CellReport) -> list[MessageBody]:
        """Records a control machine's report of a cell and returns the answers."""
        name = report.cell.name
        if (retired := self.directory.retired.get(name)) is not None:
            return [RetireCell(name, retired.number)]
        members = self._assembled_members(machine.name, report)
        if members is None:
            return []
        self.directory.record_report(now_ns, report.cell, report.view_number, members)
        entry = self.directory.entries.get(name)
        if entry is None:
            return []
        self._reported[_SeedEntry(name, machine.address)] = report.cell.number
        receipt = ReportReceipt(name, report.cell.number, report.view_number)
        if entry.cell.number > report.cell.number:
            return [receipt, SeedCell(entry.cell)]
        return [receipt]

    def directory_page(self, page: int, address: Address) -> DirectoryPage:
        """Returns one page of all cells, counted from 0; `address` is that of the leader."""
        entries = sorted(self.directory.entries.values(), key=lambda entry: entry.cell.name)
        pages = max(1, -(-len(entries) // ROWS_PER_PAGE))
        shown = entries[page * ROWS_PER_PAGE : (page + 1) * ROWS_PER_PAGE] if page >= 0 else []
        rows = tuple(CellRow(each.cell.name, len(each.members), each.cell.closing) for each in shown)
        return DirectoryPage(address, page, pages, self.directory.rejected_requests, rows)

    def tick(self, now_ns: int, live: dict[str, int]) -> list[AddressedBody]:
        """Returns the messages that are due.

        `live` holds the creation times in ms of the live control machines, by name.
        """
        if now_ns < self._tick_at_ns:
            return []
        self._tick_at_ns = now_ns + TICK_INTERVAL_NS
        self._detect_restarts(live)
        before = set(self.directory.entries)
        messages = _move_messages(self.directory.tick(now_ns, frozenset(live)))
        for name in before - self.directory.entries.keys():
            messages += self._retire_messages(name)
        live_addresses = {self._machines[name].address for name in live if name in self._machines}
        return messages + self._seed_messages(now_ns, live_addresses)

    def _assembled_members(self, machine_name: str, report: CellReport) -> tuple[MemberId, ...] | None:
        """Returns all members once all pages of one view have arrived, and None before."""
        if report.pages == 1:
            return report.members
        if not 0 <= report.page < report.pages <= MAX_REPORT_PAGES:
            return None
        key = machine_name, report.cell.name
        partial = self._partial_reports.get(key)
        if partial is None or partial.view_number != report.view_number:
            if len(self._partial_reports) >= MAX_PARTIAL_REPORTS:
                del self._partial_reports[next(iter(self._partial_reports))]
            partial = self._partial_reports[key] = _PartialReport(report.view_number, {})
        partial.members[report.page] = report.members
        if len(partial.members) < report.pages:
            return None
        del self._partial_reports[key]
        return tuple(member_id for page in sorted(partial.members) for member_id in partial.members[page])

    def _detect_restarts(self, live: dict[str, int]) -> None:
        for name, created_at_ms in live.items():
            machine = self._machines.get(name)
            if machine is not None and self._created_at_ms.get(name) != created_at_ms:
                self._created_at_ms[name] = created_at_ms
                self._forget_reported(machine.address)

    def _forget_reported(self, address: Address) -> None:
        """Drops what the seed at this address has reported, as a restarted process has no entries."""
        for key in [key for key in self._reported if key.seed == address]:
            del self._reported[key]
        for key in [key for key in self._sent_at_ns if key.seed == address]:
            del self._sent_at_ns[key]

    def _retire_messages(self, name: str) -> list[AddressedBody]:
        retired = self.directory.retired[name]
        for seed in retired.seeds:
            self._reported.pop(_SeedEntry(name, seed), None)
            self._sent_at_ns.pop(_SeedEntry(name, seed), None)
        return [AddressedBody(seed, RetireCell(name, retired.number)) for seed in retired.seeds]

    def _seed_messages(self, now_ns: int, live_addresses: set[Address]) -> list[AddressedBody]:
        """Returns the entries that live seeds have not reported yet and that are due to be sent."""
        messages = []
        for entry in self.directory.entries.values():
            cell = entry.cell
            for seed in cell.seeds:
                key = _SeedEntry(cell.name, seed)
                is_behind = self._reported.get(key, NO_VIEW) < cell.number
                sent_at_ns = self._sent_at_ns.get(key, now_ns - RESEND_INTERVAL_NS)
                if is_behind and seed in live_addresses and now_ns - sent_at_ns >= RESEND_INTERVAL_NS:
                    self._sent_at_ns[key] = now_ns
                    messages.append(AddressedBody(seed, SeedCell(cell)))
        return messages


def _move_messages(requests: list[MoveRequest]) -> list[AddressedBody]:
    """Returns each request as messages to all seeds of the cell, any of which may reach the gateway."""
    return [
        AddressedBody(seed, MoveGateways(request.cell.name, (request.gateway,), request.placement))
        for request in requests
        for seed in request.cell.seeds
    ]
