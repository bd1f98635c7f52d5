"""Runs a process of configuration: the replica of a control machine, or hollow gateways that poll it.

The cores and the wire format are the program's own (`trackspread/distribution/`), on real datagram sockets.
The process reads one command per line from standard input and answers each (`configuration_messages.py`). It
does not know how the run uses its figures.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Iterable

import uvloop

from trackspread.distribution.actions import Action, Send
from trackspread.distribution.messages import Message
from trackspread.distribution.replica import Replica
from trackspread.distribution.settings import ReplicaSettings, SubscriberSettings
from trackspread.distribution.subscriber import Subscriber
from trackspread.distribution.wire import Wire
from trackspread.membership.actions import StatusEvent
from trackspread.membership.host import created_now_ms
from trackspread.membership.identifiers import Epoch
from trackspread.membership.wire import Keys

from .answering import answer_all
from .bounds import resident
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
from .datagrams import CoreSocket
from .lag import LagWatch
from .placement import PORT, REGIONS, Address

PEAK_SPAN_S = 1.0


def service(number: int) -> str:
    return f"service-{number}"


def carried_services(tier: Tier, gateway: int) -> frozenset[str]:
    """Returns the services of one gateway; all services have about the same number of gateways."""
    first = gateway * tier.carried
    return frozenset(service((first + n) % tier.services) for n in range(tier.carried))


class DistributionSocket(CoreSocket):
    """Sends and reports what a core returns. `number` is that of a replica, or -1 for a gateway."""

    def __init__(self, name: str, address: Address, tier: Tier, number: int) -> None:
        super().__init__(name, address)
        self._wire, self._number, self._incarnation = Wire(tier.fleet, Keys()), number, created_now_ms()

    def do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, body):
                    message = Message(self._wire.fleet, self._number, self._incarnation, body)
                    self.send(to, self._wire.pack(message))
                case StatusEvent():
                    self.on_event(action)

    def on_event(self, event: StatusEvent) -> None:
        """Handles an event of the core; by default ignores it."""


class ReplicaSocket(DistributionSocket):
    """Runs the replica of a control machine."""

    def __init__(self, tier: Tier, number: int) -> None:
        super().__init__(f"control-{number}", tier.replicas[number], tier, number)
        settings = ReplicaSettings(number, self._incarnation, tier.replicas)
        self.core = Replica(settings, time.monotonic_ns(), number)
        self.epoch: Epoch | None = None

    def tick(self, now: int) -> None:
        self.do(self.core.set_leadership(now, self.epoch))
        self.do(self.core.tick(now))

    def on_datagram(self, now: int, data: bytes, source: Address) -> None:
        message = self._wire.unpack(data)
        if message is not None:
            self.do(self.core.set_leadership(now, self.epoch))
            self.do(self.core.on_message(now, message.replica, message.incarnation, message.body, source))


class GatewaySocket(DistributionSocket):
    """Runs a hollow gateway that polls the configuration of its services."""

    def __init__(self, tier: Tier, number: int, address: Address, process: ConfigurationProcess) -> None:
        super().__init__(f"gateway-{number}", address, tier, -1)
        same_region = tuple(at for n, at in enumerate(tier.replicas) if n % REGIONS == number % REGIONS)
        others = tuple(at for at in tier.replicas if at not in same_region)
        settings = SubscriberSettings(
            same_region or others, carried_services(tier, number), others if same_region else ()
        )
        self.core = Subscriber(settings, time.monotonic_ns(), number)
        self._process = process

    def tick(self, now: int) -> None:
        self.do(self.core.tick(now))

    def on_datagram(self, now: int, data: bytes, source: Address) -> None:
        message = self._wire.unpack(data)
        if message is not None:
            self.do(self.core.on_message(now, message.body, source))

    def on_event(self, event: StatusEvent) -> None:
        if event.kind == "acts":
            self._process.record_progress(self.name, self.core.version.sequence)


class ConfigurationProcess:
    """Runs the replica or the hollow gateways of this process and executes the commands of the run."""

    def __init__(self, setup: SetReplica | SetGateways) -> None:
        self._setup = setup
        self._sockets: list[DistributionSocket] = []
        self._sequences: dict[str, int] = {}  # By gateway.
        self._progress: list[tuple[int, int]] = []
        self._peak = 0
        self._watch = LagWatch()
        self._peak_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        if isinstance(self._setup, SetReplica):
            await self._open(ReplicaSocket(self._setup.tier, self._setup.number))
        self._watch.start()
        self._peak_task = asyncio.get_running_loop().create_task(self._every_second())

    def close(self) -> None:
        self._watch.stop()
        if self._peak_task is not None:
            self._peak_task.cancel()
        for each in self._sockets:
            each.close()

    def record_progress(self, gateway: str, sequence: int) -> None:
        """Records that a gateway applied the configuration up to `sequence`."""
        before = min(self._sequences.values())
        self._sequences[gateway] = sequence
        if (least := min(self._sequences.values())) > before:
            self._progress.append((time.monotonic_ns(), least))

    async def do(self, command: ConfigurationCommand) -> ConfigurationReport:
        match command:
            case Lead(round=round_):
                for each in self._sockets:
                    if isinstance(each, ReplicaSocket):
                        each.epoch = round_, each.core.settings.number
            case Add() if isinstance(self._setup, SetGateways):
                for number in command.numbers:
                    self._sequences[f"gateway-{number}"] = 0
                    at = self._setup.host, PORT + len(self._sockets)
                    await self._open(GatewaySocket(self._setup.tier, number, at, self))
        return self._report()

    async def _open(self, made: DistributionSocket) -> None:
        await made.open()
        self._sockets.append(made)

    def _report(self) -> ConfigurationReport:
        role, sequence = "", min(self._sequences.values(), default=0)
        for each in self._sockets:
            if isinstance(each, ReplicaSocket):
                role, sequence = each.core.role, each.core.log.committed.sequence
        progress, self._progress = tuple(self._progress), []
        peak, self._peak = self._peak, 0
        return ConfigurationReport(
            time.monotonic_ns(),
            time.process_time(),
            resident(os.getpid()),
            len(self._sequences),
            sum(each.datagrams for each in self._sockets),
            sum(each.sent for each in self._sockets),
            sum(each.received for each in self._sockets),
            role,
            sequence,
            progress,
            peak,
            self._watch.take(),
        )

    async def _every_second(self) -> None:
        while True:
            await asyncio.sleep(PEAK_SPAN_S)
            self._peak = max([self._peak, *(each.since_last() for each in self._sockets)])


async def serve() -> None:
    """Executes the commands of the run until it ends."""
    process: ConfigurationProcess | None = None

    async def answer(command: ConfigurationCommand) -> ConfigurationReport:
        nonlocal process
        if isinstance(command, SetReplica | SetGateways):
            process = ConfigurationProcess(command)
            await process.start()
            command = Ask()
        if process is None:
            raise SystemExit("first command: must be SetReplica or SetGateways")
        return await process.do(command)

    await answer_all(ConfigurationCommand, answer, Stop)
    if process is not None:
        process.close()


if __name__ == "__main__":
    uvloop.run(serve())
