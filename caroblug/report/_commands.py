"""The command line of `caroblug-report`."""

import argparse
import sys

from hdrh.histogram import HdrHistogram

import caroblug
from caroblug.transport._http import HttpFailed, JsonHttp

_HDR_COMMENT = "# HDR "
_US_PER_MS = 1000
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_DIGITS = 3
_TIMEOUT_MS = 2000


def merge_histograms(pages: list[str]) -> dict[str, HdrHistogram]:
    """Returns the latencies of several `/metrics` pages, merged losslessly.

    Args:
        pages: Prometheus text with `# HDR` lines.
    """
    merged: dict[str, HdrHistogram] = {}
    for page in pages:
        for line in page.splitlines():
            if not line.startswith(_HDR_COMMENT):
                continue
            name, _, encoded = line[len(_HDR_COMMENT) :].rpartition(" ")
            total = merged.setdefault(
                name, HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
            )
            total.decode_and_add(encoded.encode())
    return merged


def run(arguments: list[str] | None = None) -> int:
    """Prints what the instances' latencies are, merged."""
    parser = argparse.ArgumentParser(
        "caroblug-report", description="Reports on service levels."
    )
    parser.add_argument(
        "--version", action="version", version=caroblug.__version__
    )
    parser.add_argument("instance", nargs="+", metavar="HOST:PORT")
    options = parser.parse_args(arguments)
    pages = []
    for address in options.instance:
        host, _, port = address.rpartition(":")
        answer = JsonHttp(host, int(port), _TIMEOUT_MS).request(
            "GET", "/metrics"
        )
        if isinstance(answer, HttpFailed):
            print(f"{address}: {answer.message}", file=sys.stderr)
            return 1
        pages.append(answer.body.decode())
    for name, histogram in sorted(merge_histograms(pages).items()):
        p95 = histogram.get_value_at_percentile(95) / _US_PER_MS
        print(f"{name} count {histogram.get_total_count()} p95 {p95:.1f} ms")
    return 0
