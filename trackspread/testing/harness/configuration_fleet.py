"""Processes that hand configuration down, faults between them, and what their records say.

May know: processes, records, who is told to lead. May not know: how changes are agreed on.
"""

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
from ..judge.membership_records import MembershipRecord, Reader
from ...membership.wire import Keys
from ..standins.loopback import Ports
from ..virtual.distribution.invariants import InvariantViolated, Judged
from .configuration_process import FLEET, Gateway, ProcessSpec, ConfigurationReceived
from .limited_process import LimitedProcess, limited_command

MAX_DESCRIPTORS = 512  # of one process
LOOK = 0.1  # s between looks at the records
BEGIN = 10.0  # s for a first leader


class Process(LimitedProcess):
    """One of the fleet's."""

    def __init__(self, spec: ProcessSpec, log: Path) -> None:
        super().__init__(log.stem, log)
        self.spec = spec
        self.told = ConfigurationReceived()

    async def start(self) -> None:
        """From nothing; returns once it listens."""
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
            raise RuntimeError(self.log.read_text()[-2000:])
        self.tell(self.told)

    def tell(self, told: ConfigurationReceived) -> None:
        """What holds from now on, for whichever process runs here."""
        self.told = told
        if self.running and self._process is not None and self._process.stdin is not None:
            self._process.stdin.write(msgspec.json.encode(told) + b"\n")

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        self.told = msgspec.structs.replace(self.told, lead=None)


class Configured:
    """A fleet: a process for each replica, and one with all gateways."""

    def __init__(
        self,
        folder: Path,
        replicas: int = 5,
        gateways: int = 30,
        regions: int = 2,
        services: int = 6,
        mutant: str = "",
        recent: int = 8192,
        pieces: int = 2000,
        key: str = "a key of many bytes",
    ) -> None:
        self._ports = Ports()
        self._folder = folder
        self._key = key
        self.services = tuple(f"service-{n}" for n in range(services))
        self.addresses = tuple(self._ports.udp() for _ in range(replicas))
        self._gateways = tuple(
            Gateway(
                f"g{n}",
                self._ports.udp(),
                n % regions,
                frozenset((self.services[n % services], self.services[(n + 1) % services])),
            )
            for n in range(gateways)
        )
        spec = ProcessSpec(
            str(folder), self.addresses, regions, key=key, mutant=mutant, recent=recent, pieces=pieces
        )
        self.replicas = [
            Process(msgspec.structs.replace(spec, replica=n), folder / f"replica-{n}.log")
            for n in range(replicas)
        ]
        self.gateways = Process(
            msgspec.structs.replace(spec, gateways=self._gateways), folder / "gateways.log"
        )
        self._reader = Reader(
            [*(folder / f"replica-{n}.jsonl" for n in range(replicas)), folder / "gateways.jsonl"]
        )
        self._round = 0
        self.put_at: list[tuple[int, Version]] = []  # ns of the answer, and what it said

    async def __aenter__(self) -> Configured:
        await asyncio.gather(*(each.start() for each in self.replicas))
        self.appoint(0)
        await asyncio.to_thread(self.client(BEGIN).begin)
        await self._all_whole()
        await self.gateways.start()
        return self

    async def _all_whole(self) -> None:
        """Raises `RuntimeError` where some replicas do not come to count in time."""
        end = time.monotonic() + BEGIN
        while time.monotonic() < end:
            shown = [await self.show(number) for number in range(len(self.replicas))]
            if all(each is not None and each.role in ("leader", "follower") for each in shown):
                return
            await asyncio.sleep(LOOK)
        raise RuntimeError("some replicas are not whole")

    async def __aexit__(self, *words: object) -> None:
        for each in (*self.replicas, self.gateways):
            await each.kill()

    def client(self, patience: float = 5.0, first: int | None = None) -> ReplicaClient:
        return ReplicaClient(Wire(FLEET, Keys(self._key.encode())), self.addresses, patience, first)

    def appoint(self, number: int, former: bool = True) -> None:
        """The election's word; `former` False: those that led before are not told."""
        self._round += 1
        for at, process in enumerate(self.replicas):
            if at == number:
                process.tell(msgspec.structs.replace(process.told, lead=(self._round, number)))
            elif former:
                process.tell(msgspec.structs.replace(process.told, lead=None))

    def cut(
        self,
        some: Iterable[int],
        others: Iterable[int],
        gateways: bool = False,
        both: bool = True,
    ) -> None:
        """Nothing goes from the one replicas to the others; `gateways`: nor to gateways; `both`: nor back."""
        theirs = [self.addresses[n] for n in others]
        theirs += [each.address for each in self._gateways] if gateways else []
        for number in some:
            process = self.replicas[number]
            process.tell(
                msgspec.structs.replace(
                    process.told, cut=frozenset(theirs), deaf=frozenset(theirs if both else ())
                )
            )

    def cut_gateways(self, off: bool) -> None:
        """All gateways from all replicas."""
        cut = frozenset(self.addresses if off else ())
        self.gateways.tell(msgspec.structs.replace(self.gateways.told, cut=cut, deaf=cut))

    def heal(self) -> None:
        for process in (*self.replicas, self.gateways):
            process.tell(ConfigurationReceived(process.told.lead))

    def lossy(self, loss: float) -> None:
        for process in (*self.replicas, self.gateways):
            process.tell(msgspec.structs.replace(process.told, loss=loss))

    async def put(
        self,
        service: str,
        key: str,
        value: bytes | None,
        patience: float = 5.0,
        first: int | None = None,
    ) -> Version | None:
        """The version, once committed; None where nobody answered. `first`: the replica that is asked
        first."""
        try:
            version = await asyncio.to_thread(self.client(patience, first).put, service, key, value)
        except LeaderUnavailable:
            return None
        self.put_at.append((time.monotonic_ns(), version))
        return version

    async def show(self, number: int) -> Inspected | None:
        return await asyncio.to_thread(self.client().show, number)

    # What came to be.

    def records(self) -> list[MembershipRecord]:
        return self._reader.all()

    def acted(self) -> dict[str, Version]:
        """The newest version of each gateway's present process."""
        found: dict[str, Version] = {each.name: NO_VERSION for each in self._gateways}
        for each in self.records():
            if each.kind == "acts":
                found[each.name] = _version(each.about["version"])
        return found

    async def in_force(self, version: Version, most: float) -> float | None:
        """s until all gateways act on this version or a newer one; None where they don't within `most` s."""
        began = time.monotonic()
        while time.monotonic() - began < most:
            if min(self.acted().values()) >= version:
                return time.monotonic() - began
            await asyncio.sleep(LOOK)
        return None

    def judge(self) -> Judged:
        """Raises `InvariantViolated` where records do not fit, or a change told to be committed is not."""
        judged, born = Judged(), dict[str, int]()
        services = {each.name: each.services for each in self._gateways}
        for line in self.records():
            match line.kind:
                case "committed":
                    for entry in msgspec.convert(line.about["entries"], tuple[Entry, ...]):
                        judged.commits(line.at, line.name, entry)
                case "numbered":
                    judged.numbered(f"{line.name} {line.born}", _version(line.about["version"]))
        for line in self.records():
            if line.kind == "acts":
                if born.setdefault(line.name, line.born) != line.born:
                    born[line.name] = line.born
                    judged.starts(line.name)
                _acts(judged, line, services[line.name])
        for _, version in self.put_at:
            if version not in judged.committed:
                raise InvariantViolated(f"{version} was told to be committed, and is not")
        return judged


def _acts(judged: Judged, line: MembershipRecord, services: frozenset[str]) -> None:
    version = _version(line.about["version"])
    wanted = {s: keys for s, keys in judged.state(version).items() if s in services}
    if line.about["values"] != fingerprint(wanted):
        raise InvariantViolated(f"{line.name} acts on other values than those of {version}")
    judged.acts(line.name, version, wanted, services)


def _version(told: object) -> Version:
    return msgspec.convert(told, Version)
