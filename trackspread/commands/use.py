"""Implements `trackspread use`, which shows, verifies, exports, compares and repairs usage records.

An error of the operator is one line (`ConfigError`).
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
from ..usage.audit import Audit, Difference, Received, audit, rebuild_checkpoint, reconcile
from ..usage.control import AREA_SIZE, AREAS, Checkpoint, Names, pack
from ..usage.host import export_all
from ..usage.ledger import UsageLedger
from ..usage.record import NANO_PER_UNIT, Ending
from ..usage.totals import Amount

MAX_DIFFERENCES = 40  # limit on printed differences; the others are only counted
FETCH_TIMEOUT_S = 30.0  # time-out for the request of billing's totals
BYTES_PER_MB = 1 << 20
SECONDS_PER_DAY = 86_400


def run(options: argparse.Namespace) -> int:
    """Runs one action and returns the exit status; raises `ConfigError`."""
    try:
        return _act(options)
    except (OSError, DocumentError) as error:
        folder = options.folder if isinstance(options.folder, Path) else options.folder[0]
        raise ConfigError(f"{folder}: {getattr(error, 'strerror', None) or error}") from None


def _act(options: argparse.Namespace) -> int:
    match options.use:
        case "show":
            return _show(_audit(options.folder))
        case "verify":
            return _verify(_audit(options.folder))
        case "export":
            return _export(options)
        case "reconcile":
            return _reconcile([_audit(folder) for folder in options.folder], _received(options.received))
        case _:
            return _repair(options.folder, options.config)


def _audit(folder: Path) -> Audit:
    if not folder.is_dir():
        raise ConfigError(f"{folder}: must be a gateway's use.folder, but no such folder exists")
    folder_audit = audit(Directory(folder, view=True))
    if folder_audit.newer:
        raise ConfigError(
            f"{folder}: a newer version of the program wrote this folder; use that version or a later one"
        )
    return folder_audit


def _format_units(nano_units: int) -> str:
    return f"{nano_units / NANO_PER_UNIT:.3f}"


def _format_amount(amount: Amount) -> str:
    return f"{amount.requests} / {_format_units(amount.nano_units)}"


def _show(folder_audit: Audit) -> int:
    checkpoint = folder_audit.checkpoint
    if checkpoint is None:
        print("; ".join(folder_audit.problems) or "the folder has no records yet")
        return 1 if folder_audit.problems else 0
    print(
        f"producer {checkpoint.producer}: {folder_audit.segments} segments, "
        f"{folder_audit.bytes / BYTES_PER_MB:.1f} MB"
    )
    _print_streams(folder_audit, checkpoint)
    for ending in Ending:
        sums = [
            total for (_, _, row_ending), total in folder_audit.journal.rows.items() if row_ending == ending
        ]
        if sums:
            requests = sum(count for count, _ in sums)
            units = sum(nano_units for _, nano_units in sums)
            print(f"{ending.name.lower()}: {requests} requests, {_format_units(units)} units")
    for reason, number in checkpoint.lost.items():
        print(f"lost, {reason}: {number} records")
    for text in folder_audit.problems:
        print(f"problem: {text}")
    return 0


def _print_streams(folder_audit: Audit, checkpoint: Checkpoint) -> None:
    print(
        f"{'epoch':>6} {'gateway':<16} {'state':<8} {'slots':>10} {'records':>10} {'acknowledged':>12} "
        f"{'left':>10}"
    )
    for each in folder_audit.streams:
        stream = each.stream
        state = "open" if each.live else "sealed" if stream.sealed else "ended"
        print(
            f"{each.epoch:>6} {checkpoint.names[stream.names].gateway:<16} {state:<8} {each.length:>10} "
            f"{each.records:>10} {stream.acked:>12} {each.length - stream.acked:>10}"
        )


def _verify(folder_audit: Audit) -> int:
    records = sum(each.records for each in folder_audit.streams)
    damaged = sum(len(each.damaged) for each in folder_audit.streams)
    missing = sum(each.missing for each in folder_audit.streams)
    torn = sum(len(each.torn) for each in folder_audit.streams)
    for text in folder_audit.problems:
        print(text)
    print(
        f"{records} records are valid, {damaged} are damaged, "
        f"{missing} are missing; {torn} were torn by a loss of power"
    )
    return 1 if folder_audit.problems else 0


def _export(options: argparse.Namespace) -> int:
    use = operator.load(Path(options.file)).use if options.file else operator.Use()
    url = options.to or use.billing
    if not url:
        raise ConfigError("use export: must have --to URL or --file with use.billing, got neither")
    if not options.folder.is_dir():
        raise ConfigError(f"{options.folder}: must be a gateway's use.folder, but no such folder exists")
    try:
        sender = senders.make_configured_sender(url, use.secret, use.ca)
    except ValueError as error:
        raise ConfigError(f"--to: {error}, got {url!r}") from None
    ledger = asyncio.run(export_all(options.folder, sender, options.seconds, _print_progress))
    if not ledger.is_all_exported:
        print(f"the export is incomplete: {_last_error(ledger) or 'the time limit was reached'}")
        return 1
    print("billing has acknowledged all records of the folder")
    return 0


def _print_progress(ledger: UsageLedger) -> None:
    streams = ledger.checkpoint.streams.values()
    left = sum((stream.length or 0) - stream.acked for stream in streams)
    error = _last_error(ledger)
    print(f"{left} slots left to export{f', waiting: {error}' if error else ''}", file=sys.stderr, flush=True)


def _last_error(ledger: UsageLedger) -> str:
    return ledger.exporter.last_error or ledger.last_error


def _received(source: str) -> list[Received]:
    try:
        if source.startswith(("http://", "https://")):
            with urllib.request.urlopen(source, timeout=FETCH_TIMEOUT_S) as response:
                data = response.read()
        else:
            data = Path(source).read_bytes()
        return msgspec.json.decode(data, type=list[Received], strict=True)
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError(f"--received {source}: {getattr(error, 'strerror', None) or error}") from None


def _reconcile(audits: list[Audit], received: list[Received]) -> int:
    differences = reconcile(audits, received)
    for difference in differences[:MAX_DIFFERENCES]:
        print(_difference_line(difference))
    if len(differences) > MAX_DIFFERENCES:
        print(f"and {len(differences) - MAX_DIFFERENCES} more")
    folders = _folders_by_gateway(audits)
    for name in sorted(name for name, number in folders.items() if number > 1):
        print(
            f"{folders[name]} folders belong to gateways named {name}; each gateway must have a unique name"
        )
    totals = [folder_audit.journal.total() for folder_audit in audits]
    requests = sum(count for count, _ in totals)
    units = sum(nano_units for _, nano_units in totals)
    print(
        f"{requests} requests, {_format_units(units)} units in the journals: "
        f"{len(differences) or 'no'} differences"
    )
    return 1 if differences else 0


def _difference_line(difference: Difference) -> str:
    day = datetime.fromtimestamp(difference.day * SECONDS_PER_DAY, UTC).date()
    return (
        f"{difference.tenant:016x} {day} {Ending(difference.ending).name.lower():<8} "
        f"journal {_format_amount(difference.journal)}, "
        f"exported {_format_amount(difference.exported)}, "
        f"received {_format_amount(difference.received)}: {difference.kind}"
    )


def _folders_by_gateway(audits: list[Audit]) -> dict[str, int]:
    folders: dict[str, int] = {}
    for folder_audit in audits:
        checkpoint = folder_audit.checkpoint
        if checkpoint is None:
            continue
        for name in {checkpoint.names[each.stream.names].gateway for each in folder_audit.streams}:
            folders[name] = folders.get(name, 0) + 1
    return folders


def _repair(folder: Path, config: str | None) -> int:
    folder_audit = _audit(folder)
    if folder_audit.checkpoint is not None:
        print("the checkpoint is readable, so there is nothing to repair")
        return 0
    names = Names("", (), ())
    if config:
        names = record_names(platform.load({**os.environ, "ROUTER_CONFIG": config}))
    files = Directory(folder)
    try:
        checkpoint = rebuild_checkpoint(files, names, os.urandom(16).hex())
        data = pack(checkpoint)
        for name in AREAS:
            files.replace(name, data.ljust(AREA_SIZE, b"\0"))
    finally:
        files.close()
    slots = sum(stream.length or 0 for stream in checkpoint.streams.values())
    print(
        f"the checkpoint is rebuilt with {len(checkpoint.streams)} incarnations and {slots} slots; "
        "all of them are exported again, and billing accepts those that it does not have"
    )
    return 0
