"""Configuration handed down at size: control replicas as processes, hollow gateways that pull from them.

What it costs against the number of gateways and against changes a second, and how long a change takes until
it is in force at every gateway. The election's word comes from the run: who leads is told, not voted on.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from statistics import fmean

import msgspec

from trackspread.testing.standins.loopback import Ports

from .bounds import Guard
from .children import Child, start_all
from .configuration_messages import (
    Add,
    Ask,
    ConfigurationCommand,
    ConfigurationReport,
    Lead,
    SetGateways,
    SetReplica,
    Stop,
    Tier,
)
from .configuration_process import service
from .lag import Lag, combined_lag
from .operator import Operator
from .placement import PORT, Address

VALUE = b"v" * 200  # bytes of one changed value: a route's
READY_MOST = 20.0  # s until replicas lead and follow, and until gateways have all
LOOK = 0.1  # s
IDLE = 1.0  # s over which a process without a gateway is measured
LEASE = 2.0  # s until another replica leads after the leader's death: about what the election takes


class Change(msgspec.Struct, frozen=True):
    """One change: when it was put, in ns, its place in the log, when the operator heard that it was done."""

    put_at: int
    sequence: int
    done_at: int = 0


class ConfigurationCost(msgspec.Struct, frozen=True):
    """Over one span, by gateway and for the busiest control machine; bytes a second are payload of datagrams,
    the greater of sent and received."""

    gateways: int
    control: int  # machines
    rate: float  # changes a second
    cpu: float  # of a gateway, share of a core
    bytes: float  # of a gateway, bytes/s
    memory: float  # of a gateway, bytes resident
    control_cpu: float
    control_bytes: float
    control_memory: float
    lag: Lag


class ConfigurationNotReady(Exception):
    """Replicas or gateways did not come to what they should in time."""


class ConfigurationFleet:
    """Use as `async with`; no gateway runs at first."""

    def __init__(
        self,
        replicas: int,
        processes: int,
        each: int,
        guard: Guard,
        services: int = 2_100,
        carried: int = 16,
    ) -> None:
        """`each`: hollow gateways in one of `processes`, which fill up one after the other."""
        self._ports, self._guard, self._each = Ports(), guard, each
        self._hosts = [self._ports.host() for _ in range(processes)]
        addresses: tuple[Address, ...] = tuple((self._ports.host(), PORT) for _ in range(replicas))
        self.tier = Tier("handing", addresses, services, carried)
        self.replicas: list[Child[ConfigurationReport]] = []
        self.processes: list[Child[ConfigurationReport]] = []
        self.operator = Operator(self.tier.fleet, addresses)
        self._base = 0.0  # bytes that a gateways' process holds without a gateway
        self._idle = 0.0  # share of a core that it takes then
        self._round = self._burst = 0
        self.gateways = 0
        self._progress: list[list[tuple[int, int]]] = [[] for _ in range(processes)]

    async def __aenter__(self) -> ConfigurationFleet:
        self._guard.admit(len(self._hosts) + len(self.tier.replicas))
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def _start(self) -> None:
        self.replicas = await start_all("configuration_process", ConfigurationReport, len(self.tier.replicas))
        self.processes = await start_all("configuration_process", ConfigurationReport, len(self._hosts))
        await asyncio.gather(
            *(child.ask(SetReplica(self.tier, number)) for number, child in enumerate(self.replicas))
        )
        told = await asyncio.gather(
            *(
                child.ask(SetGateways(self.tier, host))
                for host, child in zip(self._hosts, self.processes, strict=True)
            )
        )
        await asyncio.sleep(IDLE)
        idle = await self.ask(self.processes)
        self._idle = fmean(cpu_share(a, b) for a, b in zip(told, idle, strict=True))
        self._base = fmean(each.memory for each in idle)
        await self.operator.open()
        await self.appoint_first()
        await self.operator.begin()
        await self._until(self._all_follow, "replicas to follow a leader")

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        self.operator.close()
        await asyncio.gather(*(child.close() for child in (*self.replicas, *self.processes)))
        self._ports.close()

    async def appoint_first(self) -> None:
        """The first that runs leads from now on."""
        self._round += 1
        self.operator.leader = len(self.tier.replicas) - len(self.replicas)
        await self.replicas[0].ask(Lead(self._round))

    async def _all_follow(self) -> bool:
        roles = [each.role for each in await self.ask(self.replicas)]
        return roles.count("leader") == 1 and roles.count("follower") == len(roles) - 1

    async def add(self, count: int) -> None:
        """So many gateways in all; returns once each has all that is committed."""
        for process, child in enumerate(self.processes[: -(-count // self._each)]):
            numbers = range(max(self.gateways, process * self._each), min(count, (process + 1) * self._each))
            await child.ask(Add(tuple(numbers)))
        self.gateways = count
        await self._until(self._all_have, "gateways to have what is committed")

    async def _all_have(self) -> bool:
        committed = max(each.sequence for each in await self.ask(self.replicas))
        told = await self.ask_gateways()
        return all(each.sequence >= committed for each in told)

    async def _until(self, holds: Callable[[], Awaitable[bool]], what: str) -> None:
        end = time.monotonic() + READY_MOST
        while not await holds():
            if time.monotonic() > end:
                raise ConfigurationNotReady(f"waited {READY_MOST:g} s for {what}")
            await asyncio.sleep(LOOK)

    async def ask(
        self, children: Sequence[Child[ConfigurationReport]], command: ConfigurationCommand | None = None
    ) -> list[ConfigurationReport]:
        self._guard.check()
        return list(await asyncio.gather(*(child.ask(command or Ask()) for child in children)))

    def _in_use(self) -> list[Child[ConfigurationReport]]:
        """Processes that have gateways."""
        return self.processes[: -(-self.gateways // self._each)]

    async def ask_gateways(self) -> list[ConfigurationReport]:
        """Of all processes of gateways; how far these have come is kept."""
        told = await self.ask(self._in_use())
        for mine, each in zip(self._progress, told, strict=False):
            mine.extend(each.progress)
        return told

    async def end(self) -> None:
        await self.ask([*self.replicas, *self.processes], Stop())

    # Changes.

    async def change(self, number: int) -> Change:
        """Put one; returns once it is committed. Raises `NotDone`."""
        put_at, sequence = await self.operator.put(
            service(number * 7 % self.tier.services), f"route-{number}", VALUE
        )
        return Change(put_at, sequence, time.monotonic_ns())

    async def changes(self, rate: float, span: float) -> list[Change]:
        """So many a second, for `span` s."""
        loop = asyncio.get_running_loop()
        begun, made = loop.time(), []
        for number in range(max(1, int(rate * span))):
            await asyncio.sleep(max(0.0, begun + number / rate - loop.time()))
            made.append(loop.create_task(self.change(number)))
        await asyncio.sleep(max(0.0, begun + span - loop.time()))
        return list(await asyncio.gather(*made))

    async def everywhere(
        self, changes: Iterable[Change], most: float, gateways: int | None = None
    ) -> list[float | None]:
        """s from when each was put until it was in force at every gateway (where given, at the first
        `gateways`, which fill their processes); None: not `most` s from now on."""
        wanted, processes = list(changes), -(-(gateways or self.gateways) // self._each)
        end = time.monotonic() + most
        while True:
            await self.ask_gateways()
            found = [time_in_force(change, self._progress[:processes]) for change in wanted]
            if None not in found or time.monotonic() > end:
                return found
            await asyncio.sleep(LOOK)

    async def cost(self, rate: float, span: float) -> tuple[ConfigurationCost, list[Change]]:
        """With so many changes a second over `span` s, and these changes."""
        before, control_before = await self.ask_gateways(), await self.ask(self.replicas)
        changes = await self.changes(rate, span)
        after, control_after = await self.ask_gateways(), await self.ask(self.replicas)
        control = list(zip(control_before, control_after, strict=True))
        gateways = max(1, self.gateways)
        used = sum(cpu_share(a, b) - self._idle for a, b in zip(before, after, strict=True))
        return ConfigurationCost(
            self.gateways,
            len(self.replicas),
            rate,
            max(0.0, used) / gateways,
            sum(busier_rate(a, b) for a, b in zip(before, after, strict=True)) / gateways,
            sum(each.memory - self._base for each in after) / gateways,
            max(cpu_share(a, b) for a, b in control),
            max(busier_rate(a, b) for a, b in control),
            max(each.memory for each in control_after),
            combined_lag(each.lag for each in (*after, *control_after)),
        ), changes

    async def burst(self, count: int) -> list[Change]:
        """So many changes at once."""
        first = self._burst = self._burst + count
        return list(await asyncio.gather(*(self.change(first + n) for n in range(count))))

    async def burst_without_leader(self, count: int) -> list[Change]:
        """The leader's process dies while so many changes are on their way; another leads after a lease."""
        burst = asyncio.create_task(self.burst(count))
        await asyncio.sleep(0)
        dead = self.replicas.pop(0)
        dead.kill()
        await asyncio.sleep(LEASE)
        await self.appoint_first()
        await dead.close()
        return await burst


def cpu_share(before: ConfigurationReport, after: ConfigurationReport) -> float:
    """Of a core."""
    return (after.cpu - before.cpu) * 1e9 / (after.at - before.at)


def busier_rate(before: ConfigurationReport, after: ConfigurationReport) -> float:
    """bytes/s, the greater of sent and received."""
    seconds = (after.at - before.at) / 1e9
    return max(after.sent - before.sent, after.received - before.received) / seconds


def time_in_force(change: Change, progress: Iterable[Sequence[tuple[int, int]]]) -> float | None:
    """s until the gateways of all these processes had come to it; None: not yet."""
    ends = []
    for mine in progress:
        at = next((at for at, sequence in mine if sequence >= change.sequence), None)
        if at is None:
            return None
        ends.append(at)
    return (max(ends) - change.put_at) / 1e9 if ends else None
