"""One gateway from its start to its end: signals, and the configuration read again."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import resource
import signal
from dataclasses import replace
from pathlib import Path

import uvloop

from ..config import operator as operator_settings
from ..config import platform
from ..config.addresses import ConfigError
from .gateway import Gateway

OWN_FILE = Path("deploy/gateway.toml")  # read where it is there, below the folder that `run` starts in
HANGUP = {signal.SIGHUP}  # blocked wherever no handler is in place: its default would end the process
log = logging.getLogger("trackspread")


def load_operator_file(path: str | None) -> operator_settings.Operator:
    """The operator's file as it is now; `path` None: the usual one. Raises `ConfigError`."""
    if path:
        return operator_settings.load(Path(path))
    return operator_settings.load(OWN_FILE) if OWN_FILE.exists() else operator_settings.DEFAULTS


def limit_descriptors(config: platform.Config) -> platform.Config:
    """The configuration with no more descriptors than the system grants the process.

    Where the settings name more, idle clients would take those that discovery's call, attempts and the
    operators' door need.
    """
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY or limit >= config.sockets:
        return config
    return replace(config, sockets=limit)


async def serve(
    config: platform.Config, operator: operator_settings.Operator, operator_path: str | None
) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully; SIGHUP has the configuration read again.

    Raises `ConfigError` where an address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    gateway = Gateway(config, operator, stop.set)

    def reload() -> None:
        """A file that cannot be used changes nothing: who had written half of it sends the signal again."""
        try:
            fresh = limit_descriptors(platform.reload(os.environ))
            fresh_operator = load_operator_file(operator_path)
        except ConfigError as error:
            log.error("configuration: reload rejected, the present configuration stays in force: %s", error)
            gateway.counters.reloads_failed += 1
        else:
            gateway.reconfigure(fresh, fresh_operator)

    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANGUP)
    try:
        await gateway.start()
    except OSError as error:
        # An address that is taken, or not this machine's, is as much a wrong setting as one left out.
        raise ConfigError(f"cannot listen: {error}") from None
    # What was made so far lives as long as the process: full collections need not look at it again.
    gc.freeze()
    await stop.wait()
    log.info("%s stopping", config.name)
    await gateway.stop()
    # The loop takes its handlers along when it closes.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANGUP)


def run(operator_path: str | None) -> None:
    """Run the gateway in the foreground; raises `ConfigError` on settings that it cannot start with."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANGUP)
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    platform_config = platform.load(os.environ)
    operator = load_operator_file(operator_path)
    log.setLevel(operator.log.level.upper())
    config = limit_descriptors(platform_config)
    if config.sockets < platform_config.sockets:
        log.warning(
            "limits.sockets: %d, but the system grants %d descriptors: these bound the connections",
            platform_config.sockets,
            config.sockets,
        )
    uvloop.run(serve(config, operator, operator_path))
