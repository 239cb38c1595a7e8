"""Fleets of engines on mixed accelerators, for tests."""

from caroblug.core.placement import (
    Engine,
    EngineKind,
    LayerRange,
    ModelShape,
)

BIG = EngineKind("big", 36000.0, 3.1, 3.2)
MIDDLE = EngineKind("middle", 21600.0, 16.0, 8.2)
SMALL = EngineKind("small", 14400.0, 15.0, 15.0)

MODEL = ModelShape(
    layers=80,
    layer_mb=1750.0,
    kv_mb=0.01065,
    step_ms=0.85,
    mean_request_tokens=917,
    kinds={kind.name: kind for kind in (BIG, MIDDLE, SMALL)},
    load_s=14.0,
)

DATA_CENTRES = {
    "a": (2, 5, 8),
    "b": (1, 7, 5),
    "c": (2, 3, 5),
}
"""Number of big, middle and small engines by data centre.

With KV cache reserved for 40 requests per chain, the 38 engines have memory for
4.2 copies of the model.
"""


def make_engine(
    name: str,
    kind: EngineKind = MIDDLE,
    data_centre: str = "a",
    first: int = 0,
    end: int = 0,
    loading: bool = False,
) -> Engine:
    """Returns an engine that holds the layers from `first` up to `end`."""
    number = sum(map(ord, name)) % 60000
    return Engine(
        name,
        ("10.0.0.1", number),
        data_centre,
        kind,
        LayerRange(first, end),
        loading,
    )


def make_fleet() -> list[Engine]:
    """Returns the engines of three data centres, none of which holds layers."""
    engines = []
    for data_centre, counts in DATA_CENTRES.items():
        for kind, count in zip((BIG, MIDDLE, SMALL), counts, strict=True):
            engines.extend(
                make_engine(f"{data_centre}-{kind.name}-{i}", kind, data_centre)
                for i in range(count)
            )
    return engines


def apply_moves(engines: list[Engine], moves) -> list[Engine]:
    """Returns the engines after moves have been carried out."""
    targets = {move.engine.name: move.target for move in moves}
    return [
        make_engine(
            e.name,
            e.kind,
            e.data_centre,
            targets.get(e.name, e.holds).first,
            targets.get(e.name, e.holds).end,
        )
        for e in engines
    ]
