"""`trackspread use`: what was counted, what billing has, and what to do when they differ.

May know: folders, audits, the export. Every operator's error is one plain line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import urllib.request
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from ..config import operator, platform
from ..config.addresses import ConfigError
from ..node.usage_part import record_names
from ..storage.directory import Directory
from ..storage.document import DocumentError
from ..usage import senders
from ..usage.audit import Audit, Received, audit, rebuild_control, reconcile
from ..usage.control import AREA_SIZE, AREAS, Names, pack
from ..usage.host import export_all
from ..usage.ledger import UsageLedger
from ..usage.record import NANO, Ending

SHOWN = 40  # differences; the rest is counted
FETCH_MOST = 30.0  # s for billing's totals


def run(given: argparse.Namespace) -> int:
    """Exit status; raises `ConfigError`."""
    try:
        match given.use:
            case "show":
                return _show(_audit(given.folder))
            case "verify":
                return _verify(_audit(given.folder))
            case "export":
                return _export(given)
            case "reconcile":
                return _reconcile([_audit(folder) for folder in given.folder], _received(given.received))
            case _:
                return _repair(given.folder, given.config)
    except (OSError, DocumentError) as error:
        where = given.folder if isinstance(given.folder, Path) else given.folder[0]
        raise ConfigError(f"{where}: {getattr(error, 'strerror', None) or error}") from None


def _audit(folder: Path) -> Audit:
    if not folder.is_dir():
        raise ConfigError(f"{folder}: found no folder, wanted a gateway's use.folder")
    found = audit(Directory(folder, view=True))
    if found.newer:
        raise ConfigError(f"{folder}: a newer program wrote here, wanted at least its version")
    return found


def _units(units: int) -> str:
    return f"{units / NANO:.3f}"


def _show(found: Audit) -> int:
    control = found.control
    if control is None:
        print("; ".join(found.wrong) or "nothing was recorded here yet")
        return 1 if found.wrong else 0
    print(f"producer {control.producer}: {found.segments} segments, {found.bytes / (1 << 20):.1f} MB")
    print(
        f"{'life':>6} {'gateway':<16} {'state':<8} {'places':>10} {'records':>10} {'billing has':>12} "
        f"{'to go':>10}"
    )
    for each in found.streams:
        stream = each.stream
        state = "open" if each.live else "sealed" if stream.sealed else "ended"
        print(
            f"{each.epoch:>6} {control.names[stream.names].gateway:<16} {state:<8} {each.length:>10} "
            f"{each.records:>10} {stream.acked:>12} {each.length - stream.acked:>10}"
        )
    for ending in Ending:
        rows = [held for (_, _, own), held in found.journal.rows.items() if own == ending]
        if rows:
            print(
                f"{ending.name.lower()}: {sum(n for n, _ in rows)} requests, "
                f"{_units(sum(u for _, u in rows))} units"
            )
    for reason, number in control.lost.items():
        print(f"lost, {reason}: {number} records")
    for text in found.wrong:
        print(f"look at: {text}")
    return 0


def _verify(found: Audit) -> int:
    records = sum(each.records for each in found.streams)
    torn = sum(len(each.torn) for each in found.streams)
    for text in found.wrong:
        print(text)
    print(
        f"{records} records check, {sum(len(each.damaged) for each in found.streams)} are damaged, "
        f"{sum(each.missing for each in found.streams)} are missing; {torn} were torn by a loss of power"
    )
    return 1 if found.wrong else 0


def _export(given: argparse.Namespace) -> int:
    use = operator.load(Path(given.file)).use if given.file else operator.Use()
    url = given.to or use.billing
    if not url:
        raise ConfigError("use export: found nowhere to send to, wanted --to URL or --file with use.billing")
    if not given.folder.is_dir():
        raise ConfigError(f"{given.folder}: found no folder, wanted a gateway's use.folder")
    try:
        way = senders.configured_sender(url, use.secret, use.ca)
    except ValueError as error:
        raise ConfigError(f"--to: found {url!r}, {error}") from None

    def told(ledger: UsageLedger) -> None:
        streams = ledger.control.streams.values()
        left = sum((stream.length or 0) - stream.acked for stream in streams)
        why = ledger.exporter.trouble or ledger.trouble
        print(f"{left} places to go{f', waiting: {why}' if why else ''}", file=sys.stderr, flush=True)

    ledger = asyncio.run(export_all(given.folder, way, given.seconds, told))
    if not ledger.exported:
        print(f"not all is exported: {ledger.exporter.trouble or ledger.trouble or 'out of time'}")
        return 1
    print("billing has everything that is in the folder")
    return 0


def _received(where: str) -> list[Received]:
    try:
        if where.startswith(("http://", "https://")):
            with urllib.request.urlopen(where, timeout=FETCH_MOST) as answer:
                data = answer.read()
        else:
            data = Path(where).read_bytes()
        return msgspec.json.decode(data, type=list[Received], strict=True)
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"--received {where}: {getattr(error, 'strerror', None) or error}") from None


def _reconcile(audits: list[Audit], received: list[Received]) -> int:
    differences = reconcile(audits, received)
    for each in differences[:SHOWN]:
        day = datetime.fromtimestamp(each.day * 86_400, UTC).date()
        print(
            f"{each.customer:016x} {day} {Ending(each.ending).name.lower():<8} "
            f"journal {each.journal[0]} / {_units(each.journal[1])}, "
            f"exported {each.exported[0]} / {_units(each.exported[1])}, "
            f"received {each.received[0]} / {_units(each.received[1])}: {each.kind}"
        )
    if len(differences) > SHOWN:
        print(f"and {len(differences) - SHOWN} more")
    gateways: dict[str, int] = {}
    for found in audits:
        control = found.control
        if control is None:
            continue
        for name in {control.names[each.stream.names].gateway for each in found.streams}:
            gateways[name] = gateways.get(name, 0) + 1
    for name in sorted(name for name, folders in gateways.items() if folders > 1):
        print(f"{gateways[name]} folders are of gateways called {name}: wanted a name of its own for each")
    requests, units = _total(audits)
    print(
        f"{requests} requests, {_units(units)} units in the journals: {len(differences) or 'no'} differences"
    )
    return 1 if differences else 0


def _total(audits: list[Audit]) -> tuple[int, int]:
    totals = [found.journal.total() for found in audits]
    return sum(n for n, _ in totals), sum(u for _, u in totals)


def _repair(folder: Path, config: str | None) -> int:
    found = _audit(folder)
    if found.control is not None:
        print("the control can be read: there is nothing to repair")
        return 0
    names = Names("", (), ())
    if config:
        names = record_names(platform.load({**os.environ, "ROUTER_CONFIG": config}))
    files = Directory(folder)
    try:
        control = rebuild_control(files, names, os.urandom(16).hex())
        data = pack(control)
        for name in AREAS:
            files.replace(name, data.ljust(AREA_SIZE, b"\0"))
    finally:
        files.close()
    places = sum(stream.length or 0 for stream in control.streams.values())
    print(
        f"{len(control.streams)} lives are known again, {places} places; billing is offered all "
        "of them, and takes what it has not"
    )
    return 0
