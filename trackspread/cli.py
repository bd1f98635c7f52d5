"""The command line: `run` (also without arguments), `check`, `use`, `plans`, `reserve`, `quota`, `fleet`,
`control`, `configuration`, `try`.

An error of the operator ends with exit status 2 and one line on standard error. Modules that only
one command needs are imported when it runs, to save memory in a running gateway.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from .commands import arguments
from .config import operator, platform
from .config.addresses import ConfigError
from .node import serve

DESCRIPTION = """\
A gateway that gives each customer a cap on requests in flight, chosen by a small closed queuing model, so
that latency and throughput aims hold beside the commitments already made."""

ENVIRONMENT = """\
environment:
  ROUTER_CONFIG     path of the platform's configuration, JSON; wanted by run
  ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY, ROUTER_CONTROL
                    come before the values of that file; the last is the operators' door
  ROUTER_ACCEPT_FD  descriptor of the clients' listening socket, where the platform holds it: a newer
                    process then takes over from an older one, which it meets in TMPDIR
"""


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="trackspread",
        description=DESCRIPTION,
        epilog=ENVIRONMENT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", title="commands")
    _add_run(commands)
    _add_check(commands)
    _add_try(commands)
    arguments.add_use(commands)
    arguments.add_plans(commands)
    arguments.add_reserve(commands)
    arguments.add_quota(commands)
    arguments.add_fleet(commands)
    arguments.add_control(commands)
    arguments.add_configuration(commands)
    return parser


def _add_run(commands: arguments.Commands[argparse.ArgumentParser]) -> None:
    runs = commands.add_parser(
        "run",
        help="run one gateway in the foreground (the same as no command at all)",
        epilog=ENVIRONMENT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    runs.add_argument(
        "--file",
        metavar="FILE",
        help=f"the operator's own file (left out: {serve.OWN_FILE}, if it is there, else defaults)",
    )


def _add_check(commands: arguments.Commands[argparse.ArgumentParser]) -> None:
    checks = commands.add_parser("check", help="check configuration files without starting anything")
    checks.add_argument("file", metavar="FILE", nargs="?", help="the operator's own file")
    checks.add_argument(
        "--config",
        metavar="JSON",
        help="the platform's configuration (left out: ROUTER_CONFIG, if it is set)",
    )


def _add_try(commands: arguments.Commands[argparse.ArgumentParser]) -> None:
    tries = commands.add_parser(
        "try",
        help="bring up gateways, rating nodes and clients on loopback, and watch them",
        description="Three gateways, nine rating nodes and clients on loopback: shows live what is served "
        "and refused, and why. In a terminal, keys kill a gateway (g) or a node (n), and q ends it.",
    )
    tries.add_argument("--seconds", type=float, default=20.0, help="how long it runs (20)")
    tries.add_argument(
        "--kill",
        action="append",
        default=[],
        metavar="NAME[@S]",
        help="kill a gateway (n0 to n2) or a node (s-0 to s-8) after S seconds (a third of the time); more "
        "than one may be given",
    )
    tries.add_argument("--seed", type=int, default=1, help="of clients and nodes (1)")


def _check(file: str | None, config: str | None) -> None:
    environment = {**os.environ, **({"ROUTER_CONFIG": config} if config else {})}
    own = operator.load(Path(file)) if file else None
    given = platform.load(environment) if environment.get("ROUTER_CONFIG") else None
    if own is None and given is None:
        raise ConfigError("nothing to check: name a FILE, --config JSON or ROUTER_CONFIG")
    if own is not None and given is not None and given.listen in own.addresses():
        raise ConfigError(
            f"{file}: listeners: found {given.listen[0]}:{given.listen[1]}, which the platform's "
            "configuration gives already, wanted another address"
        )
    if own is not None:
        print(
            f"{file}: ok: role {own.role}, list from {own.list.source}, "
            f"{len(own.listeners)} listener(s) besides the platform's"
        )
    if given is not None:
        print(
            f"{environment['ROUTER_CONFIG']}: ok: {given.name}, {len(given.classes)} classes, "
            f"{len(given.plans)} plans, {given.settings.gateway_count} gateways"
        )


def _operators_command(name: str) -> Callable[[argparse.Namespace], int] | None:
    """Returns the function of a command in `commands/`, or None for other commands."""
    match name:
        case "plans":
            from .commands import plans

            return plans.run
        case "reserve":
            from .commands import reserve

            return reserve.run
        case "quota":
            from .commands import quota

            return quota.run
        case "fleet":
            from .commands import fleet

            return fleet.run
        case "configuration":
            from .commands import configuration

            return configuration.run
        case "use":
            from .commands import use

            return use.run
        case _:
            return None


def _run_command(options: argparse.Namespace) -> int:
    if (command := _operators_command(options.command)) is not None:
        return command(options)
    match options.command:
        case "check":
            _check(options.file, options.config)
        case "control":
            from .node import control_machine

            return control_machine.run(options.name, Path(options.file))
        case "try":
            from .testing.harness import trial

            return trial.run(options.seconds, options.kill, options.seed)
        case _:
            serve.run(getattr(options, "file", None))
    return 0


def main(words: Sequence[str]) -> int:
    """Runs the command line `words` and returns the exit status, 2 for an error of the operator."""
    options = _parser().parse_args(words)
    try:
        return _run_command(options)
    except ConfigError as error:
        print(f"trackspread: {error}", file=sys.stderr)
        return 2


def script() -> int:
    """Runs the command line of the process; the entry point of the installed command."""
    return main(sys.argv[1:])
