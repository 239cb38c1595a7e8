"""Parses the `/metrics` pages of instances."""

import re

import attrs
from hdrh.histogram import HdrHistogram
from prometheus_client.parser import text_string_to_metric_families

_HDR_LINE = re.compile(
    r"# HDR caroblug_(?P<measure>\w+?)_ms(\{(?P<labels>.*)\})? (?P<data>\S+)"
)
_LABEL = re.compile(r'(\w+)="([^"]*)"')
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3

Counts = dict[int, int]


@attrs.frozen
class Series:
    """Identifies a histogram or counter by name and labels.

    Attributes:
        measure: Name of the latency or counter, without prefix or unit.
        service: Model or plain service.
        group: Group of client accounts.
        outcome: Outcome, for counters.
    """

    measure: str
    service: str = ""
    group: str = ""
    outcome: str = ""


@attrs.frozen
class Page:
    """Metrics of one instance since its start.

    Attributes:
        latencies: Counts by upper bound of the bucket in microseconds.
        counters: Value of each counter.
        accounts: Failed requests by client account, for the accounts with the
            most of them.
    """

    latencies: dict[Series, Counts]
    counters: dict[Series, float]
    accounts: dict[str, float]


def parse_page(text: str) -> Page:
    """Parses a page in the Prometheus text format with `# HDR` lines.

    Args:
        text: The page.

    Returns:
        The parsed page.

    Raises:
        ValueError: If the text is not such a page.
    """
    latencies = {}
    for line in text.splitlines():
        match = _HDR_LINE.fullmatch(line)
        if match:
            series = _parse_series(match["measure"], match["labels"] or "")
            latencies[series] = decode_counts(match["data"])
    counters, accounts = _parse_counters(text)
    return Page(latencies, counters, accounts)


def decode_counts(data: str) -> Counts:
    """Returns the counts by bucket of an encoded histogram.

    Buckets have three significant digits, the precision at which latencies are
    recorded, so that adding and subtracting counts loses nothing.
    """
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
    histogram.decode_and_add(data.encode())
    return {
        item.value_iterated_to: item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
    }


def _parse_series(measure: str, labels: str) -> Series:
    found = dict(_LABEL.findall(labels))
    return Series(
        measure,
        found.get("service", ""),
        found.get("group", ""),
        found.get("outcome", ""),
    )


def _parse_counters(
    text: str,
) -> tuple[dict[Series, float], dict[str, float]]:
    counters: dict[Series, float] = {}
    accounts: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        if family.type != "counter":
            continue
        measure = family.name.removeprefix("caroblug_")
        for sample in family.samples:
            if not sample.name.endswith("_total"):
                continue
            account = sample.labels.get("client_account")
            if account is not None:
                accounts[account] = accounts.get(account, 0) + sample.value
                continue
            series = Series(
                measure,
                sample.labels.get("service", ""),
                sample.labels.get("group", ""),
                sample.labels.get("outcome", ""),
            )
            counters[series] = counters.get(series, 0) + sample.value
    return counters, accounts
