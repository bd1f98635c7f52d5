"""Runs a fleet over which configuration is distributed, with faults and a check of the records."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec

from ...distribution.client import LeaderUnavailable, ReplicaClient
from ...distribution.log import fingerprint
from ...distribution.messages import Inspected
from ...distribution.versions import NO_VERSION, Entry, Version
from ...distribution.wire import Wire
from ...membership.wire import Keys
from ..judge.membership_records import MembershipRecord, RecordReader
from ..standins.loopback import Ports
from ..virtual.distribution.invariants import InvariantViolated, InvariantChecker
from .configuration_process import FLEET, Conditions, GatewaySpec, ProcessSpec
from .limited_process import LimitedProcess, limited_command

MAX_DESCRIPTORS = 512  # limit on open files of one process
RECORD_POLL_S = 0.1
FIRST_LEADER_TIMEOUT_S = 10.0
CLIENT_TIMEOUT_S = 5.0
LOG_TAIL_CHARACTERS = 2000


class ConfigurationProcess(LimitedProcess):
    """Runs a process with a replica or gateways and keeps its network conditions over restarts."""

    def __init__(self, spec: ProcessSpec, log: Path) -> None:
        super().__init__(log.stem, log)
        self.spec = spec
        self.conditions = Conditions()

    async def start(self) -> None:
        """Starts it without any state and returns once it listens; raises `RuntimeError` if it does not."""
        command = limited_command(
            MAX_DESCRIPTORS,
            "-m",
            "trackspread.testing.harness.configuration_process",
            msgspec.json.encode(self.spec).decode(),
        )
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ},
            )
        assert self._process.stdout is not None
        if await self._process.stdout.readline() != b"ready\n":
            raise RuntimeError(self.log.read_text()[-LOG_TAIL_CHARACTERS:])
        self.set_conditions(self.conditions)

    def set_conditions(self, conditions: Conditions) -> None:
        """Sets the conditions from now on, also for processes that are started later."""
        self.conditions = conditions
        if self.running and self._process is not None and self._process.stdin is not None:
            self._process.stdin.write(msgspec.json.encode(conditions) + b"\n")

    async def kill(self) -> None:
        """Sends SIGKILL; the next process is not the leader."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        self.conditions = msgspec.structs.replace(self.conditions, leader=None)


class ConfigurationFleet:
    """Runs a process for each replica and one with all gateways; used with `async with`.

    Gateways g0, g1, ... are assigned to the regions in rotation, and each uses two of the services. `mutant`
    names a planted fault. `ProcessSpec` explains `recent_entries`, `pieces_per_s` and `key`.
    """

    def __init__(
        self,
        folder: Path,
        replicas: int = 5,
        gateways: int = 30,
        regions: int = 2,
        services: int = 6,
        mutant: str = "",
        recent_entries: int = 8192,
        pieces_per_s: int = 2000,
        key: str = "a key of many bytes",
    ) -> None:
        self._ports = Ports()
        self._key = key
        self.services = tuple(f"service-{n}" for n in range(services))
        self.addresses = tuple(self._ports.udp() for _ in range(replicas))
        self._gateways = tuple(
            GatewaySpec(
                f"g{n}",
                self._ports.udp(),
                n % regions,
                frozenset((self.services[n % services], self.services[(n + 1) % services])),
            )
            for n in range(gateways)
        )
        spec = ProcessSpec(
            str(folder),
            self.addresses,
            regions,
            key=key,
            mutant=mutant,
            recent_entries=recent_entries,
            pieces_per_s=pieces_per_s,
        )
        self.replicas = [
            ConfigurationProcess(msgspec.structs.replace(spec, replica=n), folder / f"replica-{n}.log")
            for n in range(replicas)
        ]
        self.gateways = ConfigurationProcess(
            msgspec.structs.replace(spec, gateways=self._gateways), folder / "gateways.log"
        )
        self._reader = RecordReader(
            [*(folder / f"replica-{n}.jsonl" for n in range(replicas)), folder / "gateways.jsonl"]
        )
        self._elections = 0
        self.put_at: list[tuple[int, Version]] = []  # time in ns and version of each acknowledged change

    async def __aenter__(self) -> ConfigurationFleet:
        await asyncio.gather(*(replica.start() for replica in self.replicas))
        self.elect(0)
        await asyncio.to_thread(self.client(FIRST_LEADER_TIMEOUT_S).begin)
        await self._all_complete()
        await self.gateways.start()
        return self

    async def _all_complete(self) -> None:
        """Waits until every replica leads or follows; raises `RuntimeError` if that takes too long."""
        end = time.monotonic() + FIRST_LEADER_TIMEOUT_S
        while time.monotonic() < end:
            shown = [await self.show(number) for number in range(len(self.replicas))]
            if all(each is not None and each.role in ("leader", "follower") for each in shown):
                return
            await asyncio.sleep(RECORD_POLL_S)
        raise RuntimeError(f"some replicas neither lead nor follow after {FIRST_LEADER_TIMEOUT_S:g} s")

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes():
            await process.kill()

    def _processes(self) -> tuple[ConfigurationProcess, ...]:
        return (*self.replicas, self.gateways)

    def client(self, timeout_s: float = CLIENT_TIMEOUT_S, first: int | None = None) -> ReplicaClient:
        """Returns an operator's client, which first asks the replica with the number `first`."""
        return ReplicaClient(Wire(FLEET, Keys(self._key.encode())), self.addresses, timeout_s, first)

    def elect(self, number: int, notify_former: bool = True) -> None:
        """Makes a replica the leader; former leaders learn of it only with `notify_former`."""
        self._elections += 1
        for position, process in enumerate(self.replicas):
            if position == number:
                epoch = (self._elections, number)
                process.set_conditions(msgspec.structs.replace(process.conditions, leader=epoch))
            elif notify_former:
                process.set_conditions(msgspec.structs.replace(process.conditions, leader=None))

    def cut(
        self,
        sources: Iterable[int],
        targets: Iterable[int],
        gateways: bool = False,
        both: bool = True,
    ) -> None:
        """Cuts the paths from some replicas to others, and with `gateways` to all gateways.

        With `both` the paths in the other direction are cut too.
        """
        addresses = [self.addresses[number] for number in targets]
        addresses += [gateway.address for gateway in self._gateways] if gateways else []
        for number in sources:
            process = self.replicas[number]
            process.set_conditions(
                msgspec.structs.replace(
                    process.conditions,
                    blocked_targets=frozenset(addresses),
                    blocked_sources=frozenset(addresses if both else ()),
                )
            )

    def cut_gateways(self, blocked: bool) -> None:
        """Cuts the paths between all gateways and all replicas, or restores them."""
        addresses = frozenset(self.addresses if blocked else ())
        self.gateways.set_conditions(
            msgspec.structs.replace(
                self.gateways.conditions, blocked_targets=addresses, blocked_sources=addresses
            )
        )

    def heal(self) -> None:
        """Ends all faults of the network."""
        for process in self._processes():
            process.set_conditions(Conditions(process.conditions.leader))

    def set_loss(self, loss: float) -> None:
        """Sets the share of all datagrams that is lost from now on."""
        for process in self._processes():
            process.set_conditions(msgspec.structs.replace(process.conditions, loss=loss))

    async def put(
        self,
        service: str,
        key: str,
        value: bytes | None,
        timeout_s: float = CLIENT_TIMEOUT_S,
        first: int | None = None,
    ) -> Version | None:
        """Changes a value; returns its version once it is committed, or None if no leader answered.

        The value None removes the key. `first` is the replica that is asked first.
        """
        try:
            version = await asyncio.to_thread(self.client(timeout_s, first).put, service, key, value)
        except LeaderUnavailable:
            return None
        self.put_at.append((time.monotonic_ns(), version))
        return version

    async def show(self, number: int) -> Inspected | None:
        """Returns a replica's state, or None if it does not answer."""
        return await asyncio.to_thread(self.client().show, number)

    def records(self) -> list[MembershipRecord]:
        """Returns all records so far in order of time."""
        return self._reader.all()

    def versions_in_use(self) -> dict[str, Version]:
        """Returns the newest version that each gateway uses, by its name."""
        versions: dict[str, Version] = {gateway.name: NO_VERSION for gateway in self._gateways}
        for record in self.records():
            if record.kind == "acts":
                versions[record.name] = _version(record.about["version"])
        return versions

    async def time_until_used(self, version: Version, timeout_s: float) -> float | None:
        """Returns the s until all gateways use this version or a newer one, or None after `timeout_s`."""
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            if min(self.versions_in_use().values()) >= version:
                return time.monotonic() - started
            await asyncio.sleep(RECORD_POLL_S)
        return None

    def judge(self) -> InvariantChecker:
        """Checks all records.

        Raises `InvariantViolated` if they are inconsistent, or if an acknowledged change is not committed.
        """
        judged = InvariantChecker()
        for record in self.records():
            _judge_replica(judged, record)
        services = {gateway.name: gateway.services for gateway in self._gateways}
        processes = dict[str, int]()
        for record in self.records():
            if record.kind != "acts":
                continue
            if processes.setdefault(record.name, record.born) != record.born:
                processes[record.name] = record.born
                judged.record_start(record.name)
            _judge_gateway(judged, record, services[record.name])
        for _, version in self.put_at:
            if version not in judged.committed:
                raise InvariantViolated(f"{version} was acknowledged as committed, and no record commits it")
        return judged


def _judge_replica(judged: InvariantChecker, record: MembershipRecord) -> None:
    match record.kind:
        case "committed":
            for entry in msgspec.convert(record.about["entries"], tuple[Entry, ...]):
                judged.record_committed(record.at, record.name, entry)
        case "numbered":
            judged.record_numbered(f"{record.name} {record.born}", _version(record.about["version"]))


def _judge_gateway(judged: InvariantChecker, record: MembershipRecord, services: frozenset[str]) -> None:
    version = _version(record.about["version"])
    expected = {name: keys for name, keys in judged.state_at(version).items() if name in services}
    if record.about["values"] != fingerprint(expected):
        raise InvariantViolated(f"{record.name} uses values other than those of {version}")
    judged.record_use(record.name, version, expected, services)


def _version(value: object) -> Version:
    return msgspec.convert(value, Version)
