"""The side program: wires its parts together."""

import falcon
import gevent

from caroblug.core.recovery import StageFailure
from caroblug.core.state import BundleFold, Head
from caroblug.gen.wire import ttypes as wire
from caroblug.node import (
    BundleFollower,
    Lifetime,
    NodeHttp,
    add_node_routes,
)
from caroblug.side._engine_watch import WatchedEngine
from caroblug.side._plain import DirectCaller, PlainCalls
from caroblug.side._pump import EnginePump
from caroblug.side._settings import SideSettings
from caroblug.side._streams import StageStreams
from caroblug.transport import (
    EngineClient,
    EngineDescription,
    EngineFailed,
    PeerAddress,
    PeerHandler,
    make_engine_client,
    make_log_service,
    make_peer_network,
)
from caroblug.utils import (
    Metrics,
    MonotonicClock,
    log_state,
    make_metrics,
)

_ENTRY_ROLE = "entry"
_DESCRIBE_S = 0.1
_PLAIN_TIMEOUT_MS = 5000


class SideServer(PeerHandler):
    """One side process.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: SideSettings) -> None:
        self.settings = settings
        self.metrics: Metrics = make_metrics()
        self._clock = MonotonicClock()
        self.lifetime = Lifetime(
            self._clock, settings.drain_ms, settings.linger_ms
        )
        hello = wire.Hello(
            settings.instance,
            "side",
            settings.data_centre,
            host=settings.reach_host,
            port=settings.reach_port,
        )
        self.network = make_peer_network(
            hello,
            settings.shared_key.encode(),
            self,
            self._clock,
            self.metrics,
            settings.make_timing(),
        )
        self.bundles = BundleFollower(
            make_log_service(settings.log.host, settings.log.port),
            BundleFold(settings.operators, settings.signatures),
            self.metrics,
            self._on_head,
        )
        self._description: EngineDescription | None = None
        self._engine: EngineClient | None = None
        self._pump: EnginePump | None = None
        self._streams: StageStreams | None = None
        self._calls: PlainCalls | None = None
        self._make_backend()

    @property
    def ready(self) -> bool:
        """Whether new work is taken."""
        up = self._calls is not None or self._description is not None
        return up and self.bundles.ready and not self.lifetime.leaving

    def run(self) -> None:
        """Serves until the process has drained."""
        settings = self.settings
        self.lifetime.install()
        self.network.start(settings.host, settings.peer_port)
        app = falcon.App()
        add_node_routes(app, self.metrics, lambda: self.ready)
        http = NodeHttp(settings.host, settings.http_port, app)
        http.start()
        gevent.spawn(self.bundles.run)
        if self._engine is not None:
            gevent.spawn(self._watch_engine)
        gevent.spawn(self._report_forever)
        log_state("program.started", port=settings.peer_port)
        self.lifetime.wait(self._report, self._busy, self._hand_on)
        self.network.stop()
        http.stop()

    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Takes a frame from a peer."""
        if self._streams is not None:
            self._on_stream_messages(self._streams, frame)
        if self._calls is not None:
            for call in frame.calls or ():
                self._calls.on_call(peer, call, leaving=self.lifetime.leaving)

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Tells a new entry about this process."""
        if peer.role == _ENTRY_ROLE and self._is_up():
            self.network.send(peer, self._make_report())

    def on_peer_lost(self, peer: PeerAddress, reason: str) -> None:
        """Lets the entries know which streams this cuts."""
        del reason
        if self._streams is not None:
            self._streams.on_peer_lost(peer.instance)

    def _make_backend(self) -> None:
        settings = self.settings
        if settings.plain is not None:
            caller = DirectCaller(
                settings.plain.host, settings.plain.port, _PLAIN_TIMEOUT_MS
            )
            self._calls = PlainCalls(caller, self.network, self.metrics)
            return
        address = settings.engine
        self._engine = WatchedEngine(
            make_engine_client(
                address.host, address.port, settings.engine_timeout_ms
            ),
            make_engine_client(
                address.host, address.port, settings.engine_probe_ms
            ),
            self._clock,
            settings.engine_probe_ms,
        )
        self._pump = EnginePump(
            self._engine,
            self._clock,
            self.metrics,
            lambda results: self._streams.on_results(results),
            lambda sessions, message: self._on_engine_lost(message),
            batch=1,
            batches=settings.batches,
        )
        self._streams = StageStreams(
            settings.instance,
            self.network,
            self._pump,
            self._clock,
            self.metrics,
            settings.journal_positions,
        )
        self._pump.start()

    def _on_stream_messages(
        self, streams: StageStreams, frame: wire.Frame
    ) -> None:
        for opened in frame.opens or ():
            streams.on_open(opened, self._refusal())
        for need in frame.needs or ():
            streams.on_need(need)
        for step in frame.steps or ():
            streams.on_step(step)
        for token in frame.tokens or ():
            streams.on_token(token)
        for cancel in frame.cancels or ():
            streams.on_cancel(cancel)

    def _refusal(self) -> str:
        if self.lifetime.leaving:
            return StageFailure.LEAVING
        return "" if self._is_up() else StageFailure.ENGINE_FAILED

    def _is_up(self) -> bool:
        return self._calls is not None or self._description is not None

    def _busy(self) -> bool:
        if self._calls is not None:
            return len(self._calls) > 0
        return len(self._streams) > 0

    def _hand_on(self) -> None:
        if self._streams is not None:
            self._streams.hand_on()

    def _on_head(self, head: Head) -> None:
        del head
        self._report()

    def _on_engine_lost(self, message: str) -> None:
        if self._description is not None:
            log_state("engine.lost", reason=message)
            self.metrics.count("engine_lost")
        self._description = None
        self._report()
        self._streams.on_engine_lost(message)

    def _watch_engine(self) -> None:
        while True:
            description = self._engine.describe()
            if isinstance(description, EngineFailed):
                if self._description is not None:
                    self._on_engine_lost(description.message)
            elif self._description is None:
                log_state("engine.up", model=description.model)
                self._pump.batch = description.batch
                self._description = description
                self._report()
            self._streams.drop_expired()
            gevent.sleep(_DESCRIBE_S)

    def _report_forever(self) -> None:
        while True:
            gevent.sleep(self.settings.report_ms / 1000)
            self._report()

    def _report(self) -> None:
        self.network.broadcast(_ENTRY_ROLE, self._make_report())

    def _make_report(self) -> wire.LoadReport:
        settings = self.settings
        head = self.bundles.head
        report = wire.LoadReport(
            instance=settings.instance,
            role="side",
            data_centre=settings.data_centre,
            leaving=self.lifetime.leaving or not self._is_up(),
            bundle_version=head.version if head else 0,
            host=settings.reach_host,
            port=settings.reach_port,
        )
        if settings.plain is not None:
            report.target = settings.plain.service
            report.running = len(self._calls)
        elif self._description is not None:
            description = self._description
            report.target = description.model
            report.first_layer = description.first_layer
            report.end_layer = description.end_layer
            report.tokens_per_s = description.tokens_per_s
            report.waiting = self._pump.waiting
            report.running = self._pump.running
        return report


def serve(settings: SideSettings) -> None:
    """Runs the side program."""
    SideServer(settings).run()
