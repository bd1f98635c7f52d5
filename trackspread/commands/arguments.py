"""Defines the arguments of the sub-commands.

This module imports no command, so that `run` does not load the modules that only other commands need.
"""

from __future__ import annotations

import argparse
from pathlib import Path

Commands = argparse._SubParsersAction  # the type of the result of `add_subparsers`


def add_plans(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread plans` and its actions to the command line."""
    parser = commands.add_parser(
        "plans", help="show, compare, apply and withdraw versions of the plan registry"
    )
    actions = parser.add_subparsers(dest="plans", metavar="ACTION", title="actions", required=True)
    history_parser = actions.add_parser("history", help="show each version with its time, note and changes")
    diff_parser = actions.add_parser("diff", help="show what a file would change in the version in force")
    apply_parser = actions.add_parser("apply", help="add a version that is in force from a given time")
    withdraw_parser = actions.add_parser("withdraw", help="withdraw a version that is not in force yet")
    for each in (history_parser, diff_parser, apply_parser, withdraw_parser):
        each.add_argument(
            "book", metavar="BOOK", type=Path, help="the file of the plan registry (plans.book)"
        )
    for each in (diff_parser, apply_parser):
        each.add_argument(
            "file", metavar="FILE", type=Path, help="TOML with a table [plans.NAME] for each plan"
        )
        each.add_argument(
            "--config", metavar="JSON", help="the platform's configuration, whose plans are valid"
        )
    apply_parser.add_argument(
        "--from",
        dest="since",
        metavar="WHEN",
        required=True,
        help="+SECONDS, or a time such as 2026-12-05T00:00:00Z",
    )
    apply_parser.add_argument("--note", default="", help="the reason, shown in the history")
    withdraw_parser.add_argument("number", metavar="VERSION", type=int)


def add_reserve(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread reserve` and its actions to the command line."""
    parser = commands.add_parser("reserve", help="add, cancel and list reservations of tenants")
    actions = parser.add_subparsers(dest="reserve", metavar="ACTION", title="actions", required=True)
    reservation_parser = actions.add_parser(
        "add", help="reserve a rate for a tenant; a rejection names the rate that fits"
    )
    cancel_parser = actions.add_parser("cancel", help="cancel a reservation from now on")
    list_parser = actions.add_parser("list", help="list all reservations and the rate that is available")
    fleet_parser = actions.add_parser(
        "fleet", help="describe the fleet for the model that admits reservations"
    )
    for each in (reservation_parser, cancel_parser, list_parser, fleet_parser):
        each.add_argument(
            "book", metavar="BOOK", type=Path, help="the file of the plan registry (plans.book)"
        )
    reservation_parser.add_argument("member", metavar="MEMBER", help="the tenant, 16 hexadecimal digits")
    amount = reservation_parser.add_mutually_exclusive_group(required=True)
    amount.add_argument("--rate", type=float, help="units per second, added to the plan's rate")
    amount.add_argument(
        "--units", type=float, help="units over the complete span, reserved as their mean rate"
    )
    reservation_parser.add_argument(
        "--from", dest="since", metavar="WHEN", required=True, help="start, as in plans apply"
    )
    reservation_parser.add_argument(
        "--to", dest="until", metavar="WHEN", required=True, help="end, as in plans apply"
    )
    reservation_parser.add_argument("--note", default="", help="the reason, shown in the list")
    cancel_parser.add_argument("number", metavar="NUMBER", type=int)
    for name, description in (
        ("delay-ms", "shortest latency of one unit, in ms"),
        ("demand-ms", "service time of one unit at the shared queue, in ms"),
        ("aim-ms", "latency objective, in ms"),
    ):
        fleet_parser.add_argument(f"--{name}", type=float, required=True, help=description)
    fleet_parser.add_argument(
        "--kept", type=float, default=0.0, help="units per second kept for tenants without a reservation (0)"
    )


def add_quota(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread quota` to the command line."""
    parser = commands.add_parser("quota", help="show a running gateway's part of a tenant's limits, and why")
    parser.add_argument("member", metavar="MEMBER", help="the tenant, 16 hexadecimal digits")
    parser.add_argument("--socket", metavar="PATH", required=True, help="the socket at counter.status")
    parser.add_argument("--json", action="store_true", help="print the answer unchanged")


def add_fleet(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread fleet` and its actions to the command line."""
    parser = commands.add_parser("fleet", help="show and change the gateways' view of their fleet")
    actions = parser.add_subparsers(dest="fleet", metavar="ACTION", title="actions", required=True)
    _add_fleet_view(actions)
    _add_fleet_cells(actions)
    _add_fleet_forget(actions)


def _add_fleet_view(actions: Commands[argparse.ArgumentParser]) -> None:
    view_parser = actions.add_parser(
        "view",
        help="show the members of the fleet as one or several gateways see them",
        description="Exit status: 0 if all given gateways are settled in the same view, 1 if they are not, 2 "
        "if one of them does not answer.",
    )
    view_parser.add_argument(
        "admin_address", metavar="HOST:PORT", nargs="+", help="admin servers of gateways (`control`)"
    )
    view_parser.add_argument(
        "--json", action="store_true", help="print the answers unchanged, one on each line"
    )
    view_parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="S",
        help="poll for up to S seconds until the exit status is 0",
    )


def _add_fleet_cells(actions: Commands[argparse.ArgumentParser]) -> None:
    cells_parser = actions.add_parser(
        "cells",
        help="show the cells and their numbers of gateways, as the directory's leader knows them",
        description="Exit status: 0, or 2 if no leader answers.",
    )
    cells_parser.add_argument(
        "--file",
        metavar="FILE",
        required=True,
        help="the operator's file of any process of the fleet, for its control machines and its key",
    )


def _add_fleet_forget(actions: Commands[argparse.ArgumentParser]) -> None:
    forget_parser = actions.add_parser(
        "forget",
        help="free at once the slots of a gateway that is gone for good",
        description="Use it only for a gateway that is certainly down: one that is merely cut off would use "
        "the same slots as their next holders. Exit status: 0 if it is forgotten, 1 if it is in the fleet, 2 "
        "if no coordinator answers.",
    )
    forget_parser.add_argument("name", metavar="NAME", help="name of the gateway, as `fleet view` shows it")
    forget_parser.add_argument(
        "--file",
        metavar="FILE",
        required=True,
        help="the operator's file of any gateway of the fleet, for its seeds and its key",
    )


def add_control(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread control` to the command line."""
    parser = commands.add_parser(
        "control",
        help="run one control machine of a fleet with cells, in the foreground",
        description="Acts as a seed of the cells, and keeps their directory while it is the leader. SIGTERM "
        "shuts it down gracefully, SIGHUP reloads the fleet's keys.",
    )
    parser.add_argument("name", metavar="NAME", help="name of this machine in [[fleet.control]] of the file")
    parser.add_argument("--file", metavar="FILE", required=True, help="the operator's file")


def add_configuration(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread configuration` and its actions to the command line."""
    parser = commands.add_parser(
        "configuration", help="show and change the configuration that replicas distribute to gateways"
    )
    actions = parser.add_subparsers(dest="configuration", metavar="ACTION", title="actions", required=True)
    put_parser = actions.add_parser("put", help="set the value of a key, and print the committed version")
    delete_parser = actions.add_parser("delete", help="delete a key")
    show_parser = actions.add_parser(
        "show",
        help="show the versions of replicas or gateways, and whether they agree",
        description="Exit status: 0 if all of them have the same version, 1 if they do not, 2 if no replica "
        "answers or one of the given gateways does not answer.",
    )
    begin_parser = actions.add_parser(
        "begin",
        help="begin a new history, initially or after a majority of the replicas is lost for good",
        description="If a majority of the replicas has lost its data, the new history continues from the "
        "newest version that any other replica has. A change that was committed on lost replicas only is "
        "lost then. Does nothing while there is a leader.",
    )
    for each in (put_parser, delete_parser, show_parser, begin_parser):
        each.add_argument(
            "--file",
            metavar="FILE",
            required=True,
            help="the operator's file of any gateway, for configuration.replicas and the fleet's key",
        )
    for each in (put_parser, delete_parser):
        each.add_argument("service", metavar="SERVICE")
        each.add_argument("key", metavar="KEY")
    put_parser.add_argument("value", metavar="VALUE", help="text of at most 640 bytes")
    show_parser.add_argument(
        "admin_address",
        metavar="HOST:PORT",
        nargs="*",
        help="admin servers of gateways (`control`); without any, the replicas are queried",
    )
    show_parser.add_argument(
        "--key", metavar="SERVICE/KEY", default="", help="a key whose value in the replicas is shown too"
    )


def add_use(commands: Commands[argparse.ArgumentParser]) -> None:
    """Adds `trackspread use` and its actions to the command line."""
    parser = commands.add_parser("use", help="show, verify, export, compare and repair usage records")
    actions = parser.add_subparsers(dest="use", metavar="ACTION", title="actions", required=True)
    show_parser = actions.add_parser(
        "show", help="show the records of a folder by epoch, and how many are exported"
    )
    verify_parser = actions.add_parser(
        "verify", help="check every record; the exit status is 1 if there are faults"
    )
    export_parser = actions.add_parser(
        "export", help="export the remaining records of a folder whose gateway does not run"
    )
    reconcile_parser = actions.add_parser(
        "reconcile",
        help="compare folders with the records that billing received; the exit status is 1 if they differ",
    )
    repair_parser = actions.add_parser("repair", help="rebuild a lost checkpoint from the segments")
    for each in (show_parser, verify_parser, export_parser, repair_parser):
        each.add_argument("folder", metavar="FOLDER", type=Path, help="the gateway's use.folder")
    export_parser.add_argument(
        "--file", metavar="FILE", help="the operator's file, for use.billing, secret and ca"
    )
    export_parser.add_argument("--to", metavar="URL", help="URL of billing, instead of that of the file")
    export_parser.add_argument("--seconds", type=float, default=600.0, help="time limit in seconds (600)")
    reconcile_parser.add_argument(
        "folder", metavar="FOLDER", type=Path, nargs="+", help="the folders of all gateways"
    )
    reconcile_parser.add_argument(
        "--received",
        metavar="FILE|URL",
        required=True,
        help="billing's totals, a JSON array of [customer, day, ending, requests, units]",
    )
    repair_parser.add_argument(
        "--config", metavar="JSON", help="the platform's configuration, for the names of classes"
    )
