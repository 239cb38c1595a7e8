"""Permits for requests to servers whose limit another gateway owns."""

from collections.abc import Iterable

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import BackendServer, Unavailable
from caroblug.gateway._peer_calls import PeerCalls, read_count

PERMIT_PATH = "/permit"

_MAX_OWNERS = 3
"""Gateways called before a request is refused; the caller waits meanwhile."""

_FAILED_CALL_MS = 500
"""Pause after a call to an owner that did not respond."""


class LimitPermits:
    """Requests permits from the owners of limits, and grants them.

    Args:
        context: State shared by the gateway's components.
        calls: Calls to and from other gateways.
    """

    def __init__(self, context: Context, calls: PeerCalls) -> None:
        self._context = context
        self._calls = calls

    def acquire_first(
        self, backends: Iterable[BackendServer]
    ) -> BackendServer | None:
        """Returns the first backend server for which a permit is granted."""
        calls = 0
        for backend in backends:
            if calls == _MAX_OWNERS:
                break
            if self._has_lender(backend.name):
                calls += 1
                if self.acquire(backend.name):
                    return backend
        return None

    def acquire(self, name: str) -> bool:
        """Requests a permit for one request to a server.

        Args:
            name: Name of the server.

        Returns:
            Whether a permit was granted.
        """
        context = self._context
        limits = context.fleet.limits
        requested_ms = context.clock.now_ms()
        owner = limits.lender(name, requested_ms)
        if owner is None:
            return False
        response = self._calls.call(
            owner.address, PERMIT_PATH, {"server": name}
        )
        wait_ms = _FAILED_CALL_MS
        if not isinstance(response, Unavailable):
            answered_ms = read_count(response, "wait_ms")
            if not isinstance(answered_ms, Unavailable):
                wait_ms = answered_ms
        granted = wait_ms <= 0
        context.telemetry.count("permit_requests", granted=str(granted))
        if granted:
            limits.on_granted(name, requested_ms)
        else:
            limits.on_denied(name, wait_ms, context.clock.now_ms())
        return granted

    def handle_permit_request(self, message: dict) -> dict:
        """Grants another gateway a permit, if there is one left.

        Args:
            message: The request, with the name of the `server`.

        Returns:
            The response, with the time `wait_ms` until a permit may be
            granted; 0 if one is.
        """
        context = self._context
        wait_ms = context.fleet.limits.grant(
            str(message["server"]), context.clock.now_ms()
        )
        context.telemetry.count("permits", granted=str(not wait_ms))
        return {"wait_ms": wait_ms}

    def _has_lender(self, name: str) -> bool:
        now_ms = self._context.clock.now_ms()
        return self._context.fleet.limits.lender(name, now_ms) is not None
