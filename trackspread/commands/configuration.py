"""Implements `trackspread configuration`, which changes and shows the distributed configuration.

An error of the operator is one line (`ConfigError`).
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from pathlib import Path

from ..config import operator
from ..config.addresses import ConfigError
from ..distribution.client import KeyLimitReached, LeaderUnavailable, ReplicaClient
from ..distribution.messages import Inspected
from ..distribution.report import SubscriptionReport
from ..distribution.versions import MAX_NAME_CHARACTERS, MAX_VALUE_BYTES, Version
from ..distribution.wire import Wire
from ..membership.identifiers import Epoch
from ..node.fleet_keys import read_keys
from . import admin_client


def run(options: argparse.Namespace) -> int:
    """Runs one action and returns the exit status; raises `ConfigError`."""
    path = Path(options.file)
    loaded = operator.load(path)
    replicas = loaded.configuration.addresses()
    if not replicas:
        raise ConfigError(
            f"{path}: configuration.replicas: must be the addresses of the replicas, got nothing"
        )
    client = ReplicaClient(Wire(loaded.fleet.name, read_keys(loaded.fleet)), replicas)
    try:
        return _act(options, client, loaded.configuration.replicas)
    except KeyLimitReached as error:
        raise ConfigError(f"KEY: {error}") from None
    except LeaderUnavailable as error:
        raise ConfigError(
            f"{path}: configuration.replicas: {error}; a majority of them must run with the fleet's key, and "
            "a history must have begun"
        ) from None


def _act(options: argparse.Namespace, client: ReplicaClient, replicas: Sequence[str]) -> int:
    match options.configuration:
        case "put":
            value = options.value.encode()
            if len(value) > MAX_VALUE_BYTES:
                raise ConfigError(f"VALUE: must be at most {MAX_VALUE_BYTES} bytes, got {len(value)}")
            _check_names(options.service, options.key)
            print(f"version {format_version(client.put(options.service, options.key, value))}")
        case "delete":
            _check_names(options.service, options.key)
            print(f"version {format_version(client.put(options.service, options.key, None))}")
        case "begin":
            print(f"history {client.begin().history}")
        case _ if options.admin_address:
            return show_gateways(options.admin_address)
        case _:
            return show_replicas(client, replicas, options.key)
    return 0


def _check_names(service: str, key: str) -> None:
    for option, name in (("SERVICE", service), ("KEY", key)):
        if not 0 < len(name) <= MAX_NAME_CHARACTERS or "\0" in name:
            raise ConfigError(
                f"{option}: must be 1 to {MAX_NAME_CHARACTERS} characters without NUL, got {len(name)}"
            )


def format_version(version: Version) -> str:
    """Formats a version for operators."""
    return _format_version(version.history, version.epoch, version.sequence)


def _format_version(history: int, epoch: Epoch, sequence: int) -> str:
    return f"{history}.{epoch[0]}.{epoch[1]}.{sequence}"


def show_replicas(client: ReplicaClient, replicas: Sequence[str], entry_name: str) -> int:
    """Prints each replica's state; raises `ConfigError` if none of them answers.

    `entry_name` is the SERVICE/KEY of a value that is printed too, or empty. The exit status is 0 if all
    replicas answer, all have committed the same version and exactly one is the leader; otherwise it is 1.
    """
    service, _, key = entry_name.partition("/")
    if entry_name:
        _check_names(service, key)
    answers = [client.show(number, service, key) for number in range(len(replicas))]
    if not any(answers):
        raise ConfigError(
            "configuration.replicas: at least one replica must run, got no answer from any of them"
        )
    for address, answer in zip(replicas, answers, strict=True):
        print(f"{address:<24} {_replica_line(answer) if answer is not None else 'does not answer'}")
    states = [answer for answer in answers if answer is not None]
    if entry_name:
        _print_entry(entry_name, states)
    leaders = sum(state.role == "leader" for state in states)
    committed = {state.committed for state in states}
    return 0 if len(committed) == 1 and leaders == 1 and None not in answers else 1


def _print_entry(entry_name: str, states: Sequence[Inspected]) -> None:
    entries = {state.entry for state in states if state.entry is not None}
    for entry in sorted(entries, key=lambda each: each.version):
        value = (entry.value or b"").decode(errors="replace")
        print(f"{entry_name} = {value!r}, since version {format_version(entry.version)}")
    if not entries:
        print(f"{entry_name} has no value")


def _replica_line(state: Inspected) -> str:
    committed = format_version(state.committed)
    return f"{state.role:<12} version {committed}, {state.keys} keys, last {format_version(state.last)}"


def show_gateways(admin_addresses: Sequence[str]) -> int:
    """Prints each gateway's version; raises `ConfigError`.

    The exit status is 0 if all have the same version, and otherwise 1.
    """
    reports = []
    for each in admin_addresses:
        body = admin_client.fetch(each, "/configuration", "configuration.listen")
        reports.append(admin_client.decode(each, body, SubscriptionReport))
    for report in reports:
        age = f"{report.age_s:.1f} s ago" if report.age_s is not None else "never"
        version = _format_version(report.history, report.epoch, report.sequence)
        print(
            f"{report.name:<20} version {version}, {report.keys} keys "
            f"of {report.services} services ({report.values}), confirmed as the newest {age}, "
            f"polls {report.replica}"
        )
    versions = {(report.history, report.epoch, report.sequence) for report in reports}
    return 0 if len(versions) == 1 else 1
