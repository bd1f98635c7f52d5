"""Other classes of request, from a configuration that is read again, for what arrives from now on.

May know: the roster of classes, requests. May not know: files, sockets.
"""

from __future__ import annotations

from dataclasses import replace

from ..config.platform import Config
from ..config.roster import change
from ..fronts.resp import RespClientAdapter
from .request_handler import RequestHandler


def reload_classes(handler: RequestHandler, front: RespClientAdapter, fresh: Config) -> None:
    """Put the classes and the number of attempts of `fresh` in force; open requests keep theirs."""
    in_use = {request.call.request_class for request in handler.requests.values()}
    roster, predecessors = handler.roster.follow(fresh.classes, fresh.settings.classes, in_use)
    max_attempts = fresh.settings.max_attempts
    if roster == handler.roster and max_attempts == handler.config.settings.max_attempts:
        return
    handler.roster = roster
    settings = replace(handler.config.settings, classes=fresh.settings.classes, max_attempts=max_attempts)
    handler.config = replace(handler.config, classes=fresh.classes, settings=settings)
    handler.handle(change(roster, predecessors, max_attempts))
    front.configure(roster)
    handler.figures.set_classes(fresh.classes)
