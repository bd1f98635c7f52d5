"""`trackspread use`: shows, verifies, exports, compares and repairs folders of usage records.

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

MAX_DIFFERENCES = 40  # that are printed; the rest is counted
FETCH_TIMEOUT_S = 30.0  # of billing's totals
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
        raise ConfigError(f"{folder}: found no folder, wanted a gateway's use.folder")
    found = audit(Directory(folder, view=True))
    if found.newer:
        raise ConfigError(f"{folder}: a newer program wrote here, wanted at least its version")
    return found


def _format_units(nano_units: int) -> str:
    return f"{nano_units / NANO_PER_UNIT:.3f}"


def _format_amount(amount: Amount) -> str:
    return f"{amount.requests} / {_format_units(amount.nano_units)}"


def _show(found: Audit) -> int:
    control = found.checkpoint
    if control is None:
        print("; ".join(found.problems) or "nothing was recorded here yet")
        return 1 if found.problems else 0
    print(f"producer {control.producer}: {found.segments} segments, {found.bytes / BYTES_PER_MB:.1f} MB")
    _print_streams(found, control)
    for ending in Ending:
        sums = [total for (_, _, row_ending), total in found.journal.rows.items() if row_ending == ending]
        if sums:
            requests = sum(count for count, _ in sums)
            units = sum(nano_units for _, nano_units in sums)
            print(f"{ending.name.lower()}: {requests} requests, {_format_units(units)} units")
    for reason, number in control.lost.items():
        print(f"lost, {reason}: {number} records")
    for text in found.problems:
        print(f"look at: {text}")
    return 0


def _print_streams(found: Audit, control: Checkpoint) -> None:
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


def _verify(found: Audit) -> int:
    records = sum(each.records for each in found.streams)
    damaged = sum(len(each.damaged) for each in found.streams)
    missing = sum(each.missing for each in found.streams)
    torn = sum(len(each.torn) for each in found.streams)
    for text in found.problems:
        print(text)
    print(
        f"{records} records check, {damaged} are damaged, "
        f"{missing} are missing; {torn} were torn by a loss of power"
    )
    return 1 if found.problems else 0


def _export(options: argparse.Namespace) -> int:
    use = operator.load(Path(options.file)).use if options.file else operator.Use()
    url = options.to or use.billing
    if not url:
        raise ConfigError("use export: found nowhere to send to, wanted --to URL or --file with use.billing")
    if not options.folder.is_dir():
        raise ConfigError(f"{options.folder}: found no folder, wanted a gateway's use.folder")
    try:
        sender = senders.make_configured_sender(url, use.secret, use.ca)
    except ValueError as error:
        raise ConfigError(f"--to: found {url!r}, {error}") from None
    ledger = asyncio.run(export_all(options.folder, sender, options.seconds, _print_progress))
    if not ledger.is_all_exported:
        print(f"not all is exported: {_fault(ledger) or 'out of time'}")
        return 1
    print("billing has everything that is in the folder")
    return 0


def _print_progress(ledger: UsageLedger) -> None:
    streams = ledger.checkpoint.streams.values()
    left = sum((stream.length or 0) - stream.acked for stream in streams)
    fault = _fault(ledger)
    print(f"{left} places to go{f', waiting: {fault}' if fault else ''}", file=sys.stderr, flush=True)


def _fault(ledger: UsageLedger) -> str:
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
        print(f"{folders[name]} folders are of gateways called {name}: wanted a name of its own for each")
    totals = [found.journal.total() for found in audits]
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
    for found in audits:
        control = found.checkpoint
        if control is None:
            continue
        for name in {control.names[each.stream.names].gateway for each in found.streams}:
            folders[name] = folders.get(name, 0) + 1
    return folders


def _repair(folder: Path, config: str | None) -> int:
    found = _audit(folder)
    if found.checkpoint is not None:
        print("the control can be read: there is nothing to repair")
        return 0
    names = Names("", (), ())
    if config:
        names = record_names(platform.load({**os.environ, "ROUTER_CONFIG": config}))
    files = Directory(folder)
    try:
        control = rebuild_checkpoint(files, names, os.urandom(16).hex())
        data = pack(control)
        for name in AREAS:
            files.replace(name, data.ljust(AREA_SIZE, b"\0"))
    finally:
        files.close()
    slots = sum(stream.length or 0 for stream in control.streams.values())
    print(
        f"{len(control.streams)} lives are known again, {slots} places; billing is offered all "
        "of them, and takes what it has not"
    )
    return 0
