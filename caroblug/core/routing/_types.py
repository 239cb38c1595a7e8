"""What routing knows of engines, and the chains it answers with."""

import attrs


@attrs.frozen
class Stage:
    """One stage of a chain.

    Attributes:
        instance: Name of the side process that runs it.
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
        stages: At least one stage; each begins where the last one ended.
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
    """What one entry knows of one engine, from the last load report.

    Attributes:
        instance: Name of the engine's side process.
        host: IP address of the side process.
        port: Port for caroblug's own processes.
        data_centre: Where it runs.
        model: The model it serves.
        first_layer: First layer it holds.
        end_layer: One past the last layer it holds.
        tokens_per_s: Its capacity over the layers it holds.
        waiting: Steps waiting at the side process, as last reported.
        running: Steps in the engine, as last reported.
        leaving: Whether it takes no new streams.
        own_streams: Streams that this entry has open there.
        streams: Streams open there, from every entry, as last reported.
        backlog: Positions waiting or running there, as last reported.
        own_streams_at_report: This entry's own streams when the report came.
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
        """Streams open there now: the last report, put right by own ones.

        Guards against a herd: between two reports every request would see
        the same least loaded engine and go there, so what this entry has
        opened and closed since the report is added.
        """
        return max(self.own_streams, self.streams + self._since_report, 0)

    @property
    def queue(self) -> int:
        """Positions that a new stream's position waits for.

        The last report's, put right like `load`: a stream opened since has
        one position there sooner or later.
        """
        return max(0, self.backlog + self._since_report)

    @property
    def _since_report(self) -> int:
        return self.own_streams - self.own_streams_at_report
