"""Defines the arguments of the sub-commands.

This module imports no command, so that `run` does not load the modules that only other commands need.
"""

from __future__ import annotations

import argparse
from pathlib import Path

Commands = argparse._SubParsersAction  # the type of the result of `add_subparsers`


def add_plans(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread plans` and its actions to the command line."""
    own = commands.add_parser("plans", help="show, compare, apply and withdraw versions of the plan registry")
    group = own.add_subparsers(dest="plans", metavar="ACTION", title="actions", required=True)
    history = group.add_parser("history", help="show each version with its time, note and changes")
    diff = group.add_parser("diff", help="show what a file would change in the version in force")
    applies = group.add_parser("apply", help="add a version that is in force from a given time")
    withdraws = group.add_parser("withdraw", help="withdraw a version that is not in force yet")
    for each in (history, diff, applies, withdraws):
        each.add_argument(
            "book", metavar="BOOK", type=Path, help="the file of the plan registry (plans.book)"
        )
    for each in (diff, applies):
        each.add_argument(
            "file", metavar="FILE", type=Path, help="TOML with a table [plans.NAME] for each plan"
        )
        each.add_argument(
            "--config", metavar="JSON", help="the platform's configuration, whose plans are valid"
        )
    applies.add_argument(
        "--from",
        dest="since",
        metavar="WHEN",
        required=True,
        help="+SECONDS, or a time such as 2026-12-05T00:00:00Z",
    )
    applies.add_argument("--note", default="", help="the reason, shown in the history")
    withdraws.add_argument("number", metavar="VERSION", type=int)


def add_reserve(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread reserve` and its actions to the command line."""
    own = commands.add_parser("reserve", help="add, cancel and list reservations of tenants")
    group = own.add_subparsers(dest="reserve", metavar="ACTION", title="actions", required=True)
    adds = group.add_parser("add", help="reserve a rate for a tenant; a rejection names the rate that fits")
    cancels = group.add_parser("cancel", help="cancel a reservation from now on")
    lists = group.add_parser("list", help="list all reservations and the rate that is available")
    fleets = group.add_parser("fleet", help="describe the fleet for the model that admits reservations")
    for each in (adds, cancels, lists, fleets):
        each.add_argument(
            "book", metavar="BOOK", type=Path, help="the file of the plan registry (plans.book)"
        )
    adds.add_argument("member", metavar="MEMBER", help="the tenant, 16 hexadecimal digits")
    amount = adds.add_mutually_exclusive_group(required=True)
    amount.add_argument("--rate", type=float, help="units per second, added to the plan's rate")
    amount.add_argument(
        "--units", type=float, help="units over the complete span, reserved as their mean rate"
    )
    adds.add_argument("--from", dest="since", metavar="WHEN", required=True, help="start, as in plans apply")
    adds.add_argument("--to", dest="until", metavar="WHEN", required=True, help="end, as in plans apply")
    adds.add_argument("--note", default="", help="the reason, shown in the list")
    cancels.add_argument("number", metavar="NUMBER", type=int)
    for name, description in (
        ("delay-ms", "shortest latency of one unit, in ms"),
        ("demand-ms", "service time of one unit at the shared queue, in ms"),
        ("aim-ms", "latency objective, in ms"),
    ):
        fleets.add_argument(f"--{name}", type=float, required=True, help=description)
    fleets.add_argument(
        "--kept", type=float, default=0.0, help="units per second kept for tenants without a reservation (0)"
    )


def add_quota(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread quota` to the command line."""
    own = commands.add_parser("quota", help="show a running gateway's part of a tenant's limits, and why")
    own.add_argument("member", metavar="MEMBER", help="the tenant, 16 hexadecimal digits")
    own.add_argument("--socket", metavar="PATH", required=True, help="the socket at counter.status")
    own.add_argument("--json", action="store_true", help="print the answer unchanged")


def add_fleet(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread fleet` and its actions to the command line."""
    own = commands.add_parser("fleet", help="show and change the gateways' view of their fleet")
    group = own.add_subparsers(dest="fleet", metavar="ACTION", title="actions", required=True)
    _add_fleet_view(group)
    _add_fleet_cells(group)
    _add_fleet_forget(group)


def _add_fleet_view(group: Commands[argparse.ArgumentParser]) -> None:
    views = group.add_parser(
        "view",
        help="show the members of the fleet as one or several gateways see them",
        description="Exit status: 0 if all given gateways are settled in the same view, 1 if they are not, 2 "
        "if one of them does not answer.",
    )
    views.add_argument(
        "admin_address", metavar="HOST:PORT", nargs="+", help="admin servers of gateways (`control`)"
    )
    views.add_argument("--json", action="store_true", help="print the answers unchanged, one on each line")
    views.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="S",
        help="poll for up to S seconds until the exit status is 0",
    )


def _add_fleet_cells(group: Commands[argparse.ArgumentParser]) -> None:
    cells = group.add_parser(
        "cells",
        help="show the cells and their numbers of gateways, as the directory's leader knows them",
        description="Exit status: 0, or 2 if no leader answers.",
    )
    cells.add_argument(
        "--file",
        metavar="FILE",
        required=True,
        help="the operator's file of any process of the fleet, for its control machines and its key",
    )


def _add_fleet_forget(group: Commands[argparse.ArgumentParser]) -> None:
    forgets = group.add_parser(
        "forget",
        help="free the slots of a gateway that is gone for good at once",
        description="Use it only for a gateway that is certainly down: one that is merely cut off would use "
        "the same slots as their next holders. Exit status: 0 if it is forgotten, 1 if it is in the fleet, 2 "
        "if no coordinator answers.",
    )
    forgets.add_argument("name", metavar="NAME", help="name of the gateway, as `fleet view` shows it")
    forgets.add_argument(
        "--file",
        metavar="FILE",
        required=True,
        help="the operator's file of any gateway of the fleet, for its seeds and its key",
    )


def add_control(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread control` to the command line."""
    own = commands.add_parser(
        "control",
        help="run one control machine of a fleet with cells, in the foreground",
        description="Acts as a seed of the cells, and keeps their directory while it is the leader. SIGTERM "
        "shuts it down gracefully, SIGHUP reloads the fleet's keys.",
    )
    own.add_argument("name", metavar="NAME", help="name of this machine in [[fleet.control]] of the file")
    own.add_argument("--file", metavar="FILE", required=True, help="the operator's file")


def add_configuration(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread configuration` and its actions to the command line."""
    own = commands.add_parser(
        "configuration", help="show and change the configuration that replicas distribute to gateways"
    )
    group = own.add_subparsers(dest="configuration", metavar="ACTION", title="actions", required=True)
    puts = group.add_parser("put", help="set the value of a key, and print the committed version")
    deletes = group.add_parser("delete", help="delete a key")
    shows = group.add_parser(
        "show",
        help="show the versions of replicas or gateways, and whether they agree",
        description="Exit status: 0 if all of them have the same version, 1 if they do not, 2 if no replica "
        "answers or one of the given gateways does not answer.",
    )
    begins = group.add_parser(
        "begin",
        help="begin a new history, initially or after a majority of the replicas is lost for good",
        description="If a majority of the replicas has lost its data, the new history continues from the "
        "newest version that any other replica has. A change that was committed on lost replicas only is "
        "lost then. Does nothing while there is a leader.",
    )
    for each in (puts, deletes, shows, begins):
        each.add_argument(
            "--file",
            metavar="FILE",
            required=True,
            help="the operator's file of any gateway, for configuration.replicas and the fleet's key",
        )
    for each in (puts, deletes):
        each.add_argument("service", metavar="SERVICE")
        each.add_argument("key", metavar="KEY")
    puts.add_argument("value", metavar="VALUE", help="text of at most 640 bytes")
    shows.add_argument(
        "admin_address",
        metavar="HOST:PORT",
        nargs="*",
        help="admin servers of gateways (`control`); without any, the replicas are queried",
    )
    shows.add_argument(
        "--key", metavar="SERVICE/KEY", default="", help="a key whose value in the replicas is shown too"
    )


def add_use(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread use` and its actions to the command line."""
    own = commands.add_parser("use", help="show, verify, export, compare and repair usage records")
    group = own.add_subparsers(dest="use", metavar="ACTION", title="actions", required=True)
    shows = group.add_parser("show", help="show the records of a folder by epoch, and how many are exported")
    checks = group.add_parser("verify", help="check every record; the exit status is 1 if there are faults")
    sends = group.add_parser(
        "export", help="export the remaining records of a folder whose gateway does not run"
    )
    compares = group.add_parser(
        "reconcile",
        help="compare folders with the records that billing received; the exit status is 1 if they differ",
    )
    repairs = group.add_parser("repair", help="rebuild a lost checkpoint from the segments")
    for each in (shows, checks, sends, repairs):
        each.add_argument("folder", metavar="FOLDER", type=Path, help="the gateway's use.folder")
    sends.add_argument("--file", metavar="FILE", help="the operator's file, for use.billing, secret and ca")
    sends.add_argument("--to", metavar="URL", help="URL of billing, instead of that of the file")
    sends.add_argument("--seconds", type=float, default=600.0, help="time limit in seconds (600)")
    compares.add_argument(
        "folder", metavar="FOLDER", type=Path, nargs="+", help="the folders of all gateways"
    )
    compares.add_argument(
        "--received",
        metavar="FILE|URL",
        required=True,
        help="billing's totals, a JSON array of [customer, day, ending, requests, units]",
    )
    repairs.add_argument(
        "--config", metavar="JSON", help="the platform's configuration, for the names of classes"
    )
