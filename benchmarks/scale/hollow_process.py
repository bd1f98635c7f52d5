"""Runs hollow members: the program's own core, wire format and host of the view on real sockets.

Hollow members serve no requests. The process reads one command per line from standard input and answers each
on standard output (`messages.py`); it ends when standard input does. It does not know how the run uses its
figures.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections import deque
from collections.abc import Coroutine, Iterable
from typing import cast

import uvloop

from trackspread.membership.actions import Action, ExchangeTables, SendMessage, StatusEvent
from trackspread.membership.discovery import ANTI_ENTROPY_INTERVAL_NS
from trackspread.membership.host import Host, created_now_ms
from trackspread.membership.identifiers import ViewNumber
from trackspread.membership.settings import MemberSettings
from trackspread.membership.wire import Keys, Wire

from .answering import answer_all
from .bounds import resident
from .lag import LagWatch
from .messages import (
    Begin,
    Command,
    Crash,
    Cut,
    DeadVerdict,
    Done,
    End,
    Held,
    Life,
    Look,
    Measure,
    Measured,
    MemberId,
    Reply,
    Settle,
    Setup,
    Traffic,
)
from .placement import Address, Partition, name_of
from .view import digest

MAX_VERDICTS = 20_000  # Kept between two reports; older ones are dropped.
PEAK_SPAN_S = 1.0  # Over which a member's peak of traffic is measured.


class HollowHost(Host):
    """Runs one hollow member on sockets and records its verdicts and its traffic."""

    def __init__(self, settings: MemberSettings, wire: Wire, seed: int, process: HollowProcess) -> None:
        super().__init__(settings, settings.address, wire, seed, time.monotonic_ns)
        self._process = process
        self._last_second = (0, 0)
        self._suspected: dict[MemberId, int] = {}  # Since when each member is suspected.

    def datagram_received(self, data: bytes, source: Address) -> None:
        if self._process.partition.passes(source, self.settings.address):
            super().datagram_received(data, source)

    def _perform(self, actions: Iterable[Action]) -> None:
        super()._perform(each for each in actions if self._is_let_through(each))

    def _is_let_through(self, action: Action) -> bool:
        """Returns whether a partition lets an action through.

        It stops tables, and datagrams to real gateways, which do not drop them themselves.
        """
        match action:
            case ExchangeTables(to):
                return self._process.partition.passes(self.settings.address, to)
            case SendMessage(to, _):
                return self._process.hollow(to) or self._process.partition.passes(self.settings.address, to)
        return True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves an exchange of tables unless a real gateway begins it across a partition.

        Real gateways do not know the partition; hollow members do not begin such exchanges themselves.
        """
        source = writer.get_extra_info("peername") or ("", 0)
        passes = self._process.partition.passes((source[0], 0), self.settings.address)
        if not passes and not self._process.hollow(source):
            writer.close()
            return
        try:
            await super()._serve(reader, writer)
        except asyncio.CancelledError:  # The process ends.
            writer.close()

    def _record_event(self, event: StatusEvent) -> None:
        super()._record_event(event)
        if event.kind == "member":
            who = cast(MemberId, event.details["who"])
            self._record_verdict(who, str(event.details["state"]), str(event.details["by"]))

    def _record_verdict(self, who: MemberId, state: str, reporter: str) -> None:
        now = time.monotonic_ns()
        if state == "SUSPECT":
            self._suspected.setdefault(who, now)
            return
        since = self._suspected.pop(who, now)
        if state == "DEAD":
            own = reporter == self.settings.name
            self._process.verdicts.append(DeadVerdict(now, self.settings.name, who, own, since))

    def traffic(self) -> Traffic:
        counts = self.counts
        return Traffic(
            self.settings.name,
            counts["bytes sent"] + counts["table bytes sent"],
            counts["bytes received"] + counts["table bytes received"],
        )

    def bytes_since_last(self) -> int:
        """Returns the bytes since the last call: the greater of sent and received."""
        traffic, before = self.traffic(), self._last_second
        self._last_second = traffic.sent, traffic.received
        return max(traffic.sent - before[0], traffic.received - before[1])

    def spread_entropy(self, rng: random.Random) -> None:
        """Moves the next exchange of tables with a random member to a random time within its interval."""
        self.core.discovery.anti_entropy_at_ns = time.monotonic_ns() + int(
            ANTI_ENTROPY_INTERVAL_NS * rng.random()
        )

    def crash(self) -> None:
        """Closes both sockets without a message to others."""
        self.core.state.has_left = True
        self.close()


class HollowProcess:
    """Runs all hollow members of one process and executes the commands of the run."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.partition = Partition(setup.placement.region)
        self._hosts: dict[int, HollowHost] = {}
        self._ended = (0, 0, 0)  # Datagrams, bytes sent and bytes received of ended members.
        self._lives: dict[MemberId, Life] = {}
        self.verdicts: deque[DeadVerdict] = deque(maxlen=MAX_VERDICTS)
        self._peak, self._peak_name = 0, ""
        self._rng = random.Random(f"hollow:{setup.process}")
        self._watch = LagWatch()
        self._tasks: set[asyncio.Task[None]] = set()
        self._digests: dict[ViewNumber, tuple[tuple[MemberId, ...], int]] = {}

    def start(self) -> None:
        self._watch.start()
        self._run_task(self._every_second())

    async def close(self) -> None:
        self._watch.stop()
        for task in list(self._tasks):
            task.cancel()
        for host in self._hosts.values():
            host.crash()

    def hollow(self, address: Address) -> bool:
        """Returns whether an address is that of a hollow process."""
        return address[0] in self.setup.placement.hosts

    async def do(self, command: Command) -> Reply:
        match command:
            case Begin():
                await self._begin(command)
            case Crash():
                for number in command.numbers:
                    self._crash(number)
            case Cut():
                self.partition.cut(command.regions)
            case Settle():
                for host in self._hosts.values():
                    host.spread_entropy(self._rng)
            case Look():
                return self._look()
            case Measure():
                return self._measure()
        return Done(time.monotonic_ns())

    async def _begin(self, command: Begin) -> None:
        each = command.spread / max(1, len(command.numbers))
        for number in command.numbers:
            await self._start(number)
            await asyncio.sleep(each)

    async def _start(self, number: int) -> None:
        setup, place = self.setup, self.setup.placement
        settings = MemberSettings(
            setup.fleet,
            name_of(number),
            created_now_ms(),
            place.address(number),
            tuple(place.address(seed) for seed in setup.seeds),
            "hollow",
            max_members=setup.most,
        )
        wire = Wire(setup.fleet, Keys(), setup.most)
        host = HollowHost(settings, wire, self._rng.getrandbits(60), self)
        await host.start()
        self._hosts[number] = host
        self._lives[settings.member_id] = Life(settings.member_id, time.monotonic_ns())

    def _crash(self, number: int) -> None:
        host = self._hosts.pop(number)
        traffic, ended, who = host.traffic(), self._ended, host.settings.member_id
        self._ended = ended[0] + host.counts["sent"], ended[1] + traffic.sent, ended[2] + traffic.received
        self._lives[who] = Life(who, self._lives[who].since, time.monotonic_ns())
        host.crash()

    def _look(self) -> Held:
        distinct, telling, without = set(), 0, 0
        now = time.monotonic_ns()
        for host in self._hosts.values():
            core = host.core
            members = self._digest(core.view_number(), core.view.members) if core.view is not None else 0
            distinct.add((core.member_table.digest(), members, core.view_number()))
            telling += len(core.gossip)
            without += not core.usable_slots(now)
        running = tuple(host.settings.member_id for host in self._hosts.values())
        return Held(tuple(distinct), running, telling, without)

    def _digest(self, number: ViewNumber, members: tuple[MemberId, ...]) -> int:
        """Returns the digest of a view's members, computed once for all members with the same view."""
        cached = self._digests.get(number)
        if cached is None or cached[0] != members:
            self._digests = {n: each for n, each in self._digests.items() if n[:2] == number[:2]}
            cached = self._digests[number] = members, digest(members)
        return cached[1]

    def _measure(self) -> Measured:
        hosts = self._hosts.values()
        traffics = [host.traffic() for host in hosts]
        now = time.monotonic_ns()
        leading = tuple(host.traffic() for host in hosts if host.core.is_coordinator(now))
        verdicts = tuple(self.verdicts)
        self.verdicts.clear()
        peak, name, self._peak, self._peak_name = self._peak, self._peak_name, 0, ""
        return Measured(
            now,
            time.process_time(),
            resident(os.getpid()),
            len(traffics),
            self._ended[0] + sum(host.counts["sent"] for host in hosts),
            self._ended[1] + sum(each.sent for each in traffics),
            self._ended[2] + sum(each.received for each in traffics),
            leading,
            name,
            peak,
            self._watch.take(),
            tuple(self._lives.values()),
            verdicts,
        )

    async def _every_second(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += PEAK_SPAN_S
            await asyncio.sleep(max(0.0, due - loop.time()))
            for host in self._hosts.values():
                if (sent := host.bytes_since_last()) > self._peak:
                    self._peak, self._peak_name = sent, host.settings.name

    def _run_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def serve() -> None:
    """Executes the commands of the run until it ends."""
    process: HollowProcess | None = None

    async def answer(command: Command) -> Reply:
        nonlocal process
        if isinstance(command, Setup):
            process = HollowProcess(command)
            process.start()
        elif process is None:
            raise SystemExit("first command: must be Setup")
        else:
            return await process.do(command)
        return Done(time.monotonic_ns())

    await answer_all(Command, answer, End)
    if process is not None:
        await process.close()


if __name__ == "__main__":
    uvloop.run(serve())
