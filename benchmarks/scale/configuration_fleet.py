"""Runs control replicas as processes and hollow gateways that poll their configuration from them.

The module measures the costs by gateways and by changes per second, and the time until a change is in force
at every gateway. There is no election: the run appoints the leader.
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

VALUE = b"v" * 200  # The size of a route.
READY_TIMEOUT_S = 20.0  # Until replicas lead and follow, and until gateways have all entries.
POLL_S = 0.1
IDLE_SPAN_S = 1.0  # Over which a process without gateways is measured.
LEASE_S = 2.0  # Until another replica leads after the leader's death: about the duration of an election.


class Change(msgspec.Struct, frozen=True):
    """Holds when a change was put and when the operator saw it committed, in ns, and its sequence number."""

    put_at: int
    sequence: int
    done_at: int = 0


class ConfigurationCost(msgspec.Struct, frozen=True):
    """Holds the costs over one span, of a gateway and of the busiest control machine.

    Bytes per second are payload of datagrams: the greater of sent and received.
    """

    gateways: int
    control: int  # Control machines.
    rate: float  # Changes per second.
    cpu: float  # Of a gateway, as a share of a core.
    bytes: float  # Of a gateway, in bytes/s.
    memory: float  # Of a gateway, in resident bytes.
    control_cpu: float
    control_bytes: float
    control_memory: float
    lag: Lag


class ConfigurationNotReady(Exception):
    """Reports replicas or gateways that did not reach the expected state in time."""


class ConfigurationFleet:
    """Holds the processes of the replicas and gateways; use it as `async with`. At first no gateway runs."""

    def __init__(
        self,
        replicas: int,
        processes: int,
        each: int,
        guard: Guard,
        services: int = 2_100,
        carried: int = 16,
    ) -> None:
        """Takes the number of `processes` and of hollow gateways in `each`; processes fill up one by one."""
        self._ports, self._guard, self._each = Ports(), guard, each
        self._hosts = [self._ports.host() for _ in range(processes)]
        addresses: tuple[Address, ...] = tuple((self._ports.host(), PORT) for _ in range(replicas))
        self.tier = Tier("handing", addresses, services, carried)
        self.replicas: list[Child[ConfigurationReport]] = []
        self.processes: list[Child[ConfigurationReport]] = []
        self.operator = Operator(self.tier.fleet, addresses)
        self._base = 0.0  # Resident bytes of a process of gateways without gateways.
        self._idle = 0.0  # Share of a core that it uses then.
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
        reports = await asyncio.gather(
            *(
                child.ask(SetGateways(self.tier, host))
                for host, child in zip(self._hosts, self.processes, strict=True)
            )
        )
        await asyncio.sleep(IDLE_SPAN_S)
        idle = await self.ask(self.processes)
        self._idle = fmean(cpu_share(a, b) for a, b in zip(reports, idle, strict=True))
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
        """Appoints the first running replica as leader."""
        self._round += 1
        self.operator.leader = len(self.tier.replicas) - len(self.replicas)
        await self.replicas[0].ask(Lead(self._round))

    async def _all_follow(self) -> bool:
        roles = [each.role for each in await self.ask(self.replicas)]
        return roles.count("leader") == 1 and roles.count("follower") == len(roles) - 1

    async def add(self, count: int) -> None:
        """Starts gateways up to `count`; returns once each has all committed entries."""
        for process, child in enumerate(self.processes[: -(-count // self._each)]):
            numbers = range(max(self.gateways, process * self._each), min(count, (process + 1) * self._each))
            await child.ask(Add(tuple(numbers)))
        self.gateways = count
        await self._until(self._all_have, "gateways to have what is committed")

    async def _all_have(self) -> bool:
        committed = max(each.sequence for each in await self.ask(self.replicas))
        reports = await self.ask_gateways()
        return all(each.sequence >= committed for each in reports)

    async def _until(self, holds: Callable[[], Awaitable[bool]], what: str) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while not await holds():
            if time.monotonic() > end:
                raise ConfigurationNotReady(f"waited {READY_TIMEOUT_S:g} s for {what}")
            await asyncio.sleep(POLL_S)

    async def ask(
        self, children: Sequence[Child[ConfigurationReport]], command: ConfigurationCommand | None = None
    ) -> list[ConfigurationReport]:
        self._guard.check()
        return list(await asyncio.gather(*(child.ask(command or Ask()) for child in children)))

    def _in_use(self) -> list[Child[ConfigurationReport]]:
        """Returns the processes that have gateways."""
        return self.processes[: -(-self.gateways // self._each)]

    async def ask_gateways(self) -> list[ConfigurationReport]:
        """Returns the reports of all processes with gateways, and keeps their progress."""
        reports = await self.ask(self._in_use())
        for mine, each in zip(self._progress, reports, strict=False):
            mine.extend(each.progress)
        return reports

    async def end(self) -> None:
        await self.ask([*self.replicas, *self.processes], Stop())

    async def change(self, number: int) -> Change:
        """Puts one change; returns once it is committed. Raises `NotDone`."""
        put_at, sequence = await self.operator.put(
            service(number * 7 % self.tier.services), f"route-{number}", VALUE
        )
        return Change(put_at, sequence, time.monotonic_ns())

    async def changes(self, rate: float, span: float) -> list[Change]:
        """Puts `rate` changes per second for `span` seconds."""
        loop = asyncio.get_running_loop()
        started, tasks = loop.time(), []
        for number in range(max(1, int(rate * span))):
            await asyncio.sleep(max(0.0, started + number / rate - loop.time()))
            tasks.append(loop.create_task(self.change(number)))
        await asyncio.sleep(max(0.0, started + span - loop.time()))
        return list(await asyncio.gather(*tasks))

    async def everywhere(
        self, changes: Iterable[Change], most: float, gateways: int | None = None
    ) -> list[float | None]:
        """Returns the seconds until each change was in force at every gateway, from when it was put.

        Only the first `gateways` count if given; they fill their processes. A value is None if the change is
        not in force within `most` seconds from now.
        """
        pending, processes = list(changes), -(-(gateways or self.gateways) // self._each)
        end = time.monotonic() + most
        while True:
            await self.ask_gateways()
            found = [time_in_force(change, self._progress[:processes]) for change in pending]
            if None not in found or time.monotonic() > end:
                return found
            await asyncio.sleep(POLL_S)

    async def cost(self, rate: float, span: float) -> tuple[ConfigurationCost, list[Change]]:
        """Returns the costs of `rate` changes per second over `span` seconds, and these changes."""
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
        """Puts `count` changes at once."""
        first = self._burst = self._burst + count
        return list(await asyncio.gather(*(self.change(first + n) for n in range(count))))

    async def burst_without_leader(self, count: int) -> list[Change]:
        """Kills the leader's process while `count` changes are being put; another leads after a lease."""
        burst = asyncio.create_task(self.burst(count))
        await asyncio.sleep(0)
        dead = self.replicas.pop(0)
        dead.kill()
        await asyncio.sleep(LEASE_S)
        await self.appoint_first()
        await dead.close()
        return await burst


def cpu_share(before: ConfigurationReport, after: ConfigurationReport) -> float:
    """Returns the share of a core that was used."""
    return (after.cpu - before.cpu) * 1e9 / (after.at - before.at)


def busier_rate(before: ConfigurationReport, after: ConfigurationReport) -> float:
    """Returns bytes/s: the greater of sent and received."""
    seconds = (after.at - before.at) / 1e9
    return max(after.sent - before.sent, after.received - before.received) / seconds


def time_in_force(change: Change, progress: Iterable[Sequence[tuple[int, int]]]) -> float | None:
    """Returns the seconds until all gateways of the processes had applied a change, or None."""
    ends = []
    for mine in progress:
        at = next((at for at, sequence in mine if sequence >= change.sequence), None)
        if at is None:
            return None
        ends.append(at)
    return (max(ends) - change.put_at) / 1e9 if ends else None
