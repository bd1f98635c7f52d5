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

from ..config import operator as own
from ..config import platform
from ..config.addresses import ConfigError
from .gateway import Gateway

OWN_FILE = Path("deploy/gateway.toml")  # read where it is there, below the folder that `run` starts in
HANGUP = {signal.SIGHUP}  # held back, never at its default, wherever no handler is in place: that would kill
log = logging.getLogger("trackspread")


def operator_file(named: str | None) -> own.Operator:
    """The operator's file as it is now; raises `ConfigError`."""
    if named:
        return own.load(Path(named))
    return own.load(OWN_FILE) if OWN_FILE.exists() else own.DEFAULTS


def granted(config: platform.Config) -> platform.Config:
    """With no more descriptors than the system grants the process. Where the settings name more, clients at
    rest would take those that discovery's call, attempts and the operators' door need."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if most == resource.RLIM_INFINITY or most >= config.sockets:
        return config
    return replace(config, sockets=most)


async def serve(config: platform.Config, operator: own.Operator, named: str | None) -> None:
    """Run until SIGTERM or SIGINT, then end in good order; SIGHUP has the configuration read again."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    gateway = Gateway(config, operator, stop.set)

    def reread() -> None:
        """A file that can't be used changes nothing: whoever wrote it half will send the signal again."""
        try:
            fresh, own_fresh = granted(platform.reload(os.environ)), operator_file(named)
        except ConfigError as error:
            log.error("configuration not taken, the old one goes on: %s", error)
            gateway.figures.reloads_failed += 1
        else:
            gateway.reconfigure(fresh, own_fresh)

    loop.add_signal_handler(signal.SIGHUP, reread)
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


def run(named: str | None) -> None:
    """The running gateway, in the foreground; raises `ConfigError` on what it cannot start with."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANGUP)
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    named_config, operator = platform.load(os.environ), operator_file(named)
    log.setLevel(operator.log.level.upper())
    config = granted(named_config)
    if config.sockets < named_config.sockets:
        log.warning(
            "limits.sockets: %d, but the system grants %d descriptors: these bound the connections",
            named_config.sockets,
            config.sockets,
        )
    uvloop.run(serve(config, operator, named))
