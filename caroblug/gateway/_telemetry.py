"""Counters, gauges and latency histograms of a gateway.

They are kept as plain numbers and HDR histograms, and turned into Prometheus
text by prometheus_client when somebody asks. The library is imported at that
moment: it would add a third to the time from a start to the first request.
"""

import collections

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 2
_US_PER_MS = 1000
_QUANTILES = (50.0, 95.0, 99.0, 100.0)

Labels = tuple[tuple[str, str], ...]


class Telemetry:
    """Numbers by name and labels."""

    def __init__(self) -> None:
        self._counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to the counter `caroblug_<name>_total`."""
        self._counters[(name, tuple(labels.items()))] += amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets the gauge `caroblug_<name>`."""
        self._gauges[(name, tuple(labels.items()))] = value

    def record_ms(self, name: str, ms: float, **labels: str) -> None:
        """Records a latency under `caroblug_<name>_ms`."""
        key = (name, tuple(labels.items()))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
            self._histograms[key] = histogram
        us = min(max(int(ms * _US_PER_MS), _LOWEST_US), _HIGHEST_US)
        histogram.record_value(us)

    def value(self, name: str, **labels: str) -> int:
        """Returns a counter's value."""
        return self._counters[(name, tuple(labels.items()))]

    def collect(self):
        """Yields metric families, as prometheus_client wants them."""
        from prometheus_client import core

        families = {}
        for (name, labels), value in self._counters.items():
            family = families.setdefault(
                name, core.CounterMetricFamily(f"caroblug_{name}", name)
            )
            family.add_sample(f"caroblug_{name}_total", dict(labels), value)
        for (name, labels), value in self._gauges.items():
            family = families.setdefault(
                name, core.GaugeMetricFamily(f"caroblug_{name}", name)
            )
            family.add_sample(f"caroblug_{name}", dict(labels), value)
        for (name, labels), histogram in self._histograms.items():
            full = f"caroblug_{name}_ms"
            family = families.setdefault(
                full, core.SummaryMetricFamily(full, name)
            )
            for quantile in _QUANTILES:
                ms = histogram.get_value_at_percentile(quantile) / _US_PER_MS
                at = {**dict(labels), "quantile": f"{quantile / 100:g}"}
                family.add_sample(full, at, ms)
            total = histogram.get_total_count()
            family.add_sample(f"{full}_count", dict(labels), total)
        yield from families.values()

    def expose(self) -> bytes:
        """Returns everything as Prometheus text."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def describe(self) -> list:
        """Tells the registry nothing: names come and go with their use."""
        return []
