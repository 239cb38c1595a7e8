"""Running streams, grouped by the engines on their paths."""

import abc

import attrs
import gevent

from caroblug.core.placement import Engine, Path
from caroblug.gateway._context import Context


class RunningStream(abc.ABC):
    """A stream whose request has been sent and whose run hasn't ended."""

    @property
    @abc.abstractmethod
    def path(self) -> Path:
        """Path over which the stream runs."""

    @property
    @abc.abstractmethod
    def event_ms(self) -> int:
        """Time of the latest event, or when the first one was due."""

    @property
    def arrived_ms(self) -> int:
        """Time of the latest event that has arrived; 0 if none has."""
        return self.event_ms

    @property
    @abc.abstractmethod
    def gap_ms(self) -> float:
        """Mean time between recent events; 0 until it is known."""

    @abc.abstractmethod
    def on_engine_lost(self, name: str, ended: bool) -> None:
        """Continues the stream without an engine of its path.

        Args:
            name: Name of the engine.
            ended: Whether the engine's process is known to have ended.
        """


@attrs.define
class EngineUse:
    """Use of one engine by the running streams.

    Attributes:
        engine: The engine.
        streams: Number of streams whose path includes the engine.
        event_ms: Time of the latest event of any of these streams, or when the
            first one was due.
        arrived_ms: Time of the latest event that has arrived on any of them; 0
            if none has.
        gap_ms: Shortest mean time between events of these streams; 0 if none
            is known.
    """

    engine: Engine
    streams: int = 0
    event_ms: int = 0
    arrived_ms: int = 0
    gap_ms: float = 0.0


class RunningStreams:
    """The running streams of one gateway.

    Args:
        context: State shared by the gateway's components.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._streams: set[RunningStream] = set()

    def add(self, stream: RunningStream) -> None:
        """Adds a stream whose run begins."""
        self._streams.add(stream)

    def remove(self, stream: RunningStream) -> None:
        """Removes a stream whose run has ended."""
        self._streams.discard(stream)

    def uses(self) -> list[EngineUse]:
        """Returns the use of each engine on any stream's path."""
        uses: dict[str, EngineUse] = {}
        for stream in self._streams:
            event_ms = stream.event_ms
            arrived_ms = stream.arrived_ms
            gap_ms = stream.gap_ms
            for part in stream.path.parts:
                name = part.engine.name
                use = uses.get(name)
                if use is None:
                    use = uses[name] = EngineUse(part.engine)
                use.streams += 1
                use.event_ms = max(use.event_ms, event_ms)
                use.arrived_ms = max(use.arrived_ms, arrived_ms)
                if gap_ms and (not use.gap_ms or gap_ms < use.gap_ms):
                    use.gap_ms = gap_ms
        return list(uses.values())

    def on_engine_lost(self, engine: Engine, ended: bool) -> None:
        """Ejects an engine and continues its streams without it.

        Args:
            engine: The engine.
            ended: Whether its process is known to have ended. It then loses
                what it held, whereas an engine that is only cut off may come
                back intact.
        """
        context = self._context
        now_ms = context.clock.now_ms()
        if ended:
            context.fleet.on_ended(engine.name)
        for_ms = context.fleet.eject(engine.name, now_ms)
        affected = [s for s in self._streams if engine.name in s.path.names]
        context.telemetry.count("engines_lost", ended=str(ended).lower())
        context.log.write(
            "backend_server.avoided",
            backend_server=engine.name,
            reason="process ended" if ended else "takes no connection",
            for_ms=for_ms,
            streams=len(affected),
        )
        for stream in affected:
            gevent.spawn(stream.on_engine_lost, engine.name, ended)
