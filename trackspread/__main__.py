"""Starts one real gateway; ends with exit status 2 and one plain line on a bad configuration."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from .config.addresses import ConfigError
from .config.platform import Config, load, reload
from .node.gateway import Gateway

HANGUP = {signal.SIGHUP}  # held back, never at its default, wherever no handler is in place: that would kill
log = logging.getLogger("trackspread")


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT, then end in good order; SIGHUP has the configuration read again."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Gateway(config)

    def reread() -> None:
        """A file that can't be used changes nothing: whoever wrote it half will send the signal again."""
        try:
            fresh = reload(os.environ)
        except ConfigError as error:
            log.error("configuration not taken, the old one goes on: %s", error)
        else:
            node.reconfigure(fresh)

    loop.add_signal_handler(signal.SIGHUP, reread)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANGUP)
    try:
        await node.start()
    except OSError as error:
        # An address that is taken, or not this machine's, is as much a wrong setting as one left out.
        raise ConfigError(f"cannot listen: {error}") from None
    # What was made so far lives as long as the process: full collections need not look at it again.
    gc.freeze()
    await stop.wait()
    log.info("%s stopping", config.name)
    await node.stop()
    # The loop takes its handlers along when it closes.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANGUP)


def main() -> int:
    signal.pthread_sigmask(signal.SIG_BLOCK, HANGUP)
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    try:
        uvloop.run(serve(load(os.environ)))
    except ConfigError as error:
        print(f"trackspread: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
