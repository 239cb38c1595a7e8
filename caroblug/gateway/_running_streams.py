"""Streams that run, by the engines on their paths."""

import abc

import attrs
import gevent

from caroblug.core.placement import Engine, Path
from caroblug.gateway._context import Context


class RunningStream(abc.ABC):
    """A stream between the first byte to its first engine and its end."""

    @property
    @abc.abstractmethod
    def path(self) -> Path:
        """The path that it runs over."""

    @property
    @abc.abstractmethod
    def event_ms(self) -> int:
        """When its newest event came, or its first one was due."""

    @property
    @abc.abstractmethod
    def gap_ms(self) -> float:
        """Mean time between its latest events; 0 before it is known."""

    @abc.abstractmethod
    def on_engine_lost(self, name: str, ended: bool) -> None:
        """Goes on without an engine of its path.

        Args:
            name: The engine.
            ended: Whether its process has ended for certain.
        """


@attrs.define
class EngineUse:
    """The running streams over one engine.

    Attributes:
        engine: The engine.
        streams: How many there are.
        event_ms: When the newest event of any of them came.
        gap_ms: Shortest mean time between events of any of them; 0 if none
            is known.
    """

    engine: Engine
    streams: int = 0
    event_ms: int = 0
    gap_ms: float = 0.0


class RunningStreams:
    """The running streams of one gateway.

    Args:
        context: What the gateway's parts share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._streams: set[RunningStream] = set()

    def add(self, stream: RunningStream) -> None:
        """Adds a stream that begins to run."""
        self._streams.add(stream)

    def remove(self, stream: RunningStream) -> None:
        """Takes off a stream whose run has ended."""
        self._streams.discard(stream)

    def uses(self) -> list[EngineUse]:
        """Returns the engines in use."""
        uses: dict[str, EngineUse] = {}
        for stream in self._streams:
            event_ms = stream.event_ms
            gap_ms = stream.gap_ms
            for part in stream.path.parts:
                name = part.engine.name
                use = uses.get(name)
                if use is None:
                    use = uses[name] = EngineUse(part.engine)
                use.streams += 1
                use.event_ms = max(use.event_ms, event_ms)
                if gap_ms and (not use.gap_ms or gap_ms < use.gap_ms):
                    use.gap_ms = gap_ms
        return list(uses.values())

    def on_engine_lost(self, engine: Engine, ended: bool) -> None:
        """Lets all streams over an engine go on without it.

        Args:
            engine: The engine.
            ended: Whether its process has ended for certain: what it held is
                lost, while one that is cut off may come back whole.
        """
        context = self._context
        now_ms = context.clock.now_ms()
        if ended:
            context.fleet.on_ended(engine.name)
        for_ms = context.fleet.eject(engine.name, now_ms)
        hit = [s for s in self._streams if engine.name in s.path.names]
        context.telemetry.count("engines_lost", ended=str(ended).lower())
        context.log.write(
            "backend_server.avoided",
            backend_server=engine.name,
            reason="process ended" if ended else "takes no connection",
            for_ms=for_ms,
            streams=len(hit),
        )
        for stream in hit:
            gevent.spawn(stream.on_engine_lost, engine.name, ended)
