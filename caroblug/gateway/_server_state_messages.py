"""JSON form of what gateways tell each other about backend servers."""

from caroblug.core.placement import LayerRange, RoomReport
from caroblug.gateway._context import Context
from caroblug.gateway._limit_messages import decode_limit, encode_limits

_MAX_SHARED_ROOMS = 48
"""Engines whose memory is reported in each message, which bounds its length."""

_USE_UNITS = 1000
"""Units of an engine's memory in which its use is sent."""


class ServerStateMessages:
    """Encodes and applies the fields about backend servers.

    Args:
        context: Shared state of the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def list_age_ms(self) -> int:
        """Returns the age of this gateway's list of backend servers."""
        fleet = self._context.fleet
        if not fleet.has_listing:
            return 1_000_000
        return fleet.listing_age_ms(self._context.clock.now_ms())

    def encode(self, now_ms: int) -> dict:
        """Returns the fields of a message to another gateway."""
        fleet = self._context.fleet
        reports = fleet.recent_reports(now_ms)
        return {
            "suspects": fleet.ejected(now_ms),
            "told": {
                engine: [layers.first, layers.end, age_ms]
                for engine, (layers, age_ms) in reports.items()
            },
            "paces": fleet.recent_slowdowns(now_ms),
            "leaving": fleet.recently_leaving(now_ms),
            "exits": fleet.announced_exits(),
            "limits": encode_limits(fleet.limits.reports(now_ms)),
            "unanswered": fleet.unanswered_orders(now_ms),
            "rooms": {
                engine: _encode_room(report, now_ms)
                for engine, report in fleet.rooms.newest(
                    now_ms, _MAX_SHARED_ROOMS
                ).items()
            },
        }

    def apply(self, message: dict) -> None:
        """Applies the fields of a message from another gateway.

        What it says of servers that aren't listed here is ignored. Such names
        could be any number of made-up ones.
        """
        self._apply_suspects(message["suspects"])
        self._apply_engine_reports(message["told"])
        self._apply_leaving(self._listed(message["leaving"]))
        # Gateways of the previous version don't send these fields.
        self._apply_limits(self._listed(message.get("limits", {})))
        self._apply_exits(self._listed(message.get("exits", {})))
        self._apply_slowdowns(self._listed(message.get("paces", {})))
        self._apply_unanswered_orders(
            self._listed(message.get("unanswered", {}))
        )
        self._apply_rooms(self._listed(message.get("rooms", {})))

    def _listed(self, fields: dict) -> dict:
        """Returns those fields whose names are of listed servers."""
        backends = self._context.fleet.listing.backends
        return {
            name: value for name, value in fields.items() if name in backends
        }

    def _apply_engine_reports(self, told: dict) -> None:
        """Applies what engines have reported to a peer about their layers."""
        now_ms = self._context.clock.now_ms()
        for engine, (first, end, age_ms) in told.items():
            layers = LayerRange(int(first), int(end))
            self._context.fleet.on_report(engine, layers, now_ms - int(age_ms))

    def _apply_leaving(self, leaving: dict) -> None:
        """Applies which backend servers a peer has found to be draining.

        Guards against an unavailable store, with which each gateway would have
        to detect each draining backend server by itself, at the cost of a
        rejected request and a health check.
        """
        now_ms = self._context.clock.now_ms()
        for name, age_ms in leaving.items():
            self._context.fleet.on_leaving(str(name), now_ms - int(age_ms))

    def _apply_limits(self, reports: dict) -> None:
        """Applies the limits that servers have named to a peer."""
        context = self._context
        now_ms = context.clock.now_ms()
        for name, fields in reports.items():
            report = decode_limit(fields)
            if context.fleet.limits.merge(str(name), report, now_ms):
                context.log.write(
                    "backend_server.limit",
                    backend_server=name,
                    rate_per_s=report.rate_per_s,
                    source="peer",
                )

    def _apply_exits(self, exits: dict) -> None:
        """Applies that servers have told a peer that they are draining."""
        context = self._context
        now_ms = context.clock.now_ms()
        for name, started_ms in exits.items():
            if context.fleet.availability.on_exit_announced(
                str(name), int(started_ms), now_ms
            ):
                context.log.write(
                    "backend_server.leaving",
                    backend_server=name,
                    list_age_ms=self.list_age_ms(),
                    source="peer",
                )

    def _apply_slowdowns(self, paces: dict) -> None:
        """Applies the slowdowns that engines have reported to a peer.

        Guards against late detection. Each gateway has few streams on a slow
        engine and reads the engine's report only once they have lagged.
        """
        now_ms = self._context.clock.now_ms()
        for name, (pace, age_ms) in paces.items():
            self._context.fleet.on_slowdown(
                str(name), float(pace), now_ms - int(age_ms)
            )

    def _apply_unanswered_orders(self, unanswered: dict) -> None:
        """Records a peer's unanswered orders, which may still take effect.

        Guards against the failure of the gateway that gave them. The next
        gateway to place layers would rely on engines that release their layers
        later.
        """
        now_ms = self._context.clock.now_ms()
        for name, age_ms in unanswered.items():
            self._context.fleet.on_order_unanswered(
                str(name), now_ms - int(age_ms)
            )

    def _apply_suspects(self, names: list) -> None:
        """Queues probes of the engines that a peer considers failed.

        The report alone is not trusted, as the peer may itself be cut off.
        """
        backends = self._context.fleet.listing.backends
        self._context.engines_to_probe.update(
            name for name in names if name in backends
        )

    def _apply_rooms(self, rooms: dict) -> None:
        """Applies what engines have reported to a peer about their memory."""
        context = self._context
        now_ms = context.clock.now_ms()
        for name, (use, age_ms, waiting, running) in rooms.items():
            report = RoomReport(
                None if use is None else float(use) / _USE_UNITS,
                int(running),
                int(waiting),
                now_ms - int(age_ms),
            )
            if not context.fleet.rooms.on_report(str(name), report, now_ms):
                context.telemetry.count("invalid_loads", source="peer")


def _encode_room(report: RoomReport, now_ms: int) -> list:
    use = None if report.use is None else round(report.use * _USE_UNITS)
    return [use, now_ms - report.measured_ms, report.waiting, report.running]
