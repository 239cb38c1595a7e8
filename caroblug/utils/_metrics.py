"""Metrics of a process: Prometheus counters and gauges, HDR histograms."""

from collections.abc import Callable

import prometheus_client
from hdrh.histogram import HdrHistogram

from caroblug.utils._top import TopCounter

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_QUANTILES = (50.0, 95.0, 99.0, 100.0)
_US_PER_MS = 1000
_MAX_PENDING_VALUES = 1000
_HDR_PREFIX = "# HDR"
_MAX_ACCOUNTS = 100

Labels = tuple[tuple[str, str], ...]


class _LatencyHistogram:
    """Histogram of latencies with a buffer of values not yet recorded.

    The clock counts whole milliseconds, so that few values differ. Recording
    equal values together costs a tenth of recording each of them. The sum is
    a separate attribute because hdrhistogram computes its mean by iterating
    over every bucket, which was most of the cost of reading `/metrics`.

    Attributes:
        total_ms: Sum of the latencies in the histogram.
    """

    def __init__(self) -> None:
        self.total_ms = 0.0
        self._histogram = HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )
        self._pending: dict[float, int] = {}

    def record_ms(self, ms: float) -> None:
        """Records one latency."""
        pending = self._pending
        pending[ms] = pending.get(ms, 0) + 1
        if len(pending) > _MAX_PENDING_VALUES:
            self.flush()

    def flush(self) -> HdrHistogram:
        """Records all buffered latencies and returns the histogram."""
        for ms, times in self._pending.items():
            us = min(max(int(ms * _US_PER_MS), _LOWEST_US), _HIGHEST_US)
            self._histogram.record_value(us, times)
            self.total_ms += us * times / _US_PER_MS
        self._pending.clear()
        return self._histogram


class Metrics:
    """Counters, gauges and latencies of one process.

    Counters and gauges are created on first use. Later calls must use the same
    label names. Latencies are recorded in milliseconds with a precision of
    three significant digits.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}
        self._children: dict[tuple[str, Labels], object] = {}
        self._latencies: dict[tuple[str, Labels], _LatencyHistogram] = {}
        self._bad_by_account = TopCounter(_MAX_ACCOUNTS)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds `amount` to the counter `caroblug_<name>_total`."""
        key = (name, tuple(labels.items()))
        child = self._children.get(key)
        if child is None:
            child = self._make_counter(name, labels)
            self._children[key] = child
        child.inc(amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets the gauge `caroblug_<name>`."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = prometheus_client.Gauge(
                f"caroblug_{name}", name, list(labels), registry=self._registry
            )
            self._gauges[name] = gauge
        (gauge.labels(**labels) if labels else gauge).set(value)

    def record_ms(self, name: str, ms: float, **labels: str) -> None:
        """Records a latency under `caroblug_<name>_ms`."""
        self.recorder(name, **labels)(ms)

    def recorder(self, name: str, **labels: str) -> Callable[[float], None]:
        """Returns a reusable function that records a latency in ms."""
        key = (name, tuple(labels.items()))
        latency = self._latencies.get(key)
        if latency is None:
            latency = self._latencies[key] = _LatencyHistogram()
        return latency.record_ms

    def count_account_failure(self, client_account: str) -> None:
        """Counts a failed request of a client account.

        Only the accounts with the highest counts are retained: a counter for
        each of 18,000 accounts would make up most of the page.
        """
        self._bad_by_account.add(client_account)

    def value(self, name: str, **labels: str) -> float:
        """Returns the value of a counter; 0 if it does not exist."""
        found = self._registry.get_sample_value(
            f"caroblug_{name}_total", labels
        )
        return found or 0.0

    def expose(self) -> bytes:
        """Returns all metrics in the Prometheus text format.

        Each latency is a summary. A comment line `# HDR` adds the whole
        histogram in microseconds (hdrhistogram's V2 encoding), so that a
        report can merge the histograms of instances without loss.
        """
        text = prometheus_client.generate_latest(self._registry)
        lines = _account_lines(self._bad_by_account.counts)
        typed = set()
        for (name, labels), latency in sorted(self._latencies.items()):
            if name not in typed:
                typed.add(name)
                lines.append(f"# TYPE caroblug_{name}_ms summary")
            lines.extend(_summary_lines(name, labels, latency))
        return text + "".join(f"{line}\n" for line in lines).encode()

    def _make_counter(
        self, name: str, labels: dict[str, str]
    ) -> prometheus_client.Counter:
        counter = self._counters.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                f"caroblug_{name}", name, list(labels), registry=self._registry
            )
            self._counters[name] = counter
        return counter.labels(**labels) if labels else counter


def _account_lines(counts: dict[str, int]) -> list[str]:
    if not counts:
        return []
    lines = ["# TYPE caroblug_account_bad_total counter"]
    for account, count in sorted(counts.items()):
        label = _format_labels((("client_account", account),))
        lines.append(f"caroblug_account_bad_total{label} {count}")
    return lines


def _summary_lines(
    name: str, labels: Labels, latency: _LatencyHistogram
) -> list[str]:
    histogram = latency.flush()
    lines = []
    for quantile in _QUANTILES:
        pairs = (*labels, ("quantile", f"{quantile / 100:g}"))
        ms = histogram.get_value_at_percentile(quantile) / _US_PER_MS
        lines.append(f"caroblug_{name}_ms{_format_labels(pairs)} {ms}")
    total = histogram.get_total_count()
    lines.append(f"caroblug_{name}_ms_count{_format_labels(labels)} {total}")
    lines.append(
        f"caroblug_{name}_ms_sum{_format_labels(labels)} {latency.total_ms}"
    )
    encoded = histogram.encode().decode()
    lines.append(
        f"{_HDR_PREFIX} caroblug_{name}_ms{_format_labels(labels)} {encoded}"
    )
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{key}="{value}"' for key, value in labels)
    return "{" + inner + "}"


def make_metrics() -> Metrics:
    """Returns an empty set of metrics."""
    return Metrics()
