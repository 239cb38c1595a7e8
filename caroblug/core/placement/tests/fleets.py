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

A100 = EngineKind("a100", 72000.0, 2.4, 2.4)
L40S = EngineKind("l40s", 43200.0, 5.6, 5.6)
L4 = EngineKind("l4", 21600.0, 16.0, 16.0)
V100 = EngineKind("v100", 14400.0, 5.3, 5.3)

CUSTOMER_MODEL = ModelShape(
    layers=80,
    layer_mb=1750.0,
    kv_mb=0.0098,
    step_ms=0.85,
    mean_request_tokens=991,
    kinds={kind.name: kind for kind in (A100, L40S, L4, V100)},
    load_s=14.0,
)

CUSTOMER_A = {
    "a": ((A100, 1), (L40S, 9), (L4, 7)),
    "b": ((A100, 3), (L40S, 4), (L4, 9)),
    "c": ((A100, 1), (L40S, 5), (L4, 13)),
}
"""Memory for 2.9 to 3.2 copies of the model in each data centre, with KV cache
reserved for `CUSTOMER_A_REQUESTS` requests per chain."""
CUSTOMER_A_REQUESTS = 60

CUSTOMER_B = {
    "a": ((A100, 2), (V100, 9), (L4, 10)),
    "b": ((A100, 1), (V100, 14), (L4, 5)),
    "c": ((A100, 2), (V100, 6), (L4, 7)),
}
"""Memory for 2.1 to 2.8 copies of the model in each data centre, with KV cache
reserved for `CUSTOMER_B_REQUESTS` requests per chain."""
CUSTOMER_B_REQUESTS = 40


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


def make_customer_fleet(
    counts: dict[str, tuple[tuple[EngineKind, int], ...]],
) -> list[Engine]:
    """Returns the engines of a customer, none of which holds layers."""
    return [
        make_engine(f"{data_centre}-{kind.name}-{index}", kind, data_centre)
        for data_centre, kinds in counts.items()
        for kind, count in kinds
        for index in range(count)
    ]


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
