"""Server of the entry program, assembled from its components."""

import random
from collections.abc import Sequence

import falcon
import gevent

from caroblug.caller_resources import CallerResources
from caroblug.core.limits import RetryBudget, RetryRule
from caroblug.core.routing import LatencyTable, covers_layers, make_chooser
from caroblug.core.state import Head
from caroblug.entry._api import make_app
from caroblug.entry._chain_picker import ChainPicker
from caroblug.entry._directory import SideDirectory
from caroblug.entry._latency_prober import LatencyProber
from caroblug.entry._limits import EntryLimits
from caroblug.entry._plain_service_client import PlainServiceClient
from caroblug.entry._request_guard import RequestGuard
from caroblug.entry._settings import EntrySettings
from caroblug.entry._streams import (
    EntryStreams,
    RecoveryPolicy,
    RecoveryStrategy,
)
from caroblug.entry._subset import SideSubset
from caroblug.gen.wire import ttypes as wire
from caroblug.node import (
    Lifetime,
    NodeHttpServer,
    add_node_routes,
    add_status_route,
    make_fleet,
)
from caroblug.transport import (
    InstanceRecord,
    PeerAddress,
    PeerHandler,
    make_peer_network,
)
from caroblug.utils import (
    Metrics,
    MonotonicClock,
    log_state,
    make_metrics,
)

_SIDE_ROLE = "side"
_ENGINE_DISCOVERY_TIMEOUT_MS = 10_000
_RETRY_REFILL_PERIOD_S = 60
_OVERDUE_CHECK_S = 0.25


class EntryServer(PeerHandler):
    """An entry instance.

    Args:
        settings: Settings of the instance.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.metrics: Metrics = make_metrics()
        self._clock = MonotonicClock()
        self._started_ms = self._clock.now_ms()
        self.resources = CallerResources(
            self._clock,
            settings.make_resource_bounds,
            lambda holding, held_ms: self.metrics.count("connections_evicted"),
        )
        self.lifetime = Lifetime(
            self._clock, settings.drain_ms, settings.linger_ms
        )
        self.network = make_peer_network(
            wire.Hello(
                settings.instance,
                "entry",
                settings.data_centre,
                host=settings.reachable_host,
                port=settings.reachable_port,
            ),
            settings.shared_keys[0].encode(),
            self,
            self._clock,
            self.metrics,
            settings.make_session_timing(),
            self.resources,
        )
        self.fleet = make_fleet(
            settings,
            "entry",
            self.network,
            self._clock,
            self.metrics,
            self._on_head,
        )
        self.latencies = LatencyTable()
        self.latency_prober = LatencyProber(
            settings.data_centre, self.network, self.latencies, self._clock
        )
        self.subset = SideSubset(settings.instance, settings.subset)
        self.bundles = self.fleet.bundles
        self.directory = SideDirectory(self._clock, settings.report_age_ms)
        self.limits = EntryLimits(
            settings, self.network, self.bundles, self._clock, self.metrics
        )
        self.streams = EntryStreams(
            wire.StageRef(
                settings.instance,
                settings.reachable_host,
                settings.reachable_port,
                0,
                0,
            ),
            self.network,
            self.directory,
            ChainPicker(
                self.directory,
                make_chooser(settings.chooser, random.Random(), self.latencies),
                self.latencies,
                self._clock,
                settings.data_centre,
            ),
            self._clock,
            self.metrics,
            _make_recovery_policy(settings),
            self.limits.quarantine,
        )
        self.service_client = PlainServiceClient(
            self.network, self.directory, self._clock, self.metrics
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this instance."""
        if self.lifetime.leaving or not self.bundles.ready:
            return False
        return self._has_engines_for_all_layers()

    def _has_engines_for_all_layers(self) -> bool:
        """Returns whether every model has engines for all of its layers.

        An entry that has just started has no load reports yet. If it were
        ready, it would refuse requests although engines are available. After
        `_ENGINE_DISCOVERY_TIMEOUT_MS` it becomes ready regardless, because
        the missing engines may not exist.
        """
        if (
            self._clock.now_ms() - self._started_ms
            >= _ENGINE_DISCOVERY_TIMEOUT_MS
        ):
            return True
        models = self.bundles.head.bundle.models
        return all(
            covers_layers(self.directory.engines(name), rule.layers)
            for name, rule in models.items()
        )

    def run(self) -> None:
        """Serves until the process has drained."""
        settings = self.settings
        self.lifetime.install_signal_handlers()
        self.network.start(settings.host, settings.peer_port)
        http = NodeHttpServer(
            settings.host,
            settings.http_port,
            self._make_app(),
            self.resources,
        )
        http.start()
        self.fleet.start(self.lifetime.leave)
        gevent.spawn(self._watch_instances)
        gevent.spawn(self._probe_links)
        gevent.spawn(self._abort_overdue_streams)
        self.limits.start()
        log_state("program.started", port=settings.http_port)
        self.lifetime.wait(lambda: None, lambda: http.in_flight > 0)
        http.stop()
        self.network.stop()

    def on_frame(self, peer: PeerAddress, frame: wire.Frame) -> None:
        """Dispatches the messages of a frame to their components."""
        self.fleet.on_frame(peer, frame)
        self.limits.on_frame(peer, frame)
        for report in frame.reports or ():
            if self.directory.on_report(report):
                self.streams.on_engine_started()
            self.subset.on_report(report)
            self.metrics.gauge("known_sides", len(self.directory))
        for probe in frame.probes or ():
            self.latency_prober.on_probe(peer, probe)
        for token in frame.tokens or ():
            self.streams.on_token(token)
        for refusal in frame.refusals or ():
            self.streams.on_refusal(refusal)
        for reply in frame.replies or ():
            self.service_client.on_reply(reply)

    def on_peer_up(self, peer: PeerAddress) -> None:
        """Registers a new peer; its first report adds it to the directory."""
        self.fleet.on_peer_up(peer)

    def on_peer_lost(self, peer: PeerAddress, reason: str) -> None:
        """Drops the peer's state and recovers streams and calls it ran."""
        del reason
        self.fleet.on_peer_lost(peer)
        self.directory.remove(peer.instance)
        self.limits.on_peer_lost(peer.instance)
        self.metrics.gauge("known_sides", len(self.directory))
        self.streams.on_peer_lost(peer.instance)
        self.service_client.on_peer_lost(peer.instance)

    def _make_app(self) -> falcon.App:
        app = make_app(
            RequestGuard(self.bundles, self.lifetime),
            self.streams,
            self.service_client,
            self.limits.admission,
            self._clock,
            self.metrics,
            self.resources,
        )
        add_node_routes(app, self.metrics, lambda: self.ready)
        add_status_route(
            app,
            lambda: self.fleet.status(
                self.ready, len(self.streams) + len(self.service_client)
            ),
        )
        return app

    def _on_head(self, head: Head) -> None:
        """Does nothing, because every request reads the current head."""

    def _watch_instances(self) -> None:
        while True:
            listed = self.fleet.members.listed
            leaving = {r.instance for r in listed if r.leaving}
            self.directory.on_listed(leaving)
            self.metrics.gauge("listed_leaving", len(leaving))
            self.limits.on_listed(listed)
            self._connect_subset(listed)
            gevent.sleep(self.settings.instances_ms / 1000)

    def _connect_subset(self, listed: Sequence[InstanceRecord]) -> None:
        live = {
            record.instance: record
            for record in listed
            if record.role == _SIDE_ROLE and not record.leaving
        }
        selected = self.subset.select(live)
        for instance in sorted(selected):
            record = live[instance]
            if not self.network.is_connected(instance):
                self.network.send(
                    PeerAddress(instance, record.host, record.port)
                )
        for instance in live.keys() - selected:
            if not self.directory.own_streams(instance):
                self.network.disconnect(instance)

    def _probe_links(self) -> None:
        while True:
            gevent.sleep(self.settings.probe_ms / 1000)
            self.latency_prober.probe()

    def _abort_overdue_streams(self) -> None:
        while True:
            gevent.sleep(_OVERDUE_CHECK_S)
            self.streams.abort_overdue()


def _make_recovery_policy(settings: EntrySettings) -> RecoveryPolicy:
    budget = RetryBudget(
        RetryRule(settings.account_retries),
        RetryRule(
            settings.retries, per_s=settings.retries / _RETRY_REFILL_PERIOD_S
        ),
    )
    return RecoveryPolicy(
        settings.attempts, RecoveryStrategy(settings.recovery), budget
    )


def serve(settings: EntrySettings) -> None:
    """Runs the entry program."""
    EntryServer(settings).run()
