"""The streams at one side process: messages in, effects out."""

from collections.abc import Callable, Mapping, Sequence

from caroblug.core import recovery
from caroblug.core.recovery import StageFailure, StageStream
from caroblug.core.state import Sharing
from caroblug.gen.wire import ttypes as wire
from caroblug.side._batch_scheduler import BatchScheduler
from caroblug.side._open_stage import (
    OpenStage,
    address_of,
    has_same_layers,
    make_next_open,
)
from caroblug.transport import (
    EngineItem,
    EngineResult,
    PeerNetwork,
)
from caroblug.utils import Clock, Metrics

_RETRY_AFTER_MS = 200
_DEADLINE_SLACK_MS = 5000
_LEAST_COST = 0.001


class StageStreams:
    """Every stream that runs at this side process.

    Args:
        instance: Name of this instance.
        network: Where messages are sent.
        pump: Where units are run.
        clock: Source of time.
        metrics: Where streams are counted.
        journal_positions: Outputs kept per stream.
        sharing: Returns the weights of prompt and generated tokens.
    """

    def __init__(
        self,
        instance: str,
        network: PeerNetwork,
        pump: BatchScheduler,
        clock: Clock,
        metrics: Metrics,
        journal_positions: int,
        sharing: Callable[[], Sharing],
    ) -> None:
        self._instance = instance
        self._network = network
        self._pump = pump
        self._clock = clock
        self._metrics = metrics
        self._journal_positions = journal_positions
        self._sharing = sharing
        self._streams: dict[str, OpenStage] = {}
        self._by_session: dict[str, str] = {}
        self._positions = 0

    def __len__(self) -> int:
        return len(self._streams)

    @property
    def positions(self) -> int:
        """Positions of all open streams together, those to come included.

        Bounds the memory of queues and journals when this stage is slow: no
        stream can bring more than its `max_length`.
        """
        return self._positions

    def on_open(self, opened: wire.OpenStream, refusal: str = "") -> None:
        """Opens a stream or a newer attempt of it.

        Args:
            opened: The message.
            refusal: A `StageFailure` for which a stream that is not yet
                here is refused; empty to take it.
        """
        known = self._streams.get(opened.stream)
        if known is not None and not has_same_layers(known, opened):
            self._forget(opened.stream)
            known = None
        if known is None:
            if refusal:
                self._refuse(opened, refusal, "takes no new streams")
                return
            known = self._make_entry(opened)
        if opened.attempt <= known.stream.attempt:
            return
        known.opened = opened
        known.end_ms = self._end_ms(opened)
        self._watch(known, known.fed)
        effects = known.stream.open(
            opened.attempt,
            opened.tokens or [],
            opened.known_length,
            opened.prompt_length,
            opened.max_length,
            opened.sends_from or 0,
        )
        self._apply(opened.stream, known, effects)

    def on_step(self, step: wire.Step) -> None:
        """Takes hidden states from the previous stage."""
        known = self._streams.get(step.stream)
        if known is not None:
            effects = known.stream.on_states(
                step.attempt, step.position, step.states
            )
            self._apply(step.stream, known, effects)

    def on_token(self, token: wire.Token) -> None:
        """Takes a token from the last stage."""
        known = self._streams.get(token.stream)
        if known is not None:
            effects = known.stream.on_token(
                token.attempt, token.position, token.token
            )
            self._apply(token.stream, known, effects)

    def on_need(self, need: wire.Need) -> None:
        """Sends states again for the next stage."""
        known = self._streams.get(need.stream)
        if known is not None:
            effects = known.stream.on_need(need.attempt, need.position)
            self._apply(need.stream, known, effects)

    def on_cancel(self, cancel: wire.Cancel) -> None:
        """Ends a stream; an older attempt's cancel does nothing.

        Guards against a cancel that overtakes the open message: it is also
        passed along the chain, behind the open on each connection.
        """
        known = self._streams.get(cancel.stream)
        if known is None or cancel.attempt < known.stream.attempt:
            return
        self._forget(cancel.stream)
        if not known.stream.is_last and not cancel.only_here:
            self._network.send(known.next, cancel)

    def on_results(self, results: Sequence[EngineResult]) -> None:
        """Takes what the engine answered."""
        for result in results:
            name = self._by_session.get(result.session)
            if name is not None:
                self._on_result(name, self._streams[name], result)

    def requests_of(
        self, sessions: Mapping[str, int]
    ) -> list[tuple[wire.OpenStream, int]]:
        """Returns the open messages of sessions, with their positions."""
        return [
            (self._streams[name].opened, position)
            for session, position in sessions.items()
            if (name := self._by_session.get(session)) is not None
        ]

    def on_engine_lost(self, message: str) -> None:
        """Gives up every stream: the engine's caches are gone."""
        for name, known in list(self._streams.items()):
            self._fail(name, known, message)

    def on_peer_lost(self, instance: str) -> None:
        """Tells the entries that a stage is out of reach from here.

        Guards against a link cut between two sides that the entry still
        reaches: only this end notices, and the stream would stop for good.
        A stream whose entry is lost has no caller left and is forgotten.
        The stages behind are told too: a process that was frozen may, awake
        again, have opened an old attempt there before it learns that its
        entry has given it up.
        """
        for name, known in list(self._streams.items()):
            if known.entry.instance == instance:
                self._metrics.count("streams_orphaned")
                self.on_cancel(wire.Cancel(name, known.stream.attempt))
            elif known.watched == instance:
                self._refuse(
                    known.opened,
                    StageFailure.PEER_UNREACHABLE,
                    f"{instance} does not answer",
                    unreachable=instance,
                )

    def hand_on(self) -> None:
        """Asks the entries to run every stream elsewhere.

        The streams run on here until their entry ends them.
        """
        for known in self._streams.values():
            self._refuse(known.opened, StageFailure.HANDED_ON, "leaving")

    def drop_expired(self) -> None:
        """Forgets streams well past their deadline.

        Guards against streams whose entry died: nobody would cancel them.
        """
        now_ms = self._clock.now_ms()
        for name, known in list(self._streams.items()):
            if now_ms > known.end_ms:
                self._metrics.count("streams_expired")
                self._forget(name)

    def _on_result(
        self, name: str, known: OpenStage, result: EngineResult
    ) -> None:
        if result.error:
            self._fail(name, known, result.error)
            return
        if known.stream.is_last:
            effects = known.stream.on_sampled(
                result.position, result.length, result.token
            )
        else:
            effects = known.stream.on_states_run(
                result.position, list(result.states)
            )
        self._apply(name, known, effects)

    def _make_entry(self, opened: wire.OpenStream) -> OpenStage:
        stream = StageStream(
            is_first=opened.stage == 0,
            is_last=opened.stage == len(opened.chain) - 1,
            journal_positions=self._journal_positions,
        )
        session = f"{opened.stream}.{opened.attempt}"
        entry = OpenStage(stream, opened, self._end_ms(opened), session)
        self._streams[opened.stream] = entry
        self._by_session[session] = opened.stream
        self._positions += opened.max_length
        self._metrics.count("streams_opened")
        self._metrics.gauge("streams", len(self._streams))
        return entry

    def _end_ms(self, opened: wire.OpenStream) -> int:
        return self._clock.now_ms() + opened.deadline_ms + _DEADLINE_SLACK_MS

    def _forget(self, name: str) -> None:
        known = self._streams.pop(name)
        self._watch(known, "")
        self._positions -= known.opened.max_length
        del self._by_session[known.session]
        self._metrics.gauge("streams", len(self._streams))
        self._pump.end(known.session)

    def _watch(self, known: OpenStage, instance: str) -> None:
        if known.watched == instance:
            return
        if known.watched:
            self._network.add_in_flight(known.watched, -1)
        if instance:
            self._network.add_in_flight(instance)
        known.watched = instance

    def _fail(self, name: str, known: OpenStage, message: str) -> None:
        self._refuse(known.opened, StageFailure.ENGINE_FAILED, message)
        self._forget(name)

    def _refuse(
        self,
        opened: wire.OpenStream,
        reason: str,
        message: str,
        unreachable: str = "",
    ) -> None:
        self._metrics.count("streams_refused", reason=reason)
        refusal = wire.StageRefusal(
            opened.stream,
            opened.attempt,
            self._instance,
            reason,
            message,
            _RETRY_AFTER_MS,
            unreachable,
        )
        self._network.send(address_of(opened.entry), refusal)

    def _apply(
        self,
        name: str,
        known: OpenStage,
        effects: Sequence[recovery.Effect],
    ) -> None:
        for effect in effects:
            self._apply_one(name, known, effect)

    def _apply_one(
        self, name: str, known: OpenStage, effect: recovery.Effect
    ) -> None:
        attempt = known.stream.attempt
        match effect:
            case recovery.RunUnit():
                self._run(known, effect)
            case recovery.SendStates(position, states):
                step = wire.Step(name, attempt, position, list(states))
                self._network.send(known.next, step)
            case recovery.SendToken(position, token, to_first_stage):
                message = wire.Token(name, attempt, position, token)
                self._network.send(known.entry, message)
                if to_first_stage:
                    self._send_first(known, message)
            case recovery.ForwardOpen():
                message = make_next_open(known.opened, effect)
                self._network.send(known.next, message)
            case recovery.SendNeed(position):
                need = wire.Need(name, attempt, position)
                self._network.send(known.previous, need)
            case recovery.FailStream(reason, message):
                self._refuse(known.opened, reason, message)

    def _send_first(self, known: OpenStage, message: wire.Token) -> None:
        if known.stream.is_first:
            self.on_token(message)
        else:
            self._network.send(known.first, message)

    def _run(self, known: OpenStage, effect: recovery.RunUnit) -> None:
        item = EngineItem(
            known.session,
            known.stage.first_layer,
            known.stage.end_layer,
            effect.position,
            effect.inputs,
            known.opened.seed,
        )
        opened = known.opened
        self._pump.submit(
            opened.client_account,
            item,
            self._cost(opened, effect),
            opened.weight,
            known.end_ms - _DEADLINE_SLACK_MS,
            most_weight=opened.account_weight or opened.weight,
            alone=effect.position < (opened.alone_until or 0),
        )

    def _cost(self, opened: wire.OpenStream, effect: recovery.RunUnit) -> float:
        """Returns the weighted tokens of a unit."""
        sharing = self._sharing()
        positions = len(effect.inputs)
        prompt = opened.prompt_length - effect.position
        prompt = min(max(prompt, 0), positions)
        cost = sharing.prompt_weight * prompt
        cost += sharing.generated_weight * (positions - prompt)
        return max(cost, _LEAST_COST)
