"""Parses and runs the command line.

The commands are `run` (also without arguments), `check`, `use`, `plans`, `reserve`, `quota`, `fleet`,
`control`, `configuration` and `try`. An error of the operator ends with exit status 2 and one line on
standard error. Modules that only one command needs are imported when it runs, to save memory in a running
gateway.
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
A gateway that gives each tenant a cap on requests in flight. A small closed queuing model chooses the cap so
that the latency and throughput objectives of all existing commitments hold."""

ENVIRONMENT = """\
environment:
  ROUTER_CONFIG     path of the platform's configuration, JSON; required by run
  ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY, ROUTER_CONTROL
                    override the values of that file; the last is the address of the admin server
  ROUTER_ACCEPT_FD  descriptor of the clients' listening socket, if the platform holds it: a newer process
                    then takes over from an older one, through a socket in TMPDIR
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
    parser = commands.add_parser(
        "run",
        help="run one gateway in the foreground (the default command)",
        epilog=ENVIRONMENT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--file",
        metavar="FILE",
        help=f"the operator's file (default: {serve.OWN_FILE} if it exists, otherwise built-in defaults)",
    )


def _add_check(commands: arguments.Commands[argparse.ArgumentParser]) -> None:
    parser = commands.add_parser("check", help="check configuration files without starting a gateway")
    parser.add_argument("file", metavar="FILE", nargs="?", help="the operator's file")
    parser.add_argument(
        "--config",
        metavar="JSON",
        help="the platform's configuration (default: ROUTER_CONFIG, if it is set)",
    )


def _add_try(commands: arguments.Commands[argparse.ArgumentParser]) -> None:
    parser = commands.add_parser(
        "try",
        help="run gateways, rating nodes and clients on loopback, and show what they do",
        description="Runs three gateways, nine rating nodes and clients on loopback, and shows live which "
        "requests are served and rejected, and why. In a terminal, keys kill a gateway (g) or a node (n), "
        "and q quits.",
    )
    parser.add_argument("--seconds", type=float, default=20.0, help="how long it runs (20)")
    parser.add_argument(
        "--kill",
        action="append",
        default=[],
        metavar="NAME[@S]",
        help="kill a gateway (n0 to n2) or a node (s-0 to s-8) after S seconds (default: a third of the "
        "time); may be given more than once",
    )
    parser.add_argument("--seed", type=int, default=1, help="random seed of clients and nodes (1)")


def _check(file: str | None, config: str | None) -> None:
    environment = {**os.environ, **({"ROUTER_CONFIG": config} if config else {})}
    operator_config = operator.load(Path(file)) if file else None
    platform_config = platform.load(environment) if environment.get("ROUTER_CONFIG") else None
    if operator_config is None and platform_config is None:
        raise ConfigError("nothing to check: name a FILE, --config JSON or ROUTER_CONFIG")
    if operator_config is not None and platform_config is not None:
        listen = platform_config.listen
        if listen in operator_config.addresses():
            raise ConfigError(
                f"{file}: listeners: must not contain {listen[0]}:{listen[1]}, which is already the listen "
                "address of the platform's configuration"
            )
    if operator_config is not None:
        print(
            f"{file}: ok: role {operator_config.role}, list from {operator_config.list.source}, "
            f"{len(operator_config.listeners)} listener(s) besides the platform's"
        )
    if platform_config is not None:
        print(
            f"{environment['ROUTER_CONFIG']}: ok: {platform_config.name}, "
            f"{len(platform_config.classes)} classes, {len(platform_config.plans)} plans, "
            f"{platform_config.settings.gateway_count} gateways"
        )


def _operators_command(name: str) -> Callable[[argparse.Namespace], int] | None:
    """Returns the function that runs a command of `commands/`, or None for other commands."""
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
    """Runs the command line of the process, as the entry point of the installed command."""
    return main(sys.argv[1:])
