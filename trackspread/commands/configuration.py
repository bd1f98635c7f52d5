"""`trackspread configuration`: changes of what replicas hand down, and what replicas and gateways hold.

May know: the operator's file, replicas, doors. Every operator's error is one plain line (`ConfigError`).
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from pathlib import Path

import msgspec

from ..config import operator
from ..config.addresses import ConfigError
from ..distribution.client import KeyLimitReached, LeaderUnavailable, ReplicaClient
from ..distribution.report import SubscriptionReport
from ..distribution.messages import Inspected
from ..distribution.versions import MAX_NAME_CHARACTERS, MAX_VALUE_BYTES, Version
from ..membership.identifiers import Epoch
from ..distribution.wire import Wire
from ..node.fleet_keys import read_keys
from .fleet import ask


def run(given: argparse.Namespace) -> int:
    """Exit status; raises `ConfigError`."""
    path = Path(given.file)
    made = operator.load(path)
    replicas = made.configuration.addresses()
    if not replicas:
        raise ConfigError(f"{path}: configuration.replicas: found nothing, wanted the replicas' addresses")
    client = ReplicaClient(Wire(made.fleet.name, read_keys(made.fleet)), replicas)
    try:
        return _act(given, client, made.configuration.replicas)
    except KeyLimitReached as error:
        raise ConfigError(f"KEY: {error}") from None
    except LeaderUnavailable as error:
        raise ConfigError(
            f"{path}: configuration.replicas: {error}; wanted a majority of them up, with the "
            "fleet's key, and a history begun"
        ) from None


def _act(given: argparse.Namespace, client: ReplicaClient, replicas: Sequence[str]) -> int:
    match given.configuration:
        case "put":
            value = given.value.encode()
            if len(value) > MAX_VALUE_BYTES:
                raise ConfigError(f"VALUE: found {len(value)} bytes, wanted {MAX_VALUE_BYTES} at most")
            print(f"version {plain(client.put(*_names(given.service, given.key), value))}")
        case "delete":
            print(f"version {plain(client.put(*_names(given.service, given.key), None))}")
        case "begin":
            print(f"history {client.begin().history}")
        case _ if given.door:
            return gateways(given.door)
        case _:
            return held(client, replicas, given.key)
    return 0


def _names(service: str, key: str) -> tuple[str, str]:
    for what, name in (("SERVICE", service), ("KEY", key)):
        if not 0 < len(name) <= MAX_NAME_CHARACTERS or "\0" in name:
            raise ConfigError(f"{what}: found {len(name)} characters, wanted 1 to {MAX_NAME_CHARACTERS}")
    return service, key


def plain(version: Version) -> str:
    """For a person."""
    return _dotted(version.history, version.epoch, version.sequence)


def _dotted(history: int, epoch: Epoch, sequence: int) -> str:
    return f"{history}.{epoch[0]}.{epoch[1]}.{sequence}"


def held(client: ReplicaClient, replicas: Sequence[str], named: str) -> int:
    """What each replica holds; exit status 0 where those that answer have committed the same."""
    service, _, key = named.partition("/")
    if named:
        _names(service, key)
    answers = [client.show(number, service, key) for number in range(len(replicas))]
    if not any(answers):
        raise ConfigError("configuration.replicas: none of them answers, wanted one that runs")
    for address, answer in zip(replicas, answers, strict=True):
        print(f"{address:<24} {_line(answer) if answer is not None else 'does not answer'}")
    if named:
        entries = {each.entry for each in answers if each is not None and each.entry is not None}
        for entry in sorted(entries, key=lambda each: each.version):
            value = (entry.value or b"").decode(errors="replace")
            print(f"{named} = {value!r}, since version {plain(entry.version)}")
        if not entries:
            print(f"{named} has no value")
    leading = sum(each is not None and each.role == "leader" for each in answers)
    same = len({each.committed for each in answers if each is not None}) == 1
    return 0 if same and leading == 1 and None not in answers else 1


def _line(shown: Inspected) -> str:
    return f"{shown.role:<12} version {plain(shown.committed)}, {shown.keys} keys, last {plain(shown.last)}"


def gateways(doors: Sequence[str]) -> int:
    """What each gateway holds; exit status 0 where all hold one version."""
    reports = []
    for door in doors:
        answer = ask(door, "/configuration", "configuration.listen")
        try:
            reports.append(msgspec.json.decode(answer, type=SubscriptionReport))
        except msgspec.DecodeError as error:
            raise ConfigError(f"{door}: not a gateway's answer: {error}") from None
    for each in reports:
        age = f"{each.age_s:.1f} s ago" if each.age_s is not None else "never"
        print(
            f"{each.name:<20} version {_dotted(each.history, each.epoch, each.sequence)}, {each.keys} keys "
            f"of {each.services} services ({each.values}), surely the newest {age}, asks {each.replica}"
        )
    return 0 if len({(each.history, each.epoch, each.sequence) for each in reports}) == 1 else 1
