"""A fleet's view in virtual time: many members' cores, a network that fails, and invariants at each step.

Nothing here decides: the cores do. May know: what every process holds, true time.
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

KEEP = 2 * SECOND  # that a silent member keeps its part for, unless the settings say otherwise

Process = processes.Process[Member]


class World(ProcessGroup[Member]):
    """`processes` by name; `step` runs on to a true time, relative to the beginning."""

    def __init__(
        self,
        seed: int,
        count: int,
        seeds: int = 3,
        drift: float = 0.0,
        settings: dict[str, object] | None = None,
    ) -> None:
        super().__init__(f"members:{seed}", drift)
        self._settings = {"lease_duration_ns": KEEP, **(settings or {})}
        self._seeds = tuple((f"10.0.0.{n}", 7000) for n in range(seeds))
        self.views: dict[ViewNumber, View] = {}
        self.issued: dict[ViewNumber, str] = {}
        self.bytes: dict[str, int] = {}  # sent, by name
        self.told: list[tuple[int, str, StatusEvent]] = []  # true time, name
        self._encode = msgspec.msgpack.Encoder().encode
        self.places = {f"n{number}": (number, count) for number in range(count)}  # who joins has none
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> Process:
        name = f"n{number}"
        others = f"10.1.{number >> 8}.{number & 255}", 7000
        address = self._seeds[number] if number < len(self._seeds) else others
        return self._add_process(name, address)

    # Processes.

    def start(self, process: Process) -> None:
        """A new process under the name, from nothing."""
        born = self._register_start(process)
        place = self.places.get(process.name, (-1, 0))
        settings = MemberSettings(
            "fleet",
            process.name,
            born,
            process.address,
            self._seeds,
            "1",
            position=place,
            **self._settings,  # type: ignore[arg-type]
        )
        seed = self.rng.getrandbits(60)
        core = process.core = Member(settings, process.now(self.clock.now), seed)
        self._perform(process, core.start(process.now(self.clock.now)))
        self._schedule_ticks(process, core)

    def leave(self, process: Process) -> None:
        core = process.core
        if core is not None:
            self._perform(process, core.leave(process.now(self.clock.now)))
            process.core = None

    # The network.

    def _perform(self, process: Process, actions: Iterable[object]) -> None:
        for action in actions:
            match action:
                case SendMessage(to, message):
                    self._send(process, to, message)
                case ExchangeTables(to):
                    self._connect(process, to)
                case StatusEvent():
                    self._record(process, action)

    def _send(self, process: Process, to: Address, message: MemberMessage) -> None:
        target = self._by_address.get(to)
        if self.bytes.get(process.name) is not None:
            self.bytes[process.name] += len(self._encode(message)) + 17
        if target is None:
            return
        conditions, rng = self.conditions, self.rng
        for _ in range(1 + (bool(conditions.duplication) and rng.random() < conditions.duplication)):
            if not (conditions.loss and rng.random() < conditions.loss):
                self.clock.after(self._draw_delay_ns(), partial(self._arrive, process, target, message))

    def _arrive(self, source: Process, target: Process, message: MemberMessage) -> None:
        core = target.core
        if core is None or (source.name, target.name) in self.severed_links:
            return
        self._run_when_awake(
            target, core, lambda: core.receive(target.now(self.clock.now), message, source.address)
        )

    def _connect(self, process: Process, to: Address) -> None:
        """Tables go there and back as one; over a cut way, or to nobody, nothing comes of it."""
        target, core = self._by_address.get(to), process.core
        if target is None or target is process or core is None:
            return
        table = core.table_snapshot()
        self.clock.after(3 * self._draw_delay_ns(), partial(self._swap, process, core, target, table))

    def _swap(self, process: Process, core: Member, target: Process, table: TableSnapshot) -> None:
        other = target.core
        cut = (process.name, target.name) in self.severed_links or (
            target.name,
            process.name,
        ) in self.severed_links
        if other is None or cut or process.core is not core:
            return

        def there() -> Iterable[object]:
            now = target.now(self.clock.now)
            back = other.table_snapshot()
            self.clock.after(
                self._draw_delay_ns(),
                lambda: self._run_when_awake(
                    process, core, lambda: core.merge(process.now(self.clock.now), back)
                ),
            )
            return other.merge(now, table)

        self._run_when_awake(target, other, there)

    # What came to be, and whether it may.

    def _record(self, process: Process, told: StatusEvent) -> None:
        self.told.append((self.elapsed_ns, process.name, told))
        about = told.details
        match told.kind:
            case "issued":
                self._issued(process, about["number"], about["parent"])  # type: ignore[arg-type]
            case "view":
                view = View(about["number"], about["parent"], about["members"])  # type: ignore[arg-type]
                if self.views.setdefault(view.number, view) != view:
                    raise InvariantViolated(f"{self.elapsed_ns / 1e9:.3f} s: two views under {view.number}")
            case "part" if told.details["part"]:
                self.rights()
            case "leads":
                self.leaders()

    def _issued(self, process: Process, number: ViewNumber, parent: ViewNumber) -> None:
        if self.issued.setdefault(number, process.name) != process.name:
            raise InvariantViolated(f"{self.elapsed_ns / 1e9:.3f} s: {number} issued by two")
        follows = parent == (*number[:2], number[2] - 1) if number[2] > 1 else parent < number
        if not follows:
            raise InvariantViolated(f"{self.elapsed_ns / 1e9:.3f} s: {number} follows {parent}")

    def rights(self) -> int:
        """The slots that are acted on at this instant."""
        now, out = self.clock.now, 0
        for process in self.processes.values():
            part = process.core.usable_slots(process.now(now)) if process.core is not None else 0
            if part & out:
                raise InvariantViolated(
                    f"{self.elapsed_ns / 1e9:.3f} s: {process.name} acts on slots that another acts on"
                )
            out |= part
        return out

    def leaders(self) -> None:
        now = self.clock.now
        leading = [
            p.name
            for p in self.processes.values()
            if p.core is not None and p.core.is_coordinator(p.now(now))
        ]
        if len(leading) > 1:
            raise InvariantViolated(f"{self.elapsed_ns / 1e9:.3f} s: {leading} lead together")

    def running(self) -> list[str]:
        return [name for name, process in self.processes.items() if process.core is not None]

    def settled(self, among: Iterable[str] | None = None) -> str:
        """Whether all that run (or those named) know one another alone, hold one view of just them, and
        together the whole: nothing, or what is amiss."""
        names = set(among) if among is not None else set(self.running())
        cores = {name: core for name in names if (core := self.processes[name].core) is not None}
        if len(cores) < len(names):
            return "not all run"
        who = tuple(sorted(core.member_id for core in cores.values()))
        for name, core in cores.items():
            if core.member_table.live() != who:
                return f"{name} takes {len(core.member_table.live())} for live, {len(who)} are"
            if core.view is None or core.view.members != who:
                return f"{name} holds another view, {core.view_number()}"
            if core.view_number() != next(iter(cores.values())).view_number():
                return f"{name} holds {core.view_number()}"
            slots = core.usable_slots(self.processes[name].now(self.clock.now)).bit_count()
            least = SLOT_COUNT // len(who)
            if not least <= slots <= least + least // 8 + 4:
                return f"{name} acts on {slots} of {SLOT_COUNT} slots"
        if among is None and self.rights() != ALL_SLOTS:
            return "some slots are nobody's"
        return ""

    def begin(self, most: int, every: int = 50 * MS) -> int:
        """All start at once; ns until they are settled."""
        for process in list(self.processes.values()):
            self.start(process)
        return self.until_settled(most, every=every)

    def until_settled(self, most: int, among: Iterable[str] | None = None, every: int = 50 * MS) -> int:
        """ns until it is; raises `InvariantViolated` where that takes longer than `most`."""
        begun = self.elapsed_ns
        while amiss := self.settled(among):
            if self.elapsed_ns - begun >= most:
                raise InvariantViolated(
                    f"{self.elapsed_ns / 1e9:.3f} s: not settled {most / SECOND:.1f} s after: {amiss}"
                )
            self.run_until(self.elapsed_ns + every)
        return self.elapsed_ns - begun
