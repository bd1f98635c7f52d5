"""A fleet's view in virtual time: many members' cores, a network that fails, and invariants at each step.

Every process has a clock of its own that runs fast or slow; what it says takes time, gets lost, doubled or
cut; it may stand still, die, and start anew under its name. Nothing here decides: the cores do. May know:
what every process holds, true time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from ..membership.member import TICK, Member
from ..membership.terms import (
    MS, SECOND, Action, Address, Exchange, Letter, Number, Say, Settings, Table, Told, View,
)
from ..membership.slots import SLOTS, WHOLE
from .clock import Clock

WALL = 1_790_000_000_000  # ms of wall clock at the beginning of every world
RTT = (200_000, 2 * MS)  # ns that a way takes, from and to
CONNECT = 250 * MS  # ns after which a connection over a cut way is given up
KEEP = 2 * SECOND  # that a silent member keeps its part for, unless the settings say otherwise
LATE_MOST = 5 * MS  # ns by which a tick comes late on a machine that is busy with others


class Broken(Exception):
    """An invariant does not hold; the text says which, and when."""


@dataclass(slots=True)
class Weather:
    """Of all ways between processes."""

    loss: float = 0.0
    twice: float = 0.0
    jitter: int = 0  # ns


@dataclass(slots=True)
class Process:
    """One name, and the process under it, if any."""

    name: str
    address: Address
    rate: float  # of its clock over true time
    core: Member | None = None
    starts: int = 0
    halted_until: int = 0  # true time
    waiting: list[Callable[[], None]] = field(default_factory=list)  # what came while it stood still
    begun: int = 0  # true time of its start

    def now(self, true: int) -> int:
        return int(true * self.rate)


class World:
    """`processes` by name; `step` runs on to a true time, relative to the beginning."""

    def __init__(
        self, seed: int, count: int, seeds: int = 3, drift: float = 0.0,
        settings: dict[str, object] | None = None,
    ) -> None:
        self.rng, self.clock, self.weather = random.Random(f"members:{seed}"), Clock(), Weather()
        self._settings = {"keep": KEEP, **(settings or {})}
        self._seeds = tuple((f"10.0.0.{n}", 7000) for n in range(seeds))
        self.processes: dict[str, Process] = {}
        self._by_address: dict[Address, Process] = {}
        self.cut: dict[tuple[str, str], int] = {}  # directions, by how many faults cut them
        self.views: dict[Number, View] = {}
        self.issued: dict[Number, str] = {}
        self.bytes: dict[str, int] = {}  # sent, by name
        self.told: list[tuple[int, str, Told]] = []  # true time, name
        self._start = self.clock.now
        self._drift = drift
        self._encode = msgspec.msgpack.Encoder().encode
        self.places = {f"n{number}": (number, count) for number in range(count)}  # who joins has none
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> Process:
        name = f"n{number}"
        others = f"10.1.{number >> 8}.{number & 255}", 7000
        address = self._seeds[number] if number < len(self._seeds) else others
        rate = 1.0 + self._drift * self.rng.uniform(-1.0, 1.0)
        made = self.processes[name] = self._by_address[address] = Process(name, address, rate)
        return made

    @property
    def true(self) -> int:
        """ns since the beginning."""
        return self.clock.now - self._start

    def step(self, until: int) -> None:
        self.clock.run(self._start + until)

    def at(self, when: int, call: Callable[[], object]) -> None:
        self.clock.at(self._start + when, call)

    # Processes.

    def start(self, process: Process) -> None:
        """A new process under the name, from nothing."""
        process.starts += 1
        process.begun, process.halted_until = self.clock.now, 0
        process.waiting.clear()
        born = WALL + self.true // MS
        place = self.places.get(process.name, (-1, 0))
        settings = Settings("fleet", process.name, born, process.address, self._seeds, "1", place=place,
                            **self._settings)  # type: ignore[arg-type]
        seed = self.rng.getrandbits(60)
        core = process.core = Member(settings, process.now(self.clock.now), seed)
        self._do(process, core.start(process.now(self.clock.now)))
        self.clock.after(self.rng.randint(0, TICK), partial(self._tick, process, core))

    def kill(self, process: Process) -> None:
        process.core = None
        process.waiting.clear()

    def leave(self, process: Process) -> None:
        core = process.core
        if core is not None:
            self._do(process, core.leave(process.now(self.clock.now)))
            process.core = None

    def halt(self, process: Process, span: int) -> None:
        process.halted_until = max(process.halted_until, self.clock.now + span)
        self.clock.after(span, partial(self._wake, process))

    def _wake(self, process: Process) -> None:
        if self.clock.now >= process.halted_until:
            came, process.waiting = process.waiting, []
            for call in came:
                call()

    def _on(self, process: Process, core: Member, call: Callable[[], Iterable[Action]]) -> None:
        """Now, or once the process goes on; never for a process that is gone."""
        if process.core is not core:
            return
        if self.clock.now < process.halted_until:
            process.waiting.append(partial(self._on, process, core, call))
            return
        self._do(process, call())

    def _tick(self, process: Process, core: Member) -> None:
        if process.core is not core:
            return
        if self.clock.now < process.halted_until:
            process.waiting.append(partial(self._tick, process, core))
            return
        self._do(process, core.tick(process.now(self.clock.now)))
        self.clock.after(TICK + self.rng.randint(0, LATE_MOST), partial(self._tick, process, core))

    # The network.

    def part(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> list[tuple[str, str]]:
        """Cuts what goes from the ones to the others, and back; to be handed to `heal`."""
        others = list(others)
        ways = [way for a in some for b in others if a != b for way in ((a, b), (b, a))[: 1 + both]]
        for way in ways:
            self.cut[way] = self.cut.get(way, 0) + 1
        return ways

    def heal(self, ways: Iterable[tuple[str, str]]) -> None:
        for way in ways:
            self.cut[way] -= 1
            if not self.cut[way]:
                del self.cut[way]

    def _late(self) -> int:
        jitter = self.weather.jitter
        return self.rng.randint(*RTT) + (self.rng.randint(0, jitter) if jitter else 0)

    def _do(self, process: Process, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Say(to, letter):
                    self._send(process, to, letter)
                case Exchange(to):
                    self._connect(process, to)
                case Told():
                    self._record(process, action)

    def _send(self, process: Process, to: Address, letter: Letter) -> None:
        target = self._by_address.get(to)
        if self.bytes.get(process.name) is not None:
            self.bytes[process.name] += len(self._encode(letter)) + 17
        if target is None:
            return
        weather, rng = self.weather, self.rng
        for _ in range(1 + (bool(weather.twice) and rng.random() < weather.twice)):
            if not (weather.loss and rng.random() < weather.loss):
                self.clock.after(self._late(), partial(self._arrive, process, target, letter))

    def _arrive(self, source: Process, target: Process, letter: Letter) -> None:
        core = target.core
        if core is None or (source.name, target.name) in self.cut:
            return
        self._on(target, core, lambda: core.received(target.now(self.clock.now), letter, source.address))

    def _connect(self, process: Process, to: Address) -> None:
        """Tables go there and back as one; over a cut way, or to nobody, nothing comes of it."""
        target, core = self._by_address.get(to), process.core
        if target is None or target is process or core is None:
            return
        table = core.table(process.now(self.clock.now))
        self.clock.after(3 * self._late(), partial(self._swap, process, core, target, table))

    def _swap(self, process: Process, core: Member, target: Process, table: Table) -> None:
        other = target.core
        cut = (process.name, target.name) in self.cut or (target.name, process.name) in self.cut
        if other is None or cut or process.core is not core:
            return

        def there() -> Iterable[Action]:
            now = target.now(self.clock.now)
            back = other.table(now)
            self.clock.after(self._late(), lambda: self._on(
                process, core, lambda: core.merge(process.now(self.clock.now), back)))
            return other.merge(now, table)

        self._on(target, other, there)

    # What came to be, and whether it may.

    def _record(self, process: Process, told: Told) -> None:
        self.told.append((self.true, process.name, told))
        about = told.about
        match told.kind:
            case "issued":
                self._issued(process, about["number"], about["parent"])  # type: ignore[arg-type]
            case "view":
                view = View(about["number"], about["parent"], about["members"])  # type: ignore[arg-type]
                if self.views.setdefault(view.number, view) != view:
                    raise Broken(f"{self.true / 1e9:.3f} s: two views under {view.number}")
            case "part" if told.about["part"]:
                self.rights()
            case "leads":
                self.leaders()

    def _issued(self, process: Process, number: Number, parent: Number) -> None:
        if self.issued.setdefault(number, process.name) != process.name:
            raise Broken(f"{self.true / 1e9:.3f} s: {number} issued by two")
        follows = parent == (*number[:2], number[2] - 1) if number[2] > 1 else parent < number
        if not follows:
            raise Broken(f"{self.true / 1e9:.3f} s: {number} follows {parent}")

    def rights(self) -> int:
        """The slots that are acted on at this instant."""
        now, out = self.clock.now, 0
        for process in self.processes.values():
            part = process.core.part(process.now(now)) if process.core is not None else 0
            if part & out:
                raise Broken(f"{self.true / 1e9:.3f} s: {process.name} acts on slots that another acts on")
            out |= part
        return out

    def leaders(self) -> None:
        now = self.clock.now
        leading = [p.name for p in self.processes.values() if p.core is not None and p.core.owns(p.now(now))]
        if len(leading) > 1:
            raise Broken(f"{self.true / 1e9:.3f} s: {leading} lead together")

    def running(self) -> list[str]:
        return [name for name, process in self.processes.items() if process.core is not None]

    def settled(self, among: Iterable[str] | None = None) -> str:
        """Whether all that run (or those named) know one another alone, hold one view of just them, and
        together the whole: nothing, or what is amiss."""
        names = set(among) if among is not None else set(self.running())
        cores = {name: core for name in names if (core := self.processes[name].core) is not None}
        if len(cores) < len(names):
            return "not all run"
        who = tuple(sorted(core.who for core in cores.values()))
        for name, core in cores.items():
            if core.people.live() != who:
                return f"{name} takes {len(core.people.live())} for live, {len(who)} are"
            if core.view is None or core.view.members != who:
                return f"{name} holds another view, {core.number()}"
            if core.number() != next(iter(cores.values())).number():
                return f"{name} holds {core.number()}"
            slots = core.part(self.processes[name].now(self.clock.now)).bit_count()
            least = SLOTS // len(who)
            if not least <= slots <= least + least // 8 + 4:
                return f"{name} acts on {slots} of {SLOTS} slots"
        if among is None and self.rights() != WHOLE:
            return "some slots are nobody's"
        return ""

    def begin(self, most: int, every: int = 50 * MS) -> int:
        """All start at once; ns until they are settled."""
        for process in list(self.processes.values()):
            self.start(process)
        return self.until_settled(most, every=every)

    def until_settled(self, most: int, among: Iterable[str] | None = None, every: int = 50 * MS) -> int:
        """ns until it is; raises `Broken` where that takes longer than `most`."""
        begun = self.true
        while (amiss := self.settled(among)):
            if self.true - begun >= most:
                raise Broken(f"{self.true / 1e9:.3f} s: not settled {most / SECOND:.1f} s after: {amiss}")
            self.step(self.true + every)
        return self.true - begun
