"""Simulates a fleet's membership in virtual time, with network faults and invariants checked at each step.

Only the members' cores decide; the world knows the state of every process and the true time.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import msgspec

from ....membership.actions import ExchangeTables, SendMessage, StatusEvent
from ....membership.identifiers import MS, SECOND, Address, ViewNumber
from ....membership.member import Member
from ....membership.messages import MemberMessage, TableSnapshot, View
from ....membership.settings import MemberSettings
from ....membership.slot_allocation import ALL_SLOTS, SLOT_COUNT
from .. import processes
from ..processes import InvariantViolated as InvariantViolated
from ..processes import ProcessGroup

LEASE_DURATION_NS = 2 * SECOND  # duration of slot leases, unless the settings say otherwise

DATAGRAM_HEADER_BYTES = 17  # bytes before the message in a datagram

Process = processes.Process[Member]


class World(ProcessGroup[Member]):
    """Runs the members of one fleet."""

    def __init__(
        self,
        seed: int,
        count: int,
        seeds: int = 3,
        drift: float = 0.0,
        settings: dict[str, object] | None = None,
    ) -> None:
        super().__init__(f"members:{seed}", drift)
        self._settings = {"lease_duration_ns": LEASE_DURATION_NS, **(settings or {})}
        self._seeds = tuple((f"10.0.0.{n}", 7000) for n in range(seeds))
        self.views: dict[ViewNumber, View] = {}
        self.issuers: dict[ViewNumber, str] = {}
        self.bytes_sent: dict[str, int] = {}  # by the names that are to be counted
        self.events: list[tuple[int, str, StatusEvent]] = []  # with true time and process name
        self._encode = msgspec.msgpack.Encoder().encode
        self.positions = {f"n{number}": (number, count) for number in range(count)}  # others have none
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> Process:
        """Adds a member that has not started."""
        name = f"n{number}"
        own_address = f"10.1.{number >> 8}.{number & 255}", 7000
        address = self._seeds[number] if number < len(self._seeds) else own_address
        return self._add_process(name, address)

    def start(self, process: Process) -> None:
        """Starts a new process under the name, without any state."""
        created_at_ms = self._register_start(process)
        position = self.positions.get(process.name, (-1, 0))
        settings = MemberSettings(
            "fleet",
            process.name,
            created_at_ms,
            process.address,
            self._seeds,
            "1",
            position=position,
            **self._settings,  # type: ignore[arg-type]
        )
        seed = self.rng.getrandbits(60)
        core = process.core = Member(settings, process.now(self.clock.now), seed)
        self._perform(process, core.start(process.now(self.clock.now)))
        self._schedule_ticks(process, core)

    def leave(self, process: Process) -> None:
        """Ends a process that announces its leave."""
        core = process.core
        if core is not None:
            self._perform(process, core.leave(process.now(self.clock.now)))
            process.core = None

    def _perform(self, process: Process, actions: Iterable[object]) -> None:
        for action in actions:
            match action:
                case SendMessage(to, message):
                    self._send(process, to, message)
                case ExchangeTables(to):
                    self._exchange_tables(process, to)
                case StatusEvent():
                    self._record(process, action)

    def _send(self, process: Process, to: Address, message: MemberMessage) -> None:
        target = self._by_address.get(to)
        if self.bytes_sent.get(process.name) is not None:
            self.bytes_sent[process.name] += len(self._encode(message)) + DATAGRAM_HEADER_BYTES
        if target is None:
            return
        conditions, rng = self.conditions, self.rng
        for _ in range(1 + (bool(conditions.duplication) and rng.random() < conditions.duplication)):
            if not (conditions.loss and rng.random() < conditions.loss):
                self.clock.after(self._draw_delay_ns(), partial(self._deliver, process, target, message))

    def _deliver(self, source: Process, target: Process, message: MemberMessage) -> None:
        core = target.core
        if core is None or (source.name, target.name) in self.severed_links:
            return
        self._run_when_awake(
            target, core, lambda: core.receive(target.now(self.clock.now), message, source.address)
        )

    def _exchange_tables(self, process: Process, to: Address) -> None:
        """Exchanges tables with another member; nothing happens if it or one direction is unreachable."""
        target, core = self._by_address.get(to), process.core
        if target is None or target is process or core is None:
            return
        table = core.table_snapshot()
        self.clock.after(3 * self._draw_delay_ns(), partial(self._swap, process, core, target, table))

    def _swap(self, process: Process, core: Member, target: Process, table: TableSnapshot) -> None:
        other = target.core
        is_severed = (process.name, target.name) in self.severed_links or (
            target.name,
            process.name,
        ) in self.severed_links
        if other is None or is_severed or process.core is not core:
            return

        def merge_at_target() -> Iterable[object]:
            now = target.now(self.clock.now)
            reply = other.table_snapshot()
            self.clock.after(
                self._draw_delay_ns(),
                lambda: self._run_when_awake(
                    process, core, lambda: core.merge(process.now(self.clock.now), reply)
                ),
            )
            return other.merge(now, table)

        self._run_when_awake(target, other, merge_at_target)

    def _violation(self, text: str) -> InvariantViolated:
        return InvariantViolated(f"{self.elapsed_ns / 1e9:.3f} s: {text}")

    def _record(self, process: Process, event: StatusEvent) -> None:
        self.events.append((self.elapsed_ns, process.name, event))
        details = event.details
        match event.kind:
            case "issued":
                self._check_issued(process, details["number"], details["parent"])  # type: ignore[arg-type]
            case "view":
                number, parent = details["number"], details["parent"]
                view = View(number, parent, details["members"])  # type: ignore[arg-type]
                if self.views.setdefault(view.number, view) != view:
                    raise self._violation(f"two views have the number {view.number}")
            case "part" if details["part"]:
                self.used_slots()
            case "leads":
                self.check_coordinators()

    def _check_issued(self, process: Process, number: ViewNumber, parent: ViewNumber) -> None:
        if self.issuers.setdefault(number, process.name) != process.name:
            raise self._violation(f"two processes issued view {number}")
        follows = parent == (*number[:2], number[2] - 1) if number[2] > 1 else parent < number
        if not follows:
            raise self._violation(f"view {number} must not have the parent {parent}")

    def used_slots(self) -> int:
        """Returns the slots that may be used at this instant; no two processes may use the same slot."""
        now, used = self.clock.now, 0
        for process in self.processes.values():
            slots = process.core.usable_slots(process.now(now)) if process.core is not None else 0
            if slots & used:
                raise self._violation(f"{process.name} uses slots that another process uses")
            used |= slots
        return used

    def check_coordinators(self) -> None:
        """Checks that at most one process is the coordinator."""
        now = self.clock.now
        coordinators = [
            p.name
            for p in self.processes.values()
            if p.core is not None and p.core.is_coordinator(p.now(now))
        ]
        if len(coordinators) > 1:
            raise self._violation(f"{coordinators} are coordinators at the same time")

    def running(self) -> list[str]:
        """Returns the names of the running processes."""
        return [name for name, process in self.processes.items() if process.core is not None]

    def unsettled_reason(self, among: Iterable[str] | None = None) -> str:
        """Returns why the running processes, or the named ones, have not settled, or an empty text.

        They have settled when each knows exactly the others as live, all hold one view of exactly these
        members, and each uses its share of the slots, together all slots.
        """
        names = set(among) if among is not None else set(self.running())
        cores = {name: core for name in names if (core := self.processes[name].core) is not None}
        if len(cores) < len(names):
            return "not all processes run"
        members = tuple(sorted(core.member_id for core in cores.values()))
        for name, core in cores.items():
            if core.member_table.live() != members:
                return f"{name} knows {len(core.member_table.live())} live members of {len(members)}"
            if core.view is None or core.view.members != members:
                return f"{name} holds view {core.view_number()}, which has other members"
            if core.view_number() != next(iter(cores.values())).view_number():
                return f"{name} holds view {core.view_number()}, others hold another one"
            slots = core.usable_slots(self.processes[name].now(self.clock.now)).bit_count()
            min_slots = SLOT_COUNT // len(members)
            if not min_slots <= slots <= min_slots + min_slots // 8 + 4:
                return f"{name} uses {slots} of {SLOT_COUNT} slots"
        if among is None and self.used_slots() != ALL_SLOTS:
            return "some slots have no member"
        return ""

    def start_all(self, limit_ns: int, interval_ns: int = 50 * MS) -> int:
        """Starts all processes at once; returns the ns until they have settled."""
        for process in list(self.processes.values()):
            self.start(process)
        return self.until_settled(limit_ns, interval_ns=interval_ns)

    def until_settled(
        self, limit_ns: int, among: Iterable[str] | None = None, interval_ns: int = 50 * MS
    ) -> int:
        """Runs until the processes have settled, and returns the ns that this took.

        Raises `InvariantViolated` if it takes longer than `limit_ns`.
        """
        start_ns = self.elapsed_ns
        while reason := self.unsettled_reason(among):
            if self.elapsed_ns - start_ns >= limit_ns:
                raise self._violation(f"not settled after {limit_ns / SECOND:.1f} s: {reason}")
            self.run_until(self.elapsed_ns + interval_ns)
        return self.elapsed_ns - start_ns
