"""Membership in levels in virtual time: control machines, gateways in zones, and invariants at each step.

Nothing here decides: the cores do. May know: what every process holds, true time.
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
KEEP = 2 * SECOND  # that a silent gateway keeps its slots for, unless said otherwise
HEAD = 19  # bytes of mark and digest before what a datagram holds
LENGTH = 4  # bytes before a table


def layout(regions: int, machines: int, zones: int = 3) -> tuple[ControlMachine, ...]:
    """So many control machines, spread over all regions and their zones."""
    return tuple(
        ControlMachine(f"c{n}", f"r{n % regions}", f"z{n // regions % zones}", (f"10.0.0.{n}", 7500))
        for n in range(machines)
    )


class CelledWorld(ProcessGroup[Core]):
    """Gateways' names begin with g, control machines' with c."""

    def __init__(
        self,
        seed: int,
        regions: int = 2,
        machines: int = 7,
        zones: int = 3,
        drift: float = 0.0,
        policy: CellPolicy = POLICY,
        keep: int = KEEP,
    ) -> None:
        super().__init__(f"cells:{seed}", drift)
        self.machines = layout(regions, machines, zones)
        self._policy = policy
        self._keep = keep
        self.zones = [Zone(f"r{r}", f"z{z}") for r in range(regions) for z in range(zones)]
        self._zone_of: dict[str, Zone] = {}
        self.words_late = 0  # ns by which words on cells come later, up to; views' own do not
        self._inside: dict[str, int] = {}  # gateways that are in a cell, and which of their starts is
        self._retired: set[tuple[str, str]] = set()  # by control machine's process and cell
        self.retired_with: list[str] = []  # gateways that were in a cell when it was given up
        self.cut_regions: set[tuple[str, str]] = set()  # directions
        self.views: dict[tuple[str, ViewNumber], View] = {}
        self.entries: dict[tuple[str, str], ViewNumber] = {}  # by control machine's process and cell
        self.newest: dict[tuple[str, int], ViewNumber] = {}  # told to a gateway's process
        self.held: dict[tuple[str, int], Placement] = {}  # gone by, by a gateway's process
        self._acting: dict[str, tuple[int, Member]] = {}  # which start of a gateway, and its member of a cell
        self.left: list[tuple[Process, int, Member]] = []  # of cells that gateways no longer take part in
        self.sent: Counter[str] = Counter()  # bytes, by process
        self.came: Counter[str] = Counter()  # bytes
        self.datagrams: Counter[str] = Counter()  # sent
        self.asks: Counter[str] = Counter()  # questions that gateways sent
        self.told: list[tuple[int, str, object]] = []  # true time, process, what
        self._encode = msgspec.msgpack.Encoder().encode
        for machine in self.machines:
            self._add_process(machine.name, machine.address)
            self._zone_of[machine.name] = Zone(machine.region, machine.zone)

    def add(self, zone: Zone) -> Process:
        """A gateway that is yet to start."""
        number = sum(name.startswith("g") for name in self.processes)
        self._zone_of[f"g{number}"] = zone
        return self._add_process(f"g{number}", (f"10.{1 + (number >> 8)}.{number & 255}.1", 7000))

    def populate(self, each: int) -> None:
        """So many gateways in every zone."""
        for _ in range(each):
            for zone in self.zones:
                self.add(zone)

    # Processes.

    def start(self, process: Process) -> None:
        born = self._register_start(process)
        now, seed = process.now(self.clock.now), self.rng.getrandbits(60)
        core: Core
        if process.name.startswith("c"):
            core = Controller(
                ControlSettings(
                    FLEET, process.name, born, self.machines, "1", self._policy, lease_duration_ns=self._keep
                ),
                now,
                seed,
            )
        else:
            core = Gateway(
                GatewaySettings(
                    FLEET,
                    process.name,
                    born,
                    process.address,
                    self._zone_of[process.name],
                    self.machines,
                    "1",
                    lease_duration_ns=self._keep,
                ),
                now,
                seed,
            )
        process.core = core
        self._perform(process, core.start(now))
        self._schedule_ticks(process, core)

    def leave(self, process: Process) -> None:
        if (core := process.core) is not None:
            self._perform(process, core.leave(process.now(self.clock.now)))
            process.core = None

    def among(self, prefix: str, zone: Zone | None = None, region: str = "") -> list[Process]:
        """Processes of this kind, g or c, there."""
        return [
            p
            for name, p in self.processes.items()
            if name.startswith(prefix)
            and zone in (None, self._zone_of[name])
            and region in ("", self._zone_of[name].region)
        ]

    def at_address(self, address: Address) -> Process:
        return self._by_address[address]

    def controllers(self) -> list[tuple[Process, Controller]]:
        return [(p, p.core) for p in self.processes.values() if isinstance(p.core, Controller)]

    def gateways(self) -> list[tuple[Process, Gateway]]:
        return [(p, p.core) for p in self.processes.values() if isinstance(p.core, Gateway)]

    def leader(self) -> Process | None:
        """Who leads at this instant."""
        found = [p for p, core in self.controllers() if core.is_leader(p.now(self.clock.now))]
        if len(found) > 1:
            raise InvariantViolated(f"{self.elapsed_ns / 1e9:.3f} s: {[p.name for p in found]} lead together")
        return found[0] if found else None

    # The network.

    def cut_off(self, region: str, others: Iterable[str]) -> None:
        for other in others:
            self.cut_regions |= {(region, other), (other, region)}

    def heal_regions(self) -> None:
        self.cut_regions.clear()

    def severed(self, source: Process, target: Process) -> bool:
        regions = self._zone_of[source.name].region, self._zone_of[target.name].region
        return regions in self.cut_regions or super().severed(source, target)

    def _perform(self, process: Process, actions: Iterable[object]) -> None:
        for action in actions:
            match action:
                case SendCellsMessage(to, message):
                    self._send(process, to, message)
                case MemberAction(_, SendMessage(to, member_message)):
                    self._send(process, to, member_message)
                case MemberAction(fleet, ExchangeTables(to)):
                    self._connect(process, fleet, to)
                case MemberAction(fleet, StatusEvent() as told):
                    self._viewed(process, fleet, told)
                case CellJoined() | CellLeft() | LeadershipChanged() | StatusEvent():
                    self._noticed(process, action)

    def _send(self, process: Process, to: Address, what: MemberMessage | CellsMessage) -> None:
        size = len(self._encode(what)) + HEAD
        self.sent[process.name] += size
        self.datagrams[process.name] += 1
        self.asks[process.name] += isinstance(what, CellsMessage) and isinstance(what.body, PlacementRequest)
        target = self._by_address.get(to)
        if target is None:
            return
        conditions, rng = self.conditions, self.rng
        for _ in range(1 + (bool(conditions.duplication) and rng.random() < conditions.duplication)):
            if not (conditions.loss and rng.random() < conditions.loss):
                late = self._draw_delay_ns()
                if self.words_late and isinstance(what, CellsMessage):
                    late += rng.randint(0, self.words_late)
                self.clock.after(late, partial(self._arrive, process, target, what, size))

    def _arrive(
        self, source: Process, target: Process, what: MemberMessage | CellsMessage, size: int
    ) -> None:
        core = target.core
        if core is None or self.severed(source, target):
            return
        self.came[target.name] += size

        def there() -> Iterable[object]:
            now = target.now(self.clock.now)
            if isinstance(what, MemberMessage):
                return core.receive(now, what, source.address)
            self._note(target, core, what)
            return core.receive_cells_message(now, what, source.address)

        self._run_when_awake(target, core, there)
        self._going_by(target)

    def _connect(self, process: Process, fleet: str, to: Address) -> None:
        """Tables go there and back as one; over a cut way, or to nobody, nothing comes of it."""
        target, core = self._by_address.get(to), process.core
        if target is None or target is process or core is None:
            return
        table = core.table_snapshot(fleet)
        if table is not None:
            self.clock.after(3 * self._draw_delay_ns(), partial(self._swap, process, core, target, table))

    def _swap(self, process: Process, core: Core, target: Process, table: TableSnapshot) -> None:
        other = target.core
        cut = self.severed(process, target) or self.severed(target, process)
        if other is None or cut or process.core is not core:
            return
        self._carried(process, target, table)

        def there() -> Iterable[object]:
            now = target.now(self.clock.now)
            back = other.table_snapshot(table.fleet)
            if back is not None:
                self._carried(target, process, back)
                self.clock.after(
                    self._draw_delay_ns(),
                    lambda: self._run_when_awake(
                        process, core, lambda: core.merge(process.now(self.clock.now), back)
                    ),
                )
            return other.merge(now, table)

        self._run_when_awake(target, other, there)

    def _carried(self, source: Process, target: Process, table: TableSnapshot) -> None:
        size = len(self._encode(table)) + HEAD + LENGTH
        self.sent[source.name] += size
        self.came[target.name] += size

    # What came to be, and whether it may.

    def _broken(self, why: str) -> InvariantViolated:
        return InvariantViolated(f"{self.elapsed_ns / 1e9:.3f} s: {why}")

    def _note(self, process: Process, core: Core, message: CellsMessage) -> None:
        """What a gateway is told at this instant."""
        body = message.body
        if (
            isinstance(core, Gateway)
            and isinstance(body, PlacementNotice)
            and body.member_id == core.member_id
        ):
            key = process.name, process.starts
            self.newest[key] = max(self.newest.get(key, (0, -1, 0)), body.placement.number)

    def _going_by(self, process: Process) -> None:
        """No older word is gone by after a newer was heard."""
        core = process.core
        if not isinstance(core, Gateway) or core.placement is None:
            return
        key = process.name, process.starts
        before = self.held.get(key)
        if before is not None and core.placement.number < before.number:
            raise self._broken(f"{process.name} goes back from {before.number} to {core.placement.number}")
        if core.placement.number < self.newest.get(key, (0, -1, 0)):
            raise self._broken(
                f"{process.name} goes by {core.placement.number}, and heard of {self.newest[key]}"
            )
        self.held[key] = core.placement

    def _noticed(
        self, process: Process, what: CellJoined | CellLeft | LeadershipChanged | StatusEvent
    ) -> None:
        self.told.append((self.elapsed_ns, process.name, what))
        if isinstance(what, LeadershipChanged) and what.epoch is not None:
            self.leader()
        if isinstance(what, CellJoined):
            if self._inside.get(process.name) == process.starts:
                raise self._broken(f"{process.name} joins a cell before it has left another")
            self._inside[process.name] = process.starts
        elif isinstance(what, CellLeft):
            self._inside.pop(process.name, None)
        if isinstance(what, StatusEvent) and what.kind in ("seeds", "retired"):
            key = f"{process.name}#{process.starts}", str(what.details["cell"])
            if what.kind == "retired":
                self._retired.add(key)
            elif key in self._retired:
                raise self._broken(f"{process.name} seeds {key[1]} again, which was given up")
        if isinstance(what, StatusEvent) and what.kind == "retired":
            self.retired_with += [
                p.name
                for p, core in self.gateways()
                if core.placement is not None and core.placement.cell.name == what.details["cell"]
            ]

    def _viewed(self, process: Process, fleet: str, told: StatusEvent) -> None:
        self.told.append((self.elapsed_ns, process.name, MemberAction(fleet, told)))
        if told.kind == "view":
            about = told.details
            view = View(about["number"], about["parent"], about["members"])  # type: ignore[arg-type]
            if self.views.setdefault((fleet, view.number), view) != view:
                raise self._broken(f"two views of {fleet} under {view.number}")

    def check(self) -> None:
        """All that has to hold at each instant."""
        self.leader()
        self._coordinators()
        self._slots()
        self._entries()

    def _coordinators(self) -> None:
        now, found = self.clock.now, Counter[str]()
        for process, core in self.controllers():
            found.update(
                name
                for name, seeding in core.cells.items()
                if seeding.member.is_coordinator(process.now(now))
            )
        if any(count > 1 for count in found.values()):
            raise self._broken(f"two coordinate one cell: {found}")

    def _slots(self) -> None:
        """One slot of a cell is one gateway's; who takes part in one cell acts in no other."""
        out = dict[str, int]()
        for process, core in self.gateways():
            if core.member is not None:
                self._acts(process, core.member)
                self._acted(out, core.member, process)
        self.left = [each for each in self.left if each[0].starts == each[1] and each[0].core is not None]
        for process, _, member in self.left:
            if member.usable_slots(process.now(self.clock.now)):
                raise self._broken(f"{process.name} acts in {member.settings.fleet} that it has left")

    def _acts(self, process: Process, member: Member) -> None:
        """In this cell from now on; what it was in before is to hold nothing any more."""
        before = self._acting.get(process.name)
        if before is not None and before[0] == process.starts and before[1] is not member:
            self.left.append((process, *before))
        self._acting[process.name] = process.starts, member

    def _acted(self, out: dict[str, int], member: Member, process: Process) -> None:
        fleet, part = member.settings.fleet, member.usable_slots(process.now(self.clock.now))
        if part & out.get(fleet, 0):
            raise self._broken(f"{process.name} acts on slots of {fleet} that another acts on")
        out[fleet] = out.get(fleet, 0) | part

    def _entries(self) -> None:
        """A control machine goes by no older entry after a newer."""
        for process, core in self.controllers():
            for name, seeding in core.cells.items():
                key = f"{process.name}#{process.starts}", name
                if seeding.cell.number < self.entries.get(key, (0, -1, 0)):
                    raise self._broken(f"{process.name} goes back in {name}")
                self.entries[key] = seeding.cell.number

    # Whether all is well.

    def settled(self) -> str:
        """Whether all gateways that run are in a cell of their zone whose view is just them and its seeds,
        and hold all of its slots: nothing, or what is amiss."""
        leader = self.leader()
        if leader is None:
            return "nobody leads"
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
            if amiss := self._cell_settled(cell, inside[name]):
                return f"{name}: {amiss}"
        return self._directory_settled(leader, inside)

    @staticmethod
    def _directory_settled(leader: Process, inside: dict[str, list[tuple[Process, Gateway]]]) -> str:
        """Whether the leader knows just who is where."""
        if not isinstance(leader.core, Controller) or leader.core.leader is None:
            return "nobody leads"
        entries = leader.core.leader.directory.entries
        for name, gateways in inside.items():
            if name not in entries:
                return f"{name} is not in the directory"
            if entries[name].members.keys() != {process.name for process, _ in gateways}:
                return f"{name} has other gateways in the directory"
        empty = sum(1 for name, entry in entries.items() if name not in inside and entry.members)
        return f"{empty} cells have gateways in the directory alone" if empty else ""

    def _cell_settled(self, cell: Cell, gateways: list[tuple[Process, Gateway]]) -> str:
        now, slots = self.clock.now, 0
        seeding = [
            (process, core.cells.get(cell.name))
            for process, core in self.controllers()
            if process.address in cell.seeds
        ]
        seeds = [found.member for _, found in seeding if found is not None]
        if not seeds or len(seeds) < len(seeding):
            return f"{len(seeds)} of {len(seeding)} seed it"
        if len(gateways) > self._policy.max_gateways:
            return f"has {len(gateways)} gateways"
        members = [core.member for _, core in gateways if core.member is not None] + seeds
        who: tuple[MemberId, ...] = tuple(sorted(member.member_id for member in members))
        for member in members:
            if member.view is None or member.view.members != who:
                return f"{member.member_id[0]} holds another view"
            if member.view_number() != members[0].view_number():
                return f"{member.member_id[0]} holds {member.view_number()}"
        for process, core in gateways:
            part = core.usable_slots(process.now(now))
            if not part:
                return f"{process.name} holds nothing"
            slots |= part
        return "" if slots == ALL_SLOTS else "some slots are nobody's"

    def run(self, span: int, every: int = 50_000_000) -> None:
        """On, with all that has to hold looked at."""
        end = self.elapsed_ns + span
        while self.elapsed_ns < end:
            self.run_until(min(end, self.elapsed_ns + every))
            self.check()

    def until_settled(self, most: int, every: int = 100_000_000) -> int:
        """ns until it is; raises `InvariantViolated` where that takes longer than `most`."""
        begun = self.elapsed_ns
        while amiss := self.settled():
            if self.elapsed_ns - begun >= most:
                raise self._broken(f"not settled {most / SECOND:.1f} s after: {amiss}")
            self.run(every)
        return self.elapsed_ns - begun

    def begin(self, most: int) -> int:
        """All start at once; ns until they are settled."""
        for process in list(self.processes.values()):
            self.start(process)
        return self.until_settled(most)

    def pairs(self, names: Iterable[str]) -> list[tuple[str, str]]:
        """All directions among these."""
        return [way for a, b in combinations(names, 2) for way in ((a, b), (b, a))]
