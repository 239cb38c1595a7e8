"""The gateway program, a stateless entry between callers and engines."""

import random
import signal
from collections.abc import Callable

import gevent
from gevent import event

from caroblug.core.access import (
    Admitted,
    DenialReason,
    Denied,
    RequestLimits,
    RouteKind,
    admit,
)
from caroblug.core.limits import (
    LimitOwner,
    RetryAfter,
    ServerLimits,
    WindowedRetryBudget,
)
from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._context import Context
from caroblug.gateway._crash_suspicions import CrashSuspicions
from caroblug.gateway._data_ages import DataAges
from caroblug.gateway._decision_log import DecisionLog
from caroblug.gateway._fleet import Fleet
from caroblug.gateway._http_client import Address
from caroblug.gateway._http_server import Handler, HttpServer
from caroblug.gateway._interfaces import CallerRequest, Dialect, Registry
from caroblug.gateway._kept_connections import KeptConnections
from caroblug.gateway._limit_permits import PERMIT_PATH, LimitPermits
from caroblug.gateway._listing_backup import ListingBackup
from caroblug.gateway._liveness import LivenessMonitor
from caroblug.gateway._peers import Peers
from caroblug.gateway._pending_request import (
    LEAVING_RETRY_AFTER_MS,
    NO_CAPACITY_RETRY_AFTER_MS,
    UNREADY_RETRY_AFTER_MS,
    GatewayResponses,
    PendingRequest,
)
from caroblug.gateway._placement import PlacementController
from caroblug.gateway._plain_calls import PlainCallHandler
from caroblug.gateway._quarantine_backup import QuarantineBackup
from caroblug.gateway._responses import (
    CallerDisconnectedError,
    Reply,
    RequestScreen,
    ShutdownError,
)
from caroblug.gateway._room_readers import RoomReaders
from caroblug.gateway._running_streams import RunningStreams
from caroblug.gateway._settings import (
    GatewaySettings,
    SettingsProblem,
    apply_changes,
)
from caroblug.gateway._shared_retry_budget import LEND_PATH, SharedRetryBudget
from caroblug.gateway._slowness import SlownessDetector
from caroblug.gateway._store_watcher import StoreWatcher
from caroblug.gateway._streams import StreamHandler
from caroblug.gateway._suspect_probes import SuspectProbes
from caroblug.gateway._telemetry import Telemetry
from caroblug.gateway._unexpected_errors import UnexpectedErrors
from caroblug.utils import (
    BoottimeClock,
    TimeOfDayClock,
    handle_greenlet_errors,
)

_DENIAL_STATUSES = {
    DenialReason.NOT_CONFIGURED: 503,
    DenialReason.NO_ROUTE: 404,
    DenialReason.UNKNOWN_KEY: 401,
    DenialReason.NO_SERVICE: 503,
}
_BALANCER_NOTICE_MS = 2600
"""Time from SIGTERM after which no new connections arrive. The load balancer
checks readiness once a second and acts on the second failed check."""

_LATE_REQUEST_MS = 2900
"""Time from SIGTERM after which a request is accepted only if its deadline is
before the exit. Callers of earlier requests can't know of the shutdown yet. A
long stream that began later would be cut."""

_EXIT_RESERVE_MS = 250
"""Time reserved between the end of the drain and the platform's SIGKILL."""

_LAST_RESPONSES_S = 0.15
"""Time for the responses to requests that are not answered by the exit."""

_SETTINGS_POLL_S = 5.0
"""Interval at which the settings are read without a signal. A read takes a
millisecond."""

_DRAIN_POLL_S = 0.05

_MAX_START_WAIT_MS = 250
"""Maximum time that callers wait at start for the first configuration and list
of backend servers."""

_START_POLL_S = 0.005


_INTERNAL_LIMITS = RequestLimits(body_bytes=1 << 20)
"""Limits of messages from other gateways, readiness checks and reads of
metrics. A message decodes to many times its size; the lists of a large fleet
come as answers."""


class _CallerScreen(RequestScreen):
    """Refuses callers' requests by route and key before their body comes.

    Args:
        gateway: The gateway.
    """

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway

    def refuse_known(self, head: RawRequest, reply: Reply) -> bool:
        """Refuses a request without a known route or key."""
        return self._gateway.refuse_known(head, reply)

    def refuse_overload(self, head: RawRequest, reply: Reply) -> None:
        """Refuses a request for which there is no memory."""
        self._gateway.refuse_overload(head, reply)


class Gateway:
    """One instance of the gateway program.

    Args:
        context: Shared state of the gateway's components.
        registry: Access to the platform's list, configuration and group.
        reload: Reads the settings again.
    """

    def __init__(
        self,
        context: Context,
        registry: Registry,
        reload: Callable[[], GatewaySettings | SettingsProblem],
    ) -> None:
        self._context = context
        self._registry = registry
        self._reload = reload
        self._errors = UnexpectedErrors(context)
        self._crashes = CrashSuspicions(context)
        self._peers = Peers(context, registry, self._crashes)
        self._ages = DataAges(context, self._peers.reader_ranking)
        self._placement = PlacementController(context, registry, self._peers)
        self._backup = ListingBackup(
            context, registry, lambda: self._placement.is_active
        )
        self._store_watcher = StoreWatcher(
            context, registry, self._peers, self._backup
        )
        self._quarantine_backup = QuarantineBackup(
            context,
            registry,
            self._crashes,
            lambda: self._peers.hears_nobody,
            TimeOfDayClock(),
        )
        self._suspect_probes = SuspectProbes(context)
        self._responses = GatewayResponses(context)
        self._retry_budget = SharedRetryBudget(context, self._peers)
        self._peers.calls.register(
            LEND_PATH, self._retry_budget.handle_loan_request
        )
        self._permits = LimitPermits(context, self._peers.calls)
        self._peers.calls.register(
            PERMIT_PATH, self._permits.handle_permit_request
        )
        self._calls = PlainCallHandler(
            context, self._crashes, self._retry_budget, self._permits
        )
        self._running = RunningStreams(context)
        self._liveness = LivenessMonitor(context, self._running)
        self._room_readers = RoomReaders(context, self._peers)
        self._slowness = SlownessDetector(context, self._running)
        self._streams = StreamHandler(
            context,
            self._crashes,
            self._running,
            self._retry_budget,
            self._permits,
        )
        self._terminating = event.Event()
        self._settings_problem = ""
        self._fixed_settings: tuple[str, ...] = ()
        self._terminated_ms = 0
        self._callers = HttpServer(
            context.settings.callers,
            self._handle_request,
            context.limits,
            context.clock,
            context.resources,
            _CallerScreen(self),
        )
        self._ready = self._listen(context.settings.ready, self._handle_ready)
        self._peer_calls = self._listen(
            context.settings.peers,
            self._peers.calls.handle_request,
        )
        self._metrics = self._listen(
            context.settings.metrics, self._handle_metrics
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        return (
            self._context.configuration is not None
            and self._context.fleet.has_listing
            and not self._terminating.is_set()
        )

    def run(self) -> None:
        """Serves requests until the drain that follows SIGTERM has ended."""
        context = self._context
        context.log.start()
        context.log.write("program.started", settings=str(context.settings))
        gevent.signal_handler(signal.SIGTERM, self._on_terminate)
        gevent.signal_handler(signal.SIGINT, self._on_terminate)
        gevent.signal_handler(signal.SIGHUP, self._reload_settings)
        # The load balancer may connect as soon as the readiness check succeeds,
        # so the callers' socket has to listen before.
        self._callers.listen()
        self._ready.start()
        self._peer_calls.start()
        handle_greenlet_errors(
            lambda error: self._errors.record("greenlet", error)
        )
        for name, loop in (
            ("configuration", self._store_watcher.run_configuration),
            ("backends", self._store_watcher.run_list),
            ("restore", self._store_watcher.run_restore),
            ("backup", self._backup.run),
            ("lease", self._placement.run_lease),
            ("plan", self._placement.run_plan),
            ("members", self._peers.run_members),
            ("exchange", self._peers.run_exchange),
            ("probes", self._suspect_probes.run),
            ("crashes", self._crashes.run),
            ("quarantine", self._quarantine_backup.run),
            ("liveness", self._liveness.run),
            ("slowness", self._slowness.run),
            ("rooms", self._room_readers.run),
            ("settings", self._poll_settings),
            ("ages", self._ages.run),
        ):
            gevent.spawn(self._errors.run_loop, name, loop)
        self._wait_until_ready()
        self._callers.start()
        self._metrics.start()
        self._terminating.wait()
        self._drain()

    def _wait_until_ready(self) -> None:
        """Waits until the gateway is ready, for a limited time.

        Guards against refusing callers that connected during the start because
        the configuration arrives some milliseconds later. The limit keeps the
        refusal early while the store is unavailable.
        """
        end_ms = self._context.clock.now_ms() + _MAX_START_WAIT_MS
        while not self.ready and self._context.clock.now_ms() < end_ms:
            gevent.sleep(_START_POLL_S)

    def _poll_settings(self) -> None:
        """Reloads the settings periodically, in case no signal is sent."""
        while True:
            gevent.sleep(_SETTINGS_POLL_S)
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Applies changed settings, or keeps the old ones if they are invalid.

        Running requests are not affected. Some changes take effect at the next
        start of the process (`FIXED_FIELDS`).
        """
        context = self._context
        settings = self._reload()
        if isinstance(settings, SettingsProblem):
            if str(settings) != self._settings_problem:
                context.log.write("settings.rejected", reason=str(settings))
            self._settings_problem = str(settings)
            return
        self._settings_problem = ""
        settings, fixed = apply_changes(context.settings, settings)
        if fixed != self._fixed_settings:
            self._fixed_settings = fixed
            context.log.write("settings.need_restart", settings=list(fixed))
        if settings == context.settings:
            return
        context.log.write("settings.taken", settings=str(settings))
        moved = settings.store != context.settings.store
        context.settings = settings
        self._registry.apply_settings(settings)
        if moved:
            self._store_watcher.on_store_moved()
        context.retry_budget.set_bound(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_ms
        )

    def _listen(self, address: Address, handler: Handler) -> HttpServer:
        """Returns a server for others than callers."""
        return HttpServer(
            address,
            handler,
            lambda: _INTERNAL_LIMITS,
            self._context.clock,
            self._context.resources,
        )

    def _on_terminate(self) -> None:
        if not self._terminating.is_set():
            self._terminated_ms = self._context.clock.now_ms()
            self._terminating.set()

    def _drain(self) -> None:
        """Waits for running requests and still accepts new ones, then returns.

        New connections arrive until the load balancer has noticed that the
        gateway isn't ready. Refusing them would fail requests unnecessarily.
        """
        context = self._context
        context.log.write("program.leaving", busy=self._callers.busy)
        self._callers.close_after_responses()
        gevent.spawn(self._placement.stop)
        listening = True
        while context.clock.now_ms() < self._exit_ms():
            gevent.sleep(_DRAIN_POLL_S)
            draining_ms = context.clock.now_ms() - self._terminated_ms
            if draining_ms <= _BALANCER_NOTICE_MS:
                continue
            self._callers.close_idle()
            if self._callers.busy:
                continue
            if listening:
                # What has been connected until now is still answered.
                self._callers.stop_listening()
                listening = False
            elif not self._callers.open_connections:
                break
        self._answer_last(listening)
        context.log.write("program.stopped", cut_short=self._callers.busy)
        context.log.flush()

    def _answer_last(self, listening: bool) -> None:
        """Answers requests that would outlast the process.

        Args:
            listening: Whether new connections are still accepted.
        """
        if listening:
            self._callers.stop_listening()
            gevent.sleep(0)
        self._callers.interrupt()
        with gevent.Timeout(_LAST_RESPONSES_S, False):
            while self._callers.open_connections:
                gevent.sleep(_START_POLL_S)

    # Request handling.

    def _handle_request(self, request: RawRequest, reply: Reply) -> None:
        caller = self._context.dialect.decode_request(request)
        try:
            self._serve_request(request, caller, reply)
        except CallerDisconnectedError:
            raise
        except Exception:
            # Part of the request may have run, so that 503 would be wrong.
            if not reply.begun:
                reply.end_connection()
                self._deny(request, caller, reply, 500, "unexpected error")
            raise

    def _serve_request(
        self, request: RawRequest, caller: CallerRequest, reply: Reply
    ) -> None:
        decision = self._decide(request, caller, reply)
        if decision is None:
            return
        budget_ms = decision.route.timeout_ms
        if caller.deadline_ms is not None:
            budget_ms = min(budget_ms, caller.deadline_ms)
        pending = PendingRequest(
            request, caller, decision, reply, request.began_ms + budget_ms
        )
        if self._would_outlive_exit(pending):
            self._responses.refuse(pending, "leaving", LEAVING_RETRY_AFTER_MS)
            return
        if self._crashes.is_quarantined(pending):
            self._responses.refuse_quarantined(pending)
            return
        try:
            self._forward(pending)
        except ShutdownError:
            self._end_at_exit(pending)

    def _forward(self, pending: PendingRequest) -> None:
        admitted = pending.admitted
        if admitted.route.kind is RouteKind.STREAMING and (
            admitted.service.model is not None
        ):
            self._streams.serve(pending)
        else:
            self._calls.serve(pending)

    def _end_at_exit(self, pending: PendingRequest) -> None:
        """Sends a response to a request that the exit interrupts, if none was.

        One that was sent may have run, though its answer hasn't come.
        """
        pending.reply.end_connection()
        if pending.reply.begun:
            self._responses.log(pending, 200, "exit", cut=True)
        elif pending.sends:
            self._responses.fail(pending, 502, "exit")
        else:
            self._responses.refuse(pending, "leaving", LEAVING_RETRY_AFTER_MS)

    def _decide(
        self, request: RawRequest, caller: CallerRequest, reply: Reply
    ) -> Admitted | None:
        """Returns where a request goes, or None if it has been denied."""
        context = self._context
        if caller.bad is not None:
            self._deny(request, caller, reply, 400, caller.bad)
            return None
        decision = admit(
            context.configuration,
            caller.host,
            request.path,
            caller.key,
            context.rng,
        )
        if isinstance(decision, Denied):
            status = _DENIAL_STATUSES[decision.reason]
            self._deny(request, caller, reply, status, decision.reason.value)
            return None
        return decision

    def refuse_known(self, head: RawRequest, reply: Reply) -> bool:
        """Denies a request whose body has not come yet, if it can't be served.

        Returns:
            Whether it was denied.
        """
        caller = self._context.dialect.decode_request(head)
        return self._decide(head, caller, reply) is None

    def refuse_overload(self, head: RawRequest, reply: Reply) -> None:
        """Refuses a request for which there is no memory."""
        caller = self._context.dialect.decode_request(head)
        after_ms = self._context.retry_after.ms(NO_CAPACITY_RETRY_AFTER_MS)
        self._deny(head, caller, reply, 503, "out of memory", after_ms)

    def _would_outlive_exit(self, pending: PendingRequest) -> bool:
        """Returns whether the exit could cut a request that began late."""
        if not self._terminating.is_set():
            return False
        late_ms = self._terminated_ms + _LATE_REQUEST_MS
        return (
            pending.request.began_ms > late_ms
            and pending.end_ms > self._exit_ms()
        )

    def _exit_ms(self) -> int:
        drain_ms = self._context.settings.drain_ms
        return self._terminated_ms + drain_ms - _EXIT_RESERVE_MS

    def _deny(
        self,
        request: RawRequest,
        caller: CallerRequest,
        reply: Reply,
        status: int,
        reason: str,
        after_ms: int | None = None,
    ) -> None:
        context = self._context
        if status == 503 and after_ms is None:
            after_ms = context.retry_after.ms(UNREADY_RETRY_AFTER_MS)
        known = context.configuration
        context.telemetry.count("denied", status=str(status), reason=reason)
        context.log.write(
            "request.denied",
            request=caller.id,
            host=caller.host,
            path=request.path,
            status=status,
            reason=reason,
            configuration=known.version if known else None,
        )
        headers = context.dialect.own_headers(caller, after_ms)
        reply.send(status, headers, reason.encode())

    def _handle_ready(self, request: RawRequest, reply: Reply) -> None:
        del request
        ready = self.ready
        reply.send(200 if ready else 503, [], b"ready" if ready else b"")

    def _handle_metrics(self, request: RawRequest, reply: Reply) -> None:
        del request
        kind = ("Content-Type", "text/plain; version=0.0.4")
        self._ages.update_metrics()
        held = self._context.resources.held
        telemetry = self._context.telemetry
        telemetry.gauge("callers_held_bytes", held.held_bytes)
        telemetry.gauge("callers_connections", held.connections)
        reply.send(200, [kind], telemetry.expose())


def make_gateway(
    settings: GatewaySettings,
    dialect: Dialect,
    registry: Registry,
    reload: Callable[[], GatewaySettings | SettingsProblem],
    connections: KeptConnections,
) -> Gateway:
    """Returns a new gateway, which is not running yet.

    Args:
        settings: Validated settings.
        dialect: Wire protocol for requests, answers, reports and orders.
        registry: Access to the platform's list, configuration and group.
        reload: Reads the settings again.
        connections: Kept connections, which the dialect uses as well.
    """
    clock = BoottimeClock()
    rng = random.Random()
    context = Context(
        settings=settings,
        clock=clock,
        rng=rng,
        dialect=dialect,
        fleet=Fleet(
            settings.data_centre,
            rng,
            ServerLimits(LimitOwner(settings.instance, settings.peers)),
        ),
        retry_budget=WindowedRetryBudget(
            settings.retry_ratio,
            settings.retry_extra,
            settings.retry_window_ms,
            None if settings.first_start else clock.now_ms(),
        ),
        retry_after=RetryAfter(rng),
        log=DecisionLog(settings.instance, clock),
        telemetry=Telemetry(),
        connections=connections,
    )
    return Gateway(context, registry, reload)
