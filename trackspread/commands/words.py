"""The words of the sub-commands' groups. Nothing else is imported here: `run` must not pay for the others."""

from __future__ import annotations

import argparse
from pathlib import Path

Commands = argparse._SubParsersAction  # what `add_subparsers` gives


def add_use(commands: Commands[argparse.ArgumentParser]) -> None:
    """`trackspread use` and its actions."""
    own = commands.add_parser("use", help="use records: look, check, export, compare, repair")
    group = own.add_subparsers(dest="use", metavar="ACTION", title="actions", required=True)
    shows = group.add_parser("show", help="what a folder holds, life by life, and how far it is exported")
    checks = group.add_parser("verify", help="check every record; exit status 1 if some are damaged")
    sends = group.add_parser("export", help="send what is left in a folder whose gateway does not run")
    compares = group.add_parser(
        "reconcile", help="compare folders with what billing received; exit status 1 if they differ",
    )
    repairs = group.add_parser("repair", help="make a lost control anew from the segments")
    for each in (shows, checks, sends, repairs):
        each.add_argument("folder", metavar="FOLDER", type=Path, help="the gateway's use.folder")
    sends.add_argument("--file", metavar="FILE", help="the operator's file, for use.billing, secret and ca")
    sends.add_argument("--to", metavar="URL", help="billing, in place of the file's")
    sends.add_argument("--seconds", type=float, default=600.0, help="how long it may take (600)")
    compares.add_argument("folder", metavar="FOLDER", type=Path, nargs="+", help="all gateways' folders")
    compares.add_argument(
        "--received", metavar="FILE|URL", required=True,
        help="billing's totals: a JSON array of [customer, day, ending, requests, units]",
    )
    repairs.add_argument("--config", metavar="JSON", help="the platform's, for the names of classes")
