"""The side process: construction, message dispatch and load reports."""

from collections.abc import Mapping

import falcon
import gevent

from caroblug.caller_resources import CallerResources
from caroblug.core.recovery import StageFailure
from caroblug.core.routing import report_interval_ms
from caroblug.core.state import Head, Quarantine, Sharing
from caroblug.gen.wire import ttypes as wire
from caroblug.node import (
    Lifetime,
    NodeHttpServer,
    add_node_routes,
    add_status_route,
    make_fleet,
)
from caroblug.side._at_most_once import make_plain_call_handler
from caroblug.side._batch_scheduler import BatchScheduler
from caroblug.side._crash_reporter import CrashReporter
from caroblug.side._monitored_engine import MonitoredEngine
from caroblug.side._open_stage import address_of
from caroblug.side._placement_reconciler import (
    PlacementReconciler,
    PlacementTarget,
    make_placement_reconciler,
)
from caroblug.side._plain import PlainCallHandler
from caroblug.side._settings import SideSettings
from caroblug.side._streams import StageStreams
from caroblug.transport import (
    EngineClient,
    EngineDescription,
    EngineFailure,
    PeerAddress,
    PeerHandler,
    make_engine_client,
    make_peer_network,
)
from caroblug.utils import (
    Metrics,
    MonotonicClock,
    log_state,
    make_metrics,
)

_ENTRY_ROLE = "entry"
_REPORT_SIZE_BYTES = 110
_PROBE_INTERVAL_S = 0.1


class SideServer(PeerHandler):
    """A side process for an engine or a plain service.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: SideSettings) -> None:
        self.settings = settings
        self.metrics: Metrics = make_metrics()
        self._clock = MonotonicClock()
        self.resources = CallerResources(
            self._clock,
            settings.make_resource_bounds,
            lambda holding, held_ms: self.metrics.count("connections_evicted"),
        )
        self.lifetime = Lifetime(
            self._clock, settings.drain_ms, settings.linger_ms
        )
        hello = wire.Hello(
            settings.instance,
            "side",
            settings.data_centre,
            host=settings.reachable_host,
            port=settings.reachable_port,
        )
        self.network = make_peer_network(
            hello,
            settings.shared_keys[0].encode(),
            self,
            self._clock,
            self.metrics,
            settings.make_session_timing(),
            self.resources,
        )
        self.fleet = make_fleet(
            settings,
            "side",
            self.network,
            self._clock,
            self.metrics,
            self._on_head,
        )
        self.bundles = self.fleet.bundles
        self._crash_reporter = CrashReporter(
            settings.instance,
            self.network,
            self._get_quarantine,
            self._clock,
            self.metrics,
        )
        self._description: EngineDescription | None = None
        self._engine: EngineClient | None = None
        self._scheduler: BatchScheduler | None = None
        self._streams: StageStreams | None = None
        self._call_handler: PlainCallHandler | None = None
        self._reconciler: PlacementReconciler | None = None
        self._make_backend()

    @property
    def ready(self) -> bool:
        """Whether new work is accepted."""
        up = self._call_handler is not None or self._description is not None
        return up and self.bundles.ready and not self.lifetime.leaving

    def run(self) -> None:
        """Serves until the process has drained."""
        settings = self.settings
        self.lifetime.install_signal_handlers()
        self.network.start(settings.host, settings.peer_port)
        app = falcon.App()
        add_node_routes(app, self.metrics, lambda: self.ready)
        add_status_route(
            app, lambda: self.fleet.status(self.ready, self._count_running())
        )
        http = NodeHttpServer(
            settings.host, settings.http_port, app, self.resources
        )
        http.start()
        self.fleet.start(self.lifetime.leave)
        if self._engine is not None:
            gevent.spawn(self._watch_engine)
            gevent.spawn(self._reconciler.run)
        if self._call_handler is not None:
            self._call_handler.start()
        gevent.spawn(self._report_forever)
        log_state("program.started", port=settings.peer_port)
        self.lifetime.wait(self._report, self._busy, self._request_reroute)
        self.network.stop()
        http.stop()

    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Dispatches the messages in a frame."""
        for probe in frame.probes or ():
            if not probe.answer:
                self.network.send(peer, wire.LinkProbe(probe.sent_ms, True))
        self.fleet.on_frame(peer, frame)
        for suspicion in frame.suspicions or ():
            self._crash_reporter.on_suspicion(suspicion)
        if self._streams is not None:
            self._on_stream_messages(self._streams, frame)
        if self._call_handler is not None:
            for call in frame.calls or ():
                self._call_handler.on_call(
                    peer, call, leaving=self.lifetime.leaving
                )

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Sends suspicions and a load report to a new entry."""
        self.fleet.on_peer_up(peer)
        if peer.role == _ENTRY_ROLE:
            self._crash_reporter.on_entry_up(peer)
        if peer.role == _ENTRY_ROLE and self._is_backend_up():
            self.network.send(peer, self._make_report())

    def on_peer_lost(self, peer: PeerAddress, reason: str) -> None:
        """Ends or reports the streams that depend on a lost peer."""
        del reason
        self.fleet.on_peer_lost(peer)
        if self._streams is not None:
            self._streams.on_peer_lost(peer.instance)

    def _make_backend(self) -> None:
        settings = self.settings
        if settings.plain is not None:
            self._call_handler = make_plain_call_handler(
                settings, self.network, self._clock, self.metrics
            )
            return
        address = settings.engine
        self._engine = MonitoredEngine(
            make_engine_client(
                address.host, address.port, settings.engine_timeout_ms
            ),
            make_engine_client(
                address.host, address.port, settings.engine_probe_ms
            ),
            self._clock,
            settings.engine_probe_ms,
        )
        self._scheduler = BatchScheduler(
            self._engine,
            self._clock,
            self.metrics,
            lambda results: self._streams.on_results(results),
            self._on_engine_lost,
            batch=1,
            batches=settings.batches,
            queue=settings.queue,
        )
        self._streams = StageStreams(
            settings.instance,
            self.network,
            self._scheduler,
            self._clock,
            self.metrics,
            settings.journal_positions,
            self._get_sharing,
        )
        self._scheduler.start()
        self._reconciler = make_placement_reconciler(
            settings,
            self._find_target,
            lambda: len(self._streams) > 0,
            self._on_ordered,
            self._on_foreign_change,
            self._clock,
            self.metrics,
        )

    def _on_stream_messages(
        self, streams: StageStreams, frame: wire.Frame
    ) -> None:
        for open_message in frame.opens or ():
            streams.on_open(open_message, self._find_refusal(open_message))
        for need in frame.needs or ():
            streams.on_need(need)
        for step in frame.steps or ():
            streams.on_step(step)
        for token in frame.tokens or ():
            streams.on_token(token)
        for cancel in frame.cancels or ():
            streams.on_cancel(cancel)

    def _find_refusal(self, open_message: wire.OpenStream) -> str:
        if self.lifetime.leaving or self._is_changing():
            return StageFailure.LEAVING
        if self._streams.reserved_positions >= self.settings.positions:
            return StageFailure.OVERLOADED
        fingerprint = open_message.fingerprint or ""
        if self._crash_reporter.is_quarantined(fingerprint):
            self._crash_reporter.send_suspicions(
                address_of(open_message.entry), fingerprint
            )
            return StageFailure.QUARANTINED
        return "" if self._is_backend_up() else StageFailure.ENGINE_FAILED

    def _find_target(self) -> PlacementTarget | None:
        head = self.bundles.head
        if head is None or self.lifetime.leaving:
            return None
        name = self.settings.engine_name or self.settings.instance
        placement = head.bundle.placements.get(name)
        return placement and PlacementTarget(head.version, placement)

    def _on_ordered(self) -> None:
        """Discards the engine's description; the next probe reads it again."""
        self._description = None
        self._report()

    def _on_foreign_change(self) -> None:
        """Fails the streams; their entries run them on other instances."""
        failed = EngineFailure("the engine was ordered by somebody else")
        self._on_engine_lost(self._scheduler.sessions_in_engine, failed)

    def _rejects_new_work(self) -> bool:
        leaving = self.lifetime.leaving or self._is_changing()
        return leaving or not self._is_backend_up()

    def _is_changing(self) -> bool:
        return self._reconciler is not None and self._reconciler.changing

    def _is_backend_up(self) -> bool:
        return self._call_handler is not None or self._description is not None

    def _count_running(self) -> int:
        work = (
            self._streams if self._call_handler is None else self._call_handler
        )
        return len(work)

    def _busy(self) -> bool:
        if self._call_handler is not None:
            return self._call_handler.busy
        return self._count_running() > 0

    def _request_reroute(self) -> None:
        if self._streams is not None:
            self._streams.request_reroute()

    def _on_head(self, head: Head) -> None:
        if self._call_handler is not None:
            self._call_handler.on_head(head)
        self._report()

    def _get_sharing(self) -> Sharing:
        head = self.bundles.head
        return head.bundle.sharing if head is not None else Sharing()

    def _get_quarantine(self) -> Quarantine:
        head = self.bundles.head
        return head.bundle.quarantine if head is not None else Quarantine()

    def _on_engine_lost(
        self, sessions_in_engine: Mapping[str, int], failed: EngineFailure
    ) -> None:
        """Reports a lost engine and fails its streams.

        Suspicions are sent before the failures, because an entry retries a
        request as soon as it receives its failure.
        """
        if failed.crashed:
            requests = self._streams.open_messages_of(sessions_in_engine)
            self._crash_reporter.on_crash(
                (
                    open_message.fingerprint,
                    open_message.client_account,
                    position,
                )
                for open_message, position in requests
                if open_message.fingerprint
            )
        message = failed.message
        if self._description is not None:
            log_state("engine.lost", reason=message)
            self.metrics.count("engine_lost")
        self._description = None
        self._report()
        self._streams.on_engine_lost(message)

    def _watch_engine(self) -> None:
        while True:
            description = self._engine.describe()
            if isinstance(description, EngineFailure):
                if self._description is not None:
                    self._on_engine_lost(
                        self._scheduler.sessions_in_engine, description
                    )
            elif self._description is None:
                log_state("engine.up", model=description.model)
                self._crash_reporter.on_engine_up()
                self._scheduler.batch = description.batch
                self._description = description
                self._report()
            self._streams.drop_expired()
            gevent.sleep(_PROBE_INTERVAL_S)

    def _report_forever(self) -> None:
        while True:
            gevent.sleep(self._report_interval_ms() / 1000)
            self._report()

    def _report_interval_ms(self) -> int:
        entries = sum(p.role == _ENTRY_ROLE for p in self.network.peers)
        return report_interval_ms(
            entries,
            _REPORT_SIZE_BYTES,
            self.settings.report_ms,
            self.settings.report_bytes_per_s,
        )

    def _report(self) -> None:
        self.network.broadcast(_ENTRY_ROLE, self._make_report())

    def _make_report(self) -> wire.LoadReport:
        settings = self.settings
        head = self.bundles.head
        report = wire.LoadReport(
            instance=settings.instance,
            role="side",
            data_centre=settings.data_centre,
            leaving=self._rejects_new_work(),
            bundle_version=head.version if head else 0,
            host=settings.reachable_host,
            port=settings.reachable_port,
            interval_ms=self._report_interval_ms(),
        )
        if settings.plain is not None:
            report.target = settings.plain.service
            report.running = len(self._call_handler)
        elif self._description is not None:
            description = self._description
            report.target = description.model
            report.first_layer = description.first_layer
            report.end_layer = description.end_layer
            report.tokens_per_s = description.tokens_per_s
            report.waiting = self._scheduler.waiting
            report.running = self._scheduler.running
            report.streams = len(self._streams)
            report.client_accounts = self._scheduler.client_accounts
            report.backlog = self._scheduler.backlog
        return report


def serve(settings: SideSettings) -> None:
    """Runs the side process until it has drained."""
    SideServer(settings).run()
