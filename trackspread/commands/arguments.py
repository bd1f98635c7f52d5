"""The arguments of the sub-commands.

Nothing of the commands is imported here, so that `run` does not load what only other commands need.
"""

from __future__ import annotations

import argparse
from pathlib import Path

Commands = argparse._SubParsersAction  # the result of `add_subparsers`


def add_plans(commands: Commands[argparse.ArgumentParser]) -> None:
    """`trackspread plans` and its actions."""
    own = commands.add_parser("plans", help="the plan registry: history, compare, apply, withdraw")
    group = own.add_subparsers(dest="plans", metavar="ACTION", title="actions", required=True)
    history = group.add_parser("history", help="every version: from when on, why, and what it changed")
    diff = group.add_parser("diff", help="what a file would change of what is in force")
    applies = group.add_parser("apply", help="add a version that is in force from a moment on")
    withdraws = group.add_parser("withdraw", help="take back a version that is not in force yet")
    for each in (history, diff, applies, withdraws):
        each.add_argument("book", metavar="BOOK", type=Path, help="the plan registry, as plans.book names it")
    for each in (diff, applies):
        each.add_argument("file", metavar="FILE", type=Path, help="TOML: a table [plans.NAME] for each plan")
        each.add_argument("--config", metavar="JSON", help="the platform's, for the plans that there are")
    applies.add_argument(
        "--from",
        dest="since",
        metavar="WHEN",
        required=True,
        help="+SECONDS, or a moment as 2026-12-05T00:00:00Z",
    )
    applies.add_argument("--note", default="", help="why, for the history")
    withdraws.add_argument("number", metavar="VERSION", type=int)


def add_reserve(commands: Commands[argparse.ArgumentParser]) -> None:
    """`trackspread reserve` and its actions."""
    own = commands.add_parser("reserve", help="allowance that members reserve ahead: add, cancel, list")
    group = own.add_subparsers(dest="reserve", metavar="ACTION", title="actions", required=True)
    adds = group.add_parser("add", help="reserve for a member; refused with what would fit")
    cancels = group.add_parser("cancel", help="give one back, from now on")
    lists = group.add_parser("list", help="all that were made, and the rate that still fits")
    fleets = group.add_parser("fleet", help="what the fleet is, for the model that admits")
    for each in (adds, cancels, lists, fleets):
        each.add_argument("book", metavar="BOOK", type=Path, help="the plan registry, as plans.book names it")
    adds.add_argument("member", metavar="MEMBER", help="16 hexadecimal digits")
    amount = adds.add_mutually_exclusive_group(required=True)
    amount.add_argument("--rate", type=float, help="units a second on top of the plan's")
    amount.add_argument("--units", type=float, help="units over the whole span, held as their mean rate")
    adds.add_argument("--from", dest="since", metavar="WHEN", required=True, help="as in plans apply")
    adds.add_argument("--to", dest="until", metavar="WHEN", required=True)
    adds.add_argument("--note", default="", help="why, for the list")
    cancels.add_argument("number", metavar="NUMBER", type=int)
    for name, what in (
        ("delay-ms", "shortest latency of one unit"),
        ("demand-ms", "queue's time for a unit"),
        ("aim-ms", "within which answers are to come"),
    ):
        fleets.add_argument(f"--{name}", type=float, required=True, help=what)
    fleets.add_argument("--kept", type=float, default=0.0, help="units a second kept for all others (0)")


def add_quota(commands: Commands[argparse.ArgumentParser]) -> None:
    """`trackspread quota`."""
    own = commands.add_parser("quota", help="what a running gateway holds of a member's limits, and why")
    own.add_argument("member", metavar="MEMBER", help="16 hexadecimal digits")
    own.add_argument("--socket", metavar="PATH", required=True, help="as counter.status names it")
    own.add_argument("--json", action="store_true", help="the answer as it came")


def add_fleet(commands: Commands[argparse.ArgumentParser]) -> None:
    """`trackspread fleet` and its actions."""
    own = commands.add_parser("fleet", help="the gateways' view of their own fleet")
    group = own.add_subparsers(dest="fleet", metavar="ACTION", title="actions", required=True)
    _add_fleet_view(group)
    _add_fleet_cells(group)
    _add_fleet_forget(group)


def _add_fleet_view(group: Commands[argparse.ArgumentParser]) -> None:
    views = group.add_parser(
        "view",
        help="who is in the fleet, as one gateway or several know it",
        description="Exit status: 0 where all that were asked hold one view and are settled in it, 1 where "
        "not, 2 where one can't be asked.",
    )
    views.add_argument("door", metavar="HOST:PORT", nargs="+", help="gateways' doors, as `control` has them")
    views.add_argument("--json", action="store_true", help="the answers as they came, a line each")
    views.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="S",
        help="ask again for up to S seconds until the exit status is 0",
    )


def _add_fleet_cells(group: Commands[argparse.ArgumentParser]) -> None:
    cells = group.add_parser(
        "cells",
        help="which cells there are and how many gateways each has, as their leader knows it",
        description="Exit status: 0, or 2 where no leader answers.",
    )
    cells.add_argument(
        "--file",
        metavar="FILE",
        required=True,
        help="the operator's file of any process of the fleet: its control machines and its key are used",
    )


def _add_fleet_forget(group: Commands[argparse.ArgumentParser]) -> None:
    forgets = group.add_parser(
        "forget",
        help="a gateway is gone for good: what it kept of all that is shared is free at once",
        description="Say so only of one that is surely down: a gateway that is merely cut off would act on "
        "the same slots as those that have them next. Exit status: 0 where it is forgotten, 1 where it is in "
        "the fleet, 2 where no coordinator answers.",
    )
    forgets.add_argument("name", metavar="NAME", help="the gateway's, as `fleet view` shows it")
    forgets.add_argument(
        "--file",
        metavar="FILE",
        required=True,
        help="the operator's file of any gateway of the fleet: its seeds and its key are used",
    )


def add_control(commands: Commands[argparse.ArgumentParser]) -> None:
    """`trackspread control`."""
    own = commands.add_parser(
        "control",
        help="run one control machine of a fleet with cells, in the foreground",
        description="Seeds cells of gateways, and keeps their directory where it leads. SIGTERM ends it in "
        "good order, SIGHUP has the fleet's keys read again.",
    )
    own.add_argument("name", metavar="NAME", help="which of the file's [[fleet.control]] this is")
    own.add_argument("--file", metavar="FILE", required=True, help="the operator's file")


def add_configuration(commands: Commands[argparse.ArgumentParser]) -> None:
    """`trackspread configuration` and its actions."""
    own = commands.add_parser("configuration", help="configuration that replicas hand down to gateways")
    group = own.add_subparsers(dest="configuration", metavar="ACTION", title="actions", required=True)
    puts = group.add_parser("put", help="set a key's value; says the version under which it is committed")
    deletes = group.add_parser("delete", help="take a key out")
    shows = group.add_parser(
        "show",
        help="what replicas hold, or gateways, and whether they agree",
        description="Exit status: 0 where all that were asked hold one version, 1 where not, 2 where nobody "
        "can be asked.",
    )
    begins = group.add_parser(
        "begin",
        help="begin a new history: at first, or once a majority of replicas is lost for good",
        description="Where a majority of replicas has lost what it held, this goes on with the most that any "
        "of the others holds: a change that was committed on lost ones alone is gone then. Does nothing "
        "where a leader goes on.",
    )
    for each in (puts, deletes, shows, begins):
        each.add_argument(
            "--file",
            metavar="FILE",
            required=True,
            help="the operator's file of any gateway: configuration.replicas and the fleet's key are used",
        )
    for each in (puts, deletes):
        each.add_argument("service", metavar="SERVICE")
        each.add_argument("key", metavar="KEY")
    puts.add_argument("value", metavar="VALUE", help="text, 640 bytes at most")
    shows.add_argument(
        "door",
        metavar="HOST:PORT",
        nargs="*",
        help="gateways' doors, as `control` has them; none: the replicas are asked",
    )
    shows.add_argument("--key", metavar="SERVICE/KEY", default="", help="a value that replicas hold, too")


def add_use(commands: Commands[argparse.ArgumentParser]) -> None:
    """`trackspread use` and its actions."""
    own = commands.add_parser("use", help="use records: look, check, export, compare, repair")
    group = own.add_subparsers(dest="use", metavar="ACTION", title="actions", required=True)
    shows = group.add_parser("show", help="what a folder holds, life by life, and how far it is exported")
    checks = group.add_parser("verify", help="check every record; exit status 1 if some are damaged")
    sends = group.add_parser("export", help="send what is left in a folder whose gateway does not run")
    compares = group.add_parser(
        "reconcile",
        help="compare folders with what billing received; exit status 1 if they differ",
    )
    repairs = group.add_parser("repair", help="make a lost control anew from the segments")
    for each in (shows, checks, sends, repairs):
        each.add_argument("folder", metavar="FOLDER", type=Path, help="the gateway's use.folder")
    sends.add_argument("--file", metavar="FILE", help="the operator's file, for use.billing, secret and ca")
    sends.add_argument("--to", metavar="URL", help="billing, in place of the file's")
    sends.add_argument("--seconds", type=float, default=600.0, help="how long it may take (600)")
    compares.add_argument("folder", metavar="FOLDER", type=Path, nargs="+", help="all gateways' folders")
    compares.add_argument(
        "--received",
        metavar="FILE|URL",
        required=True,
        help="billing's totals: a JSON array of [customer, day, ending, requests, units]",
    )
    repairs.add_argument("--config", metavar="JSON", help="the platform's, for the names of classes")
