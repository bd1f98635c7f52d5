"""Answers operators' queries at the admin server: health, counters and services.

This module may depend on requests, backends and the decision module's reports. It makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..control.admin_server import Response, Routes
from ..decide.report import service_reports, unavailable_backends
from ..decide.services import ServiceBrokers
from .backend_list import BackendList
from .request_handler import RequestHandler


class AdminReports:
    """Creates the admin server's reports on one gateway."""

    def __init__(
        self,
        handler: RequestHandler,
        backend_list: BackendList,
        is_serving: Callable[[], bool],
        load: Callable[[], str],
    ) -> None:
        """Creates the reports.

        `is_serving` returns whether the gateway accepts requests and is not stopping, `load` the figures on
        the process itself.
        """
        self._load = load
        self._handler = handler
        self._backend_list = backend_list
        self._is_serving = is_serving

    def routes(self) -> Routes:
        """Returns the functions that answer, by path."""
        routes: Routes = {b"/healthcheck": self._health, b"/stats": self._stats}
        if isinstance(self._handler.decision_module, ServiceBrokers):
            routes[b"/services"] = self._services
        return routes

    def _health(self) -> Response:
        """Returns status 200 only while requests are accepted and can be served."""
        if self._is_serving() and self._handler.ready():
            return 200, "ok\n"
        return 503, "not ready\n"

    def _stats(self) -> Response:
        handler = self._handler
        open_requests = sum(not request.is_closed for request in handler.requests.values())
        excluded_backends = unavailable_backends(handler.decision_module, handler.now())
        lines = handler.counters.lines(open_requests, len(self._backend_list), excluded_backends)
        return 200, lines + self._load()

    def _services(self) -> Response:
        module = self._handler.decision_module
        reports = service_reports(module, self._handler.now()) if isinstance(module, ServiceBrokers) else []
        return 200, msgspec.json.encode(reports).decode() + "\n"
