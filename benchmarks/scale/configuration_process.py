"""A process of configuration handed down: a control machine's replica, or hollow gateways that pull.

The cores and the wire are the program's own (`trackspread/distribution/`), on real datagram sockets. Reads
one command a line from standard input and answers each (`configuration_messages.py`). May know: these cores.
May not know: what the run makes of its figures.
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

PEAK_SPAN = 1.0  # s


def service(number: int) -> str:
    return f"service-{number}"


def carried_services(tier: Tier, gateway: int) -> frozenset[str]:
    """The services of one gateway: all are carried by about as many."""
    first = gateway * tier.carried
    return frozenset(service((first + n) % tier.services) for n in range(tier.carried))


class DistributionSocket(CoreSocket):
    """What both cores' sockets do alike. `number`: a replica's; -1 for a gateway."""

    def __init__(self, name: str, address: Address, tier: Tier, number: int) -> None:
        super().__init__(name, address)
        self._wire, self._number, self._born = Wire(tier.fleet, Keys()), number, created_now_ms()

    def do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, body):
                    message = Message(self._wire.fleet, self._number, self._born, body)
                    self.send(to, self._wire.pack(message))
                case StatusEvent():
                    self.notice(action)

    def notice(self, noticed: StatusEvent) -> None:
        """Something came to be."""


class ReplicaSocket(DistributionSocket):
    """A control machine's replica."""

    def __init__(self, tier: Tier, number: int) -> None:
        super().__init__(f"control-{number}", tier.replicas[number], tier, number)
        settings = ReplicaSettings(number, self._born, tier.replicas)
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
    """A hollow gateway that pulls what its services need."""

    def __init__(self, tier: Tier, number: int, address: Address, process: ConfigurationProcess) -> None:
        super().__init__(f"gateway-{number}", address, tier, -1)
        near = tuple(at for n, at in enumerate(tier.replicas) if n % REGIONS == number % REGIONS)
        others = tuple(at for at in tier.replicas if at not in near)
        settings = SubscriberSettings(near or others, carried_services(tier, number), others if near else ())
        self.core = Subscriber(settings, time.monotonic_ns(), number)
        self._process = process

    def tick(self, now: int) -> None:
        self.do(self.core.tick(now))

    def on_datagram(self, now: int, data: bytes, source: Address) -> None:
        message = self._wire.unpack(data)
        if message is not None:
            self.do(self.core.on_message(now, message.body, source))

    def notice(self, noticed: StatusEvent) -> None:
        if noticed.kind == "acts":
            self._process.came_to(self.name, self.core.version.sequence)


class ConfigurationProcess:
    """All that runs in this process."""

    def __init__(self, setup: SetReplica | SetGateways) -> None:
        self._setup = setup
        self._sockets: list[DistributionSocket] = []
        self._sequences: dict[str, int] = {}  # by gateway
        self._progress: list[tuple[int, int]] = []
        self._peak = 0
        self._watch = LagWatch()
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        if isinstance(self._setup, SetReplica):
            await self._open(ReplicaSocket(self._setup.tier, self._setup.number))
        self._watch.start()
        self._beat = asyncio.get_running_loop().create_task(self._every_second())

    def close(self) -> None:
        self._watch.stop()
        if self._beat is not None:
            self._beat.cancel()
        for each in self._sockets:
            each.close()

    def came_to(self, gateway: str, sequence: int) -> None:
        """A gateway acts on this version of the configuration from now on."""
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
        return self._told()

    async def _open(self, made: DistributionSocket) -> None:
        await made.open()
        self._sockets.append(made)

    def _told(self) -> ConfigurationReport:
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
            await asyncio.sleep(PEAK_SPAN)
            self._peak = max([self._peak, *(each.since_last() for each in self._sockets)])


async def serve() -> None:
    """As the run asks, until it ends."""
    process: ConfigurationProcess | None = None

    async def answer(command: ConfigurationCommand) -> ConfigurationReport:
        nonlocal process
        if isinstance(command, SetReplica | SetGateways):
            process = ConfigurationProcess(command)
            await process.start()
            command = Ask()
        if process is None:
            raise SystemExit("the first command has to set this process up")
        return await process.do(command)

    await answer_all(ConfigurationCommand, answer, Stop)
    if process is not None:
        process.close()


if __name__ == "__main__":
    uvloop.run(serve())
