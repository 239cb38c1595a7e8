"""The streams of one entry: attempts, tokens released, recovery."""

import secrets
from collections.abc import Callable

import attrs
from gevent import queue

from caroblug.core.recovery import EntryStream
from caroblug.core.routing import (
    Chain,
    ChainChooser,
    LatencyTable,
    check_deadline,
)
from caroblug.entry._directory import Directory
from caroblug.entry._suspects import SuspectClient
from caroblug.gen.wire import ttypes as wire
from caroblug.transport import PeerAddress, PeerNetwork
from caroblug.utils import (
    Clock,
    Metrics,
    Ran,
    RefusalType,
    Refused,
    log_state,
)

_STREAM_BYTES = 8
_RETRY_AFTER_MS = 1000
_UNREAD = Refused(
    RefusalType.LIMIT_REACHED,
    "the caller does not read its answer",
    Ran.YES,
    _RETRY_AFTER_MS,
)


@attrs.frozen(kw_only=True)
class StreamRequest:
    """A completion that was admitted.

    Attributes:
        client_account: Whose request it is.
        weight: The account's share relative to others.
        model: The model.
        layers: Its number of layers.
        prompt: The prompt's tokens.
        max_tokens: Tokens to generate.
        deadline_ms: How long it may take.
        seed: Seed of the sampling.
        fingerprint: What equal requests of the account have in common.
        unread_tokens: Tokens that may wait for the caller to read them.
    """

    client_account: str
    weight: float
    model: str
    layers: int
    prompt: list[int]
    max_tokens: int
    deadline_ms: int
    seed: int
    fingerprint: str = ""
    unread_tokens: int = 1024


class RunningStream:
    """One stream and the queue by which its caller is fed.

    The queue carries lists of tokens, in order, then None when the stream is
    complete, or a `Refused` when it is given up.
    """

    def __init__(self, name: str, request: StreamRequest, end_ms: int) -> None:
        self.name = name
        self.request = request
        self.end_ms = end_ms
        length = len(request.prompt) + request.max_tokens
        self.tokens = EntryStream(request.prompt, length)
        self.chain: Chain | None = None
        self.excluded: set[str] = set()
        self.output: queue.Queue = queue.Queue()
        self.on_end: Callable[[], None] = _nothing


def _nothing() -> None:
    """Does nothing."""


class EntryStreams:
    """Every stream of this entry.

    Args:
        own: Reference by which sides reach this entry.
        network: Where messages are sent.
        directory: What is known of the engines.
        chooser: Chooses chains.
        clock: Source of time.
        metrics: Where attempts are counted.
        data_centre: Where this entry runs.
        attempts: Attempts for one request, the first included.
        latencies: Latencies between data centres.
        suspects: What is known of requests that crash engines.
    """

    def __init__(
        self,
        own: wire.StageRef,
        network: PeerNetwork,
        directory: Directory,
        chooser: ChainChooser,
        clock: Clock,
        metrics: Metrics,
        data_centre: str,
        attempts: int,
        latencies: LatencyTable,
        suspects: SuspectClient,
    ) -> None:
        self.attempts = attempts
        self._data_centre = data_centre
        self._own = own
        self._network = network
        self._directory = directory
        self._chooser = chooser
        self._clock = clock
        self._metrics = metrics
        self._latencies = latencies
        self._suspects = suspects
        self._streams: dict[str, RunningStream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def start(self, request: StreamRequest) -> RunningStream | Refused:
        """Opens a stream, or refuses it because no chain is there."""
        name = secrets.token_hex(_STREAM_BYTES)
        end_ms = self._clock.now_ms() + request.deadline_ms
        stream = RunningStream(name, request, end_ms)
        refused = self._attempt(stream)
        if refused is not None:
            return refused
        self._streams[name] = stream
        return stream

    def end(self, stream: RunningStream) -> None:
        """Ends a stream at every stage; ending it twice does nothing."""
        if self._streams.pop(stream.name, None) is None:
            return
        stream.on_end()
        self._cancel(stream, stream.chain)
        self._directory.add_streams(stream.chain.instances, -1)

    def on_token(self, token: wire.Token) -> None:
        """Takes a token from a last stage, or sent again by a first."""
        stream = self._streams.get(token.stream)
        if stream is None:
            return
        released = stream.tokens.on_token(token.position, token.token)
        if released:
            stream.output.put(released)
            length = token.position + 1
            self._suspects.on_progress(stream.request.fingerprint, length)
        if stream.tokens.complete:
            stream.output.put(None)
            self.end(stream)
        elif stream.output.qsize() > stream.request.unread_tokens:
            self._give_up(stream, _UNREAD)

    def on_refusal(self, refusal: wire.StageRefusal) -> None:
        """Takes a stage's refusal; an older attempt's is dropped."""
        stream = self._streams.get(refusal.stream)
        if stream is None or refusal.attempt != stream.tokens.attempt:
            return
        self._metrics.count("stage_refusals", reason=refusal.reason)
        stream.excluded.add(refusal.instance)
        self._recover(stream)

    def on_peer_lost(self, instance: str) -> None:
        """Recovers every stream that had a stage there."""
        for stream in list(self._streams.values()):
            if instance in stream.chain.instances:
                stream.excluded.add(instance)
                self._recover(stream)

    def _recover(self, stream: RunningStream) -> None:
        before = stream.chain
        refused = self._attempt(stream)
        if refused is not None:
            self._give_up(stream, refused)
            return
        self._metrics.count("streams_recovered")
        left = set(before.instances) - set(stream.chain.instances)
        self._cancel(stream, before, left)

    def _attempt(self, stream: RunningStream) -> Refused | None:
        ran = Ran.UNKNOWN if stream.tokens.attempt else Ran.NO
        quarantined = self._suspects.refusal(stream.request.fingerprint, ran)
        if quarantined is not None:
            return quarantined
        if stream.tokens.attempt >= self.attempts:
            return Refused(
                RefusalType.BACKEND_FAILED,
                f"{self.attempts} attempts failed",
                Ran.UNKNOWN,
                _RETRY_AFTER_MS,
            )
        chain = self._choose(stream)
        if chain is None:
            ran = Ran.UNKNOWN if stream.tokens.attempt else Ran.NO
            return Refused(
                RefusalType.NO_CAPACITY,
                "no chain of engines covers every layer",
                ran,
                _RETRY_AFTER_MS,
            )
        late = self._refuse_late(stream, chain)
        if late is not None:
            return late
        if stream.chain is not None:
            self._directory.add_streams(stream.chain.instances, -1)
        stream.chain = chain
        self._directory.add_streams(chain.instances, 1)
        self._open(stream)
        return None

    def _refuse_late(
        self, stream: RunningStream, chain: Chain
    ) -> Refused | None:
        """Refuses a new request whose deadline can't be met."""
        request = stream.request
        views = self._directory.views(chain)
        if stream.tokens.attempt or len(views) < len(chain.stages):
            return None
        late = check_deadline(
            views,
            self._latencies,
            len(request.prompt),
            request.max_tokens,
            request.deadline_ms,
        )
        if late is None:
            return None
        return Refused(
            RefusalType.DEADLINE_EXCEEDED,
            "the deadline can't be met at the present load",
            Ran.NO,
            late.retry_after_ms,
        )

    def _choose(self, stream: RunningStream) -> Chain | None:
        """Chooses a chain, first one that keeps the stages still alive."""
        request = stream.request
        engines = self._directory.engines(request.model)
        if stream.chain is not None:
            kept = self._replace_stages(stream, engines)
            if kept is not None:
                return kept
        return self._chooser.choose(
            engines,
            request.layers,
            self._data_centre,
            stream.excluded,
            request.prompt,
        )

    def _replace_stages(self, stream, engines) -> Chain | None:
        """Returns the chain with only its excluded stages replaced.

        The stages that live on keep their caches and journals, so that no
        layer that still lives is run twice for a position.
        """
        stages = []
        for stage in stream.chain.stages:
            if stage.instance not in stream.excluded:
                stages.append(stage)
                continue
            candidates = [
                engine
                for engine in engines
                if not engine.leaving
                and engine.instance not in stream.excluded
                and engine.instance not in stream.chain.instances
                and engine.first_layer <= stage.first_layer
                and engine.end_layer >= stage.end_layer
            ]
            if not candidates:
                return None
            best = min(
                candidates,
                key=lambda e: (e.waiting + e.own_streams) / e.tokens_per_s,
            )
            stages.append(
                attrs.evolve(
                    stage,
                    instance=best.instance,
                    host=best.host,
                    port=best.port,
                )
            )
        return Chain(tuple(stages))

    def _open(self, stream: RunningStream) -> None:
        attempt = stream.tokens.begin_attempt()
        request = stream.request
        tokens = stream.tokens.tokens
        chain = [
            wire.StageRef(
                s.instance, s.host, s.port, s.first_layer, s.end_layer
            )
            for s in stream.chain.stages
        ]
        if attempt > 1:
            log_state("stream.attempt", stream=stream.name, attempt=attempt)
        message = wire.OpenStream(
            stream=stream.name,
            attempt=attempt,
            client_account=request.client_account,
            model=request.model,
            chain=chain,
            stage=0,
            tokens=tokens,
            prompt_length=len(request.prompt),
            known_length=len(tokens),
            max_length=stream.tokens.max_length,
            deadline_ms=max(1, stream.end_ms - self._clock.now_ms()),
            seed=request.seed,
            entry=self._own,
            weight=request.weight,
            fingerprint=request.fingerprint,
            alone_until=self._suspects.alone_until(request.fingerprint),
        )
        self._network.send(_address(stream.chain, 0), message)

    def _give_up(self, stream: RunningStream, refused: Refused) -> None:
        self._metrics.count("streams_given_up", reason=refused.type)
        stream.output.put(refused)
        self.end(stream)

    def _cancel(
        self,
        stream: RunningStream,
        chain: Chain,
        only: set[str] | None = None,
    ) -> None:
        message = wire.Cancel(stream.name, stream.tokens.attempt)
        for index, stage in enumerate(chain.stages):
            if only is not None and stage.instance not in only:
                continue
            if self._network.is_connected(stage.instance):
                self._network.send(_address(chain, index), message)


def _address(chain: Chain, index: int) -> PeerAddress:
    stage = chain.stages[index]
    return PeerAddress(stage.instance, stage.host, stage.port)
