"""Simulates two-level membership in virtual time: control machines, and gateways in zones.

Only the cores decide; the world knows the state of every process and the true time, and checks invariants at
each step.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import partial
from itertools import combinations

import msgspec

from ....cells.actions import CellJoined, CellLeft, LeadershipChanged, MemberAction, SendCellsMessage
from ....cells.controller import Controller, ControlSettings
from ....cells.gateway import Gateway, GatewaySettings
from ....cells.messages import Cell, CellsMessage, Placement, PlacementNotice, PlacementRequest
from ....cells.topology import CellPolicy, ControlMachine, Zone
from ....membership.actions import ExchangeTables, SendMessage, StatusEvent
from ....membership.identifiers import SECOND, Address, MemberId, ViewNumber
from ....membership.member import Member
from ....membership.messages import MemberMessage, TableSnapshot, View
from ....membership.slot_allocation import ALL_SLOTS
from .. import processes
from ..processes import InvariantViolated, ProcessGroup

Core = Controller | Gateway
Process = processes.Process[Core]

FLEET = "fleet"
POLICY = CellPolicy()
LEASE_DURATION_NS = 2 * SECOND  # duration of slot leases, unless a world has another
DATAGRAM_HEADER_BYTES = 19  # mark and digest before the message in a datagram
TABLE_LENGTH_BYTES = 4  # length before a table


def control_machines(regions: int, machines: int, zones: int = 3) -> tuple[ControlMachine, ...]:
    """Returns control machines that are spread over all regions and their zones."""
    return tuple(
        ControlMachine(f"c{n}", f"r{n % regions}", f"z{n // regions % zones}", (f"10.0.0.{n}", 7500))
        for n in range(machines)
    )


class CellsWorld(ProcessGroup[Core]):
    """Runs gateways, whose names begin with g, and control machines, whose names begin with c."""

    def __init__(
        self,
        seed: int,
        regions: int = 2,
        machines: int = 7,
        zones: int = 3,
        drift: float = 0.0,
        policy: CellPolicy = POLICY,
        lease_duration_ns: int = LEASE_DURATION_NS,
    ) -> None:
        super().__init__(f"cells:{seed}", drift)
        self.machines = control_machines(regions, machines, zones)
        self._policy = policy
        self._lease_duration_ns = lease_duration_ns
        self.zones = [Zone(f"r{r}", f"z{z}") for r in range(regions) for z in range(zones)]
        self._zone_of: dict[str, Zone] = {}
        # Largest additional delay of messages on cells; messages between a cell's members do not have it.
        self.max_cells_message_delay_ns = 0
        self._joined: dict[str, int] = {}  # number of the start of each gateway that is in a cell
        self._retired: set[tuple[str, str]] = set()  # control machines' processes and cells
        self.gateways_in_retired: list[str] = []  # gateways that were in a cell when it was retired
        self.severed_regions: set[tuple[str, str]] = set()  # directions
        self.views: dict[tuple[str, ViewNumber], View] = {}
        self.newest_entries: dict[tuple[str, str], ViewNumber] = {}  # by control machine's process and cell
        self.newest_notices: dict[tuple[str, int], ViewNumber] = {}  # by a gateway's process
        self.followed: dict[tuple[str, int], Placement] = {}  # placement by a gateway's process
        self._members: dict[str, tuple[int, Member]] = {}  # number of a gateway's start, and its member
        self.former_members: list[tuple[Process, int, Member]] = []  # in cells that gateways have left
        self.bytes_sent: Counter[str] = Counter()  # by process
        self.bytes_received: Counter[str] = Counter()  # by process
        self.datagrams: Counter[str] = Counter()  # sent datagrams by process
        self.placement_requests: Counter[str] = Counter()  # sent requests by process
        self.events: list[tuple[int, str, object]] = []  # with true time and process name
        self._encode = msgspec.msgpack.Encoder().encode
        for machine in self.machines:
            self._add_process(machine.name, machine.address)
            self._zone_of[machine.name] = Zone(machine.region, machine.zone)

    def add(self, zone: Zone) -> Process:
        """Adds a gateway that has not started."""
        number = sum(name.startswith("g") for name in self.processes)
        self._zone_of[f"g{number}"] = zone
        return self._add_process(f"g{number}", (f"10.{1 + (number >> 8)}.{number & 255}.1", 7000))

    def populate(self, gateways_per_zone: int) -> None:
        """Adds this number of gateways in every zone."""
        for _ in range(gateways_per_zone):
            for zone in self.zones:
                self.add(zone)

    def start(self, process: Process) -> None:
        """Starts a new process under the name, without any state."""
        created_at_ms = self._register_start(process)
        now, seed = process.now(self.clock.now), self.rng.getrandbits(60)
        core: Core
        if process.name.startswith("c"):
            core = Controller(
                ControlSettings(
                    FLEET,
                    process.name,
                    created_at_ms,
                    self.machines,
                    "1",
                    self._policy,
                    lease_duration_ns=self._lease_duration_ns,
                ),
                now,
                seed,
            )
        else:
            core = Gateway(
                GatewaySettings(
                    FLEET,
                    process.name,
                    created_at_ms,
                    process.address,
                    self._zone_of[process.name],
                    self.machines,
                    "1",
                    lease_duration_ns=self._lease_duration_ns,
                ),
                now,
                seed,
            )
        process.core = core
        self._perform(process, core.start(now))
        self._schedule_ticks(process, core)

    def leave(self, process: Process) -> None:
        """Ends a process that announces its leave."""
        if (core := process.core) is not None:
            self._perform(process, core.leave(process.now(self.clock.now)))
            process.core = None

    def processes_of(self, prefix: str, zone: Zone | None = None, region: str = "") -> list[Process]:
        """Returns the processes of a kind, "g" or "c", in a zone or region if one is given."""
        return [
            p
            for name, p in self.processes.items()
            if name.startswith(prefix)
            and zone in (None, self._zone_of[name])
            and region in ("", self._zone_of[name].region)
        ]

    def at_address(self, address: Address) -> Process:
        """Returns the process at an address."""
        return self._by_address[address]

    def controllers(self) -> list[tuple[Process, Controller]]:
        """Returns the running control machines."""
        return [(p, p.core) for p in self.processes.values() if isinstance(p.core, Controller)]

    def gateways(self) -> list[tuple[Process, Gateway]]:
        """Returns the running gateways."""
        return [(p, p.core) for p in self.processes.values() if isinstance(p.core, Gateway)]

    def leader(self) -> Process | None:
        """Returns the leader at this instant, if any; there must not be two."""
        found = [p for p, core in self.controllers() if core.is_leader(p.now(self.clock.now))]
        if len(found) > 1:
            raise self._violation(f"{[p.name for p in found]} are leaders at the same time")
        return found[0] if found else None

    def cut_off(self, region: str, others: Iterable[str]) -> None:
        """Severs all links between a region and others."""
        for other in others:
            self.severed_regions |= {(region, other), (other, region)}

    def heal_regions(self) -> None:
        """Restores all links between regions."""
        self.severed_regions.clear()

    def severed(self, source: Process, target: Process) -> bool:
        """Returns whether no message from one process reaches the other."""
        regions = self._zone_of[source.name].region, self._zone_of[target.name].region
        return regions in self.severed_regions or super().severed(source, target)

    def _perform(self, process: Process, actions: Iterable[object]) -> None:
        for action in actions:
            match action:
                case SendCellsMessage(to, message):
                    self._send(process, to, message)
                case MemberAction(_, SendMessage(to, member_message)):
                    self._send(process, to, member_message)
                case MemberAction(fleet, ExchangeTables(to)):
                    self._exchange_tables(process, fleet, to)
                case MemberAction(fleet, StatusEvent() as event):
                    self._record_member_event(process, fleet, event)
                case CellJoined() | CellLeft() | LeadershipChanged() | StatusEvent():
                    self._record_event(process, action)

    def _send(self, process: Process, to: Address, message: MemberMessage | CellsMessage) -> None:
        size = len(self._encode(message)) + DATAGRAM_HEADER_BYTES
        self.bytes_sent[process.name] += size
        self.datagrams[process.name] += 1
        is_cells_message = isinstance(message, CellsMessage)
        if isinstance(message, CellsMessage) and isinstance(message.body, PlacementRequest):
            self.placement_requests[process.name] += 1
        target = self._by_address.get(to)
        if target is None:
            return
        conditions, rng = self.conditions, self.rng
        for _ in range(1 + (bool(conditions.duplication) and rng.random() < conditions.duplication)):
            if not (conditions.loss and rng.random() < conditions.loss):
                delay_ns = self._draw_delay_ns()
                if self.max_cells_message_delay_ns and is_cells_message:
                    delay_ns += rng.randint(0, self.max_cells_message_delay_ns)
                self.clock.after(delay_ns, partial(self._deliver, process, target, message, size))

    def _deliver(
        self, source: Process, target: Process, message: MemberMessage | CellsMessage, size: int
    ) -> None:
        core = target.core
        if core is None or self.severed(source, target):
            return
        self.bytes_received[target.name] += size

        def receive() -> Iterable[object]:
            now = target.now(self.clock.now)
            if isinstance(message, MemberMessage):
                return core.receive(now, message, source.address)
            self._record_notice(target, core, message)
            return core.receive_cells_message(now, message, source.address)

        self._run_when_awake(target, core, receive)
        self._check_placement(target)

    def _exchange_tables(self, process: Process, fleet: str, to: Address) -> None:
        """Exchanges tables with another member; nothing happens if it or one direction is unreachable."""
        target, core = self._by_address.get(to), process.core
        if target is None or target is process or core is None:
            return
        table = core.table_snapshot(fleet)
        if table is not None:
            self.clock.after(3 * self._draw_delay_ns(), partial(self._swap, process, core, target, table))

    def _swap(self, process: Process, core: Core, target: Process, table: TableSnapshot) -> None:
        other = target.core
        is_severed = self.severed(process, target) or self.severed(target, process)
        if other is None or is_severed or process.core is not core:
            return
        self._count_table(process, target, table)

        def merge_at_target() -> Iterable[object]:
            now = target.now(self.clock.now)
            reply = other.table_snapshot(table.fleet)
            if reply is not None:
                self._count_table(target, process, reply)
                self.clock.after(
                    self._draw_delay_ns(),
                    lambda: self._run_when_awake(
                        process, core, lambda: core.merge(process.now(self.clock.now), reply)
                    ),
                )
            return other.merge(now, table)

        self._run_when_awake(target, other, merge_at_target)

    def _count_table(self, source: Process, target: Process, table: TableSnapshot) -> None:
        size = len(self._encode(table)) + DATAGRAM_HEADER_BYTES + TABLE_LENGTH_BYTES
        self.bytes_sent[source.name] += size
        self.bytes_received[target.name] += size

    def _violation(self, text: str) -> InvariantViolated:
        return InvariantViolated(f"{self.elapsed_ns / 1e9:.3f} s: {text}")

    def _record_notice(self, process: Process, core: Core, message: CellsMessage) -> None:
        """Records the newest placement that a gateway's process was notified of."""
        body = message.body
        if (
            isinstance(core, Gateway)
            and isinstance(body, PlacementNotice)
            and body.member_id == core.member_id
        ):
            key = process.name, process.starts
            newest = self.newest_notices.get(key, (0, -1, 0))
            self.newest_notices[key] = max(newest, body.placement.number)

    def _check_placement(self, process: Process) -> None:
        """Checks that a gateway follows no older placement after a newer notice."""
        core = process.core
        if not isinstance(core, Gateway) or core.placement is None:
            return
        key = process.name, process.starts
        before = self.followed.get(key)
        number, newest = core.placement.number, self.newest_notices.get(key, (0, -1, 0))
        if before is not None and number < before.number:
            raise self._violation(f"{process.name} returns from placement {before.number} to {number}")
        if number < newest:
            raise self._violation(f"{process.name} follows placement {number} after a notice of {newest}")
        self.followed[key] = core.placement

    def _record_event(
        self, process: Process, event: CellJoined | CellLeft | LeadershipChanged | StatusEvent
    ) -> None:
        self.events.append((self.elapsed_ns, process.name, event))
        if isinstance(event, LeadershipChanged) and event.epoch is not None:
            self.leader()
        if isinstance(event, CellJoined):
            if self._joined.get(process.name) == process.starts:
                raise self._violation(f"{process.name} joins a cell before it has left another")
            self._joined[process.name] = process.starts
        elif isinstance(event, CellLeft):
            self._joined.pop(process.name, None)
        if isinstance(event, StatusEvent) and event.kind in ("seeds", "retired"):
            key = f"{process.name}#{process.starts}", str(event.details["cell"])
            if event.kind == "retired":
                self._retired.add(key)
            elif key in self._retired:
                raise self._violation(f"{process.name} seeds the retired cell {key[1]} again")
        if isinstance(event, StatusEvent) and event.kind == "retired":
            self.gateways_in_retired += [
                p.name
                for p, core in self.gateways()
                if core.placement is not None and core.placement.cell.name == event.details["cell"]
            ]

    def _record_member_event(self, process: Process, fleet: str, event: StatusEvent) -> None:
        self.events.append((self.elapsed_ns, process.name, MemberAction(fleet, event)))
        if event.kind == "view":
            details = event.details
            view = View(details["number"], details["parent"], details["members"])  # type: ignore[arg-type]
            if self.views.setdefault((fleet, view.number), view) != view:
                raise self._violation(f"two views of {fleet} have the number {view.number}")

    def check(self) -> None:
        """Checks all invariants at this instant."""
        self.leader()
        self._check_coordinators()
        self._check_slots()
        self._check_entries()

    def _check_coordinators(self) -> None:
        now, found = self.clock.now, Counter[str]()
        for process, core in self.controllers():
            found.update(
                name for name, seeded in core.cells.items() if seeded.member.is_coordinator(process.now(now))
            )
        if any(count > 1 for count in found.values()):
            raise self._violation(f"a cell has two coordinators: {found}")

    def _check_slots(self) -> None:
        """Checks that each slot has one gateway, and that no gateway uses slots of a former cell."""
        used = dict[str, int]()
        for process, core in self.gateways():
            if core.member is not None:
                self._record_member(process, core.member)
                self._add_used_slots(used, core.member, process)
        self.former_members = [
            each for each in self.former_members if each[0].starts == each[1] and each[0].core is not None
        ]
        for process, _, member in self.former_members:
            if member.usable_slots(process.now(self.clock.now)):
                raise self._violation(
                    f"{process.name} uses slots of {member.settings.fleet}, which it has left"
                )

    def _record_member(self, process: Process, member: Member) -> None:
        """Records a gateway's current member; a former one must have no usable slots from now on."""
        before = self._members.get(process.name)
        if before is not None and before[0] == process.starts and before[1] is not member:
            self.former_members.append((process, *before))
        self._members[process.name] = process.starts, member

    def _add_used_slots(self, used: dict[str, int], member: Member, process: Process) -> None:
        fleet, slots = member.settings.fleet, member.usable_slots(process.now(self.clock.now))
        if slots & used.get(fleet, 0):
            raise self._violation(f"{process.name} uses slots of {fleet} that another gateway uses")
        used[fleet] = used.get(fleet, 0) | slots

    def _check_entries(self) -> None:
        """Checks that no control machine returns to an older entry of a cell."""
        for process, core in self.controllers():
            for name, seeded in core.cells.items():
                key = f"{process.name}#{process.starts}", name
                if seeded.cell.number < self.newest_entries.get(key, (0, -1, 0)):
                    raise self._violation(f"{process.name} returns to an older entry of {name}")
                self.newest_entries[key] = seeded.cell.number

    def unsettled_reason(self) -> str:
        """Returns why the gateways have not settled, or an empty text.

        They have settled when each running gateway is in a cell of its zone, the view of each cell has
        exactly its gateways and seeds, and its gateways use all of its slots.
        """
        leader = self.leader()
        if leader is None:
            return "there is no leader"
        cells, inside = dict[str, Cell](), dict[str, list[tuple[Process, Gateway]]]()
        for process, core in self.gateways():
            if core.placement is None or core.member is None:
                return f"{process.name} is in no cell"
            cell = core.placement.cell
            if cell.location != self._zone_of[process.name]:
                return f"{process.name} is in a cell of {cell.location}"
            cells[cell.name] = cell
            inside.setdefault(cell.name, []).append((process, core))
        for name, cell in cells.items():
            if reason := self._cell_unsettled_reason(cell, inside[name]):
                return f"{name}: {reason}"
        return self._directory_unsettled_reason(leader, inside)

    @staticmethod
    def _directory_unsettled_reason(leader: Process, inside: dict[str, list[tuple[Process, Gateway]]]) -> str:
        """Returns where the leader's directory differs from the gateways' cells, or an empty text."""
        if not isinstance(leader.core, Controller) or leader.core.leader is None:
            return "there is no leader"
        entries = leader.core.leader.directory.entries
        for name, gateways in inside.items():
            if name not in entries:
                return f"{name} is not in the directory"
            if entries[name].members.keys() != {process.name for process, _ in gateways}:
                return f"{name} has other gateways in the directory"
        empty = sum(1 for name, entry in entries.items() if name not in inside and entry.members)
        return f"{empty} cells have gateways in the directory alone" if empty else ""

    def _cell_unsettled_reason(self, cell: Cell, gateways: list[tuple[Process, Gateway]]) -> str:
        now, slots = self.clock.now, 0
        seeding = [
            (process, core.cells.get(cell.name))
            for process, core in self.controllers()
            if process.address in cell.seeds
        ]
        seeds = [found.member for _, found in seeding if found is not None]
        if not seeds or len(seeds) < len(seeding):
            return f"{len(seeds)} of {len(seeding)} seeds run"
        if len(gateways) > self._policy.max_gateways:
            return f"has {len(gateways)} gateways"
        members = [core.member for _, core in gateways if core.member is not None] + seeds
        member_ids: tuple[MemberId, ...] = tuple(sorted(member.member_id for member in members))
        for member in members:
            if member.view is None or member.view.members != member_ids:
                return f"{member.member_id[0]} holds a view with other members"
            if member.view_number() != members[0].view_number():
                return f"{member.member_id[0]} holds view {member.view_number()}, others hold another one"
        for process, core in gateways:
            usable = core.usable_slots(process.now(now))
            if not usable:
                return f"{process.name} has no usable slots"
            slots |= usable
        return "" if slots == ALL_SLOTS else "some slots have no gateway"

    def run(self, span_ns: int, interval_ns: int = 50_000_000) -> None:
        """Runs for some time and checks all invariants at intervals."""
        end = self.elapsed_ns + span_ns
        while self.elapsed_ns < end:
            self.run_until(min(end, self.elapsed_ns + interval_ns))
            self.check()

    def until_settled(self, limit_ns: int, interval_ns: int = 100_000_000) -> int:
        """Runs until the gateways have settled, and returns the ns that this took.

        Raises `InvariantViolated` if it takes longer than `limit_ns`.
        """
        start_ns = self.elapsed_ns
        while reason := self.unsettled_reason():
            if self.elapsed_ns - start_ns >= limit_ns:
                raise self._violation(f"not settled after {limit_ns / SECOND:.1f} s: {reason}")
            self.run(interval_ns)
        return self.elapsed_ns - start_ns

    def start_all(self, limit_ns: int) -> int:
        """Starts all processes at once; returns the ns until they have settled."""
        for process in list(self.processes.values()):
            self.start(process)
        return self.until_settled(limit_ns)

    def links(self, names: Iterable[str]) -> list[tuple[str, str]]:
        """Returns the links in both directions among these processes."""
        return [link for a, b in combinations(names, 2) for link in ((a, b), (b, a))]
