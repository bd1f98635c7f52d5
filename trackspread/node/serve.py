"""Runs one gateway as a process, and handles signals and reloads of the configuration."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from pathlib import Path

import uvloop

from ..config import operator as operator_settings
from ..config import platform
from ..config.addresses import ConfigError
from ..memory.process import OwnProcess
from .descriptors import allocate_table, limit_descriptors
from .gateway import Gateway

OWN_FILE = Path("deploy/gateway.toml")  # read if it exists, relative to the working directory
HANGUP = {signal.SIGHUP}  # blocked while no handler is installed, because its default action ends the process
log = logging.getLogger("trackspread")


def load_operator_file(path: str | None) -> operator_settings.Operator:
    """Returns the operator's file as it is now, by default `OWN_FILE`; raises `ConfigError`."""
    if path:
        return operator_settings.load(Path(path))
    return operator_settings.load(OWN_FILE) if OWN_FILE.exists() else operator_settings.DEFAULTS


async def serve(
    config: platform.Config, operator: operator_settings.Operator, operator_path: str | None
) -> None:
    """Runs until SIGTERM or SIGINT, then shuts down gracefully; SIGHUP reloads the configuration.

    Raises `ConfigError` if an address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    gateway = Gateway(config, operator, stop.set, OwnProcess())

    def reload() -> None:
        """Reloads both files; if one cannot be used, nothing changes.

        An operator whose file was incomplete sends the signal again.
        """
        try:
            new_config = limit_descriptors(platform.reload(os.environ))
            new_operator = load_operator_file(operator_path)
        except ConfigError as error:
            log.error("configuration: reload rejected, the present configuration stays in force: %s", error)
            gateway.counters.reloads_failed += 1
        else:
            gateway.reconfigure(new_config, new_operator)

    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANGUP)
    try:
        await gateway.start()
    except OSError as error:
        # An address that is in use or is not this machine's is an error in the settings, like a missing one.
        raise ConfigError(f"cannot listen: {error}") from None
    # The objects created so far are kept until the process ends, so full collections need not visit them.
    gc.freeze()
    await stop.wait()
    log.info("%s stopping", config.name)
    await gateway.stop()
    # Closing the event loop removes its signal handlers.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANGUP)


def run(operator_path: str | None) -> None:
    """Runs the gateway in the foreground; raises `ConfigError` if it cannot start with its settings."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANGUP)
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    platform_config = platform.load(os.environ)
    operator = load_operator_file(operator_path)
    log.setLevel(operator.log.level.upper())
    config = limit_descriptors(platform_config)
    if config.sockets < platform_config.sockets:
        log.warning(
            "limits.sockets is %d, but the system allows %d descriptors, which limits the connections",
            platform_config.sockets,
            config.sockets,
        )
    allocate_table(config.sockets)
    uvloop.run(serve(config, operator, operator_path))
