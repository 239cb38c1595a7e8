"""Engines as routing sees them, and the chains that it returns."""

import attrs


@attrs.frozen
class Stage:
    """One stage of a chain.

    Attributes:
        instance: Name of the side process that runs the stage.
        host: IP address of the side process.
        port: Port for caroblug's own processes.
        first_layer: First layer to run.
        end_layer: One past the last layer to run.
    """

    instance: str
    host: str
    port: int
    first_layer: int
    end_layer: int


@attrs.frozen
class Chain:
    """Stages that together run every layer of a model once, in order.

    Attributes:
        stages: At least one stage; each starts at the end of the previous
            one.
    """

    stages: tuple[Stage, ...]

    def __attrs_post_init__(self) -> None:
        layer = 0
        for stage in self.stages:
            if stage.first_layer != layer or stage.end_layer <= layer:
                raise AssertionError(f"chain skips or repeats layer {layer}")
            layer = stage.end_layer

    @property
    def instances(self) -> tuple[str, ...]:
        """Names of the side processes, in order."""
        return tuple(stage.instance for stage in self.stages)


@attrs.define
class EngineView:
    """One entry's view of an engine, based on the last load report.

    Attributes:
        instance: Name of the engine's side process.
        host: IP address of the side process.
        port: Port for caroblug's own processes.
        data_centre: Data centre in which the engine runs.
        model: Name of the model that it serves.
        first_layer: First layer that it holds.
        end_layer: One past the last layer that it holds.
        tokens_per_s: Its capacity over the layers that it holds.
        waiting: Steps waiting at the side process, as last reported.
        running: Steps in the engine, as last reported.
        leaving: Whether it is draining and takes no new streams.
        own_streams: Number of streams that this entry has open there.
        streams: Number of open streams of all entries, as last reported.
        backlog: Positions waiting or running there, as last reported.
        own_streams_at_report: Value of `own_streams` when the report
            arrived.
    """

    instance: str
    host: str
    port: int
    data_centre: str
    model: str
    first_layer: int
    end_layer: int
    tokens_per_s: float
    waiting: int = 0
    running: int = 0
    leaving: bool = False
    own_streams: int = 0
    streams: int = 0
    backlog: int = 0
    own_streams_at_report: int = 0

    @property
    def load(self) -> int:
        """Estimated number of open streams.

        The last report is corrected by the streams that this entry has opened
        and closed since. Without the correction, all requests between two
        reports would go to the same least loaded engine.
        """
        return max(self.own_streams, self.streams + self._unreported_streams, 0)

    @property
    def queue(self) -> int:
        """Estimated number of positions ahead of a new stream's position.

        The last report is corrected as in `load`, by one position for each
        stream, because each open stream will have a position there.
        """
        return max(0, self.backlog + self._unreported_streams)

    @property
    def _unreported_streams(self) -> int:
        return self.own_streams - self.own_streams_at_report
