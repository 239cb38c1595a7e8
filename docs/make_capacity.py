"""Generates the table of docs/CAPACITY.md from the benchmarks' results.

The last line of each benchmark is stored as docs/measurements/NAME.json. A
row without a measurement is marked as not measured; no value is entered by
hand.
"""

import json
import pathlib
from collections.abc import Callable

import attrs

_DOCS = pathlib.Path(__file__).parent
_PAGE = _DOCS / "CAPACITY.md"
_BEGIN = "<!-- table: made by docs/make_capacity.py -->"
_END = "<!-- end of table -->"
_US_PER_S = 1e6

NODES = 400
ENGINES = 780
TOKENS_PER_S = 2_500_000
REQUESTS_PER_S = 6_200
BETWEEN_TOKENS_S = 0.058
ACCOUNTS = 18_000
CHANGES_PER_DAY = 470
DATA_CENTRES = 11
STAGES = 4
SUBSET = 128
BOOKING_SHARE = 0.05
DAY_S = 86_400
TOKENS_PER_NODE = TOKENS_PER_S / NODES
STREAMS_PER_NODE = TOKENS_PER_S * BETWEEN_TOKENS_S / NODES
STEPS_PER_ENGINE = TOKENS_PER_S * STAGES / ENGINES
ENTRIES_PER_SIDE = NODES * SUBSET / ENGINES

Figures = dict[str, dict[str, float]]


@attrs.frozen
class Row:
    """One row of the table.

    Attributes:
        role: Role of the process that bears the cost.
        what: The computed quantity, with its unit.
        mechanism: Mechanism that causes or bounds the cost.
        benchmark: Name of the measurement; empty if none is needed.
        value: Function that computes the quantity from the figures of that
            measurement.
        limit: Maximum value; 0 if there is none.
        note: How the quantity is computed.
    """

    role: str
    what: str
    mechanism: str
    benchmark: str
    value: Callable[[dict[str, float]], float]
    limit: float
    note: str


ROWS = (
    Row(
        "entry",
        "relaying, share of a core",
        "one release per position",
        "relay",
        lambda f: f["entry_us_per_token"] * TOKENS_PER_NODE / _US_PER_S,
        0,
        f"entry_us_per_token x {TOKENS_PER_NODE:.0f} tokens/s",
    ),
    Row(
        "entry",
        "open streams",
        "bounded by the setting `streams`",
        "",
        lambda f: STREAMS_PER_NODE,
        2000,
        "tokens/s x time between tokens / nodes",
    ),
    Row(
        "entry",
        "control: hearing engines' reports, share of a core",
        "subsets, spaced load reports",
        "relay",
        lambda f: (
            max(0.0, f["slope_entry_us_per_s_per_engine"]) * SUBSET / _US_PER_S
        ),
        0.017,
        f"slope_entry_us_per_s_per_engine x {SUBSET} engines",
    ),
    Row(
        "side",
        "relaying, share of a core",
        "full frames between stages",
        "relay",
        lambda f: f["side_us_per_step"] * STEPS_PER_ENGINE / _US_PER_S,
        1,
        f"side_us_per_step x {STEPS_PER_ENGINE:.0f} steps/s, {STAGES} stages",
    ),
    Row(
        "side",
        "control when idle, share of a core",
        "reports, heartbeats, watch of the engine",
        "relay",
        lambda f: f["idle_side_us_per_s"] / _US_PER_S,
        0.017,
        "idle_side_us_per_s, with one entry connected",
    ),
    Row(
        "side",
        "load reports, bytes/s",
        "budget `report_bytes_per_s`",
        "",
        lambda f: min(2000.0, ENTRIES_PER_SIDE * 110 / 0.2),
        4000,
        f"{ENTRIES_PER_SIDE:.0f} entries, capped by the budget",
    ),
    Row(
        "every instance",
        "bundle spread, ms to the last of 200",
        "readers by rank, neighbours, fetch before the next decision",
        "bundle_spread",
        lambda f: f["p100_ms_200"],
        7000,
        "p100_ms_200; 1,180 instances are not measured",
    ),
    Row(
        "every instance",
        "bundles, bytes/s",
        "changed sections only",
        "bundle_spread",
        lambda f: f["bytes_per_node"] * CHANGES_PER_DAY / DAY_S,
        4000,
        f"bytes_per_node x {CHANGES_PER_DAY} changes a day",
    ),
    Row(
        "every instance",
        "bundles at rest, bytes/s",
        "adverts to neighbours, the instance list",
        "bundle_spread",
        lambda f: f["idle_bytes_per_s"],
        4000,
        "idle_bytes_per_s",
    ),
    Row(
        "home instance",
        "shares, bytes/s",
        "demands and grants of active accounts",
        "accounts",
        lambda f: f["bytes_per_node_s_18000_accounts_400_nodes"],
        4000,
        "bytes_per_node_s_18000_accounts_400_nodes",
    ),
    Row(
        "entry",
        "accounts, MB",
        "only accounts in use are kept",
        "accounts",
        lambda f: f["memory_bytes_per_account"] * ACCOUNTS / 1e6,
        64,
        f"memory_bytes_per_account x {ACCOUNTS}",
    ),
    Row(
        "home instance",
        "shares, share of a core",
        "demands and grants of active accounts",
        "accounts",
        lambda f: f["core_share_18000_accounts_400_nodes"],
        0.017,
        "core_share_18000_accounts_400_nodes",
    ),
    Row(
        "every instance",
        "bundles at rest, share of a core",
        "adverts to neighbours",
        "bundle_spread",
        lambda f: f["idle_us_per_s"] / _US_PER_S,
        0.017,
        "idle_us_per_s of 200 followers",
    ),
    Row(
        "log service",
        "appends/s for calls that may not be repeated",
        "group commit by the owner of a key",
        "once",
        lambda f: f["appends_per_s"],
        300,
        "appends_per_s at 100 calls at once on 2 owners, not scaled",
    ),
)


def load_figures() -> Figures:
    """Returns the figures of every stored measurement by benchmark."""
    figures = {}
    for path in sorted((_DOCS / "measurements").glob("*.json")):
        body = json.loads(path.read_text())
        figures[path.stem] = body["figures"]
    return figures


def make_table() -> str:
    """Returns the table as Markdown."""
    figures = load_figures()
    lines = [
        "| role | what | value | limit | mechanism | worked out from |",
        "|---|---|---|---|---|---|",
    ]
    for row in ROWS:
        value = _evaluate(row, figures)
        limit = f"{row.limit:g}" if row.limit else ""
        over = isinstance(value, float) and row.limit and value > row.limit
        text = value if isinstance(value, str) else f"{value:.4g}"
        if over:
            text = f"**{text} (over)**"
        lines.append(
            f"| {row.role} | {row.what} | {text} | {limit} "
            f"| {row.mechanism} | {row.note} |"
        )
    return "\n".join(lines)


def _evaluate(row: Row, figures: Figures) -> float | str:
    if not row.benchmark:
        return float(row.value({}))
    if row.benchmark not in figures:
        return "not measured"
    try:
        return float(row.value(figures[row.benchmark]))
    except KeyError as missing:
        return f"not measured ({missing.args[0]})"


def make_page(text: str) -> str:
    """Returns the page's text with a regenerated table.

    Args:
        text: The page with the markers of the table.
    """
    head, _, rest = text.partition(_BEGIN)
    _, _, tail = rest.partition(_END)
    return f"{head}{_BEGIN}\n{make_table()}\n{_END}{tail}"


if __name__ == "__main__":
    _PAGE.write_text(make_page(_PAGE.read_text()))
