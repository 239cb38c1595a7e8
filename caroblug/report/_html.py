"""Formats the report as one HTML file with embedded plots.

Requires the `html` extra, which installs matplotlib and jinja2.
"""

import io
from collections.abc import Mapping, Sequence

import jinja2
import matplotlib
from matplotlib import figure

from caroblug.report._burn import Burn
from caroblug.report._pages import Page
from caroblug.report._text import worst_accounts

matplotlib.rcParams["svg.hashsalt"] = "caroblug"
_US_PER_MS = 1000
_WIDTH_IN = 7.0
_HEIGHT_IN = 2.6

_PAGE = jinja2.Environment(autoescape=True).from_string(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>caroblug: service levels</title>
<style>
body { font: 15px sans-serif; margin: 2em auto; max-width: 52em; }
table { border-collapse: collapse; margin: 0.5em 0 1em; }
td, th { border: 1px solid #bbb; padding: 0.25em 0.7em; text-align: right; }
.burning { background: #f6c6c6; }
</style></head><body>
<h1>Service levels</h1>
{% for burn in burns %}
<h2>{{ burn.objective.service }} / {{ burn.group }}:
{{ burn.objective.measure }} within {{ burn.objective.within_ms }} ms
for {{ "%.3f"|format(burn.objective.share * 100) }} %</h2>
<p>{{ burn.bad|int }} of {{ burn.total|int }} bad,
{{ "%.1f"|format(burn.budget_left * 100) }} % of the budget left.</p>
<table><tr><th>window</th><th>long</th><th>short</th><th>burns from</th></tr>
{% for item in burn.windows %}
<tr{% if item.burning %} class="burning"{% endif %}>
<td>{{ item.window.name }}</td><td>{{ "%.2f"|format(item.long) }}</td>
<td>{{ "%.2f"|format(item.short) }}</td><td>{{ item.window.rate }}</td></tr>
{% endfor %}</table>
{% else %}<p>No objective has any request yet.</p>{% endfor %}
<h2>Latencies</h2>
{% for plot in plots %}{{ plot|safe }}{% endfor %}
<h2>Worst client accounts</h2>
<table><tr><th>account</th><th>bad requests</th></tr>
{% for account, bad in accounts %}
<tr><td>{{ account }}</td><td>{{ bad|int }}</td></tr>{% endfor %}</table>
</body></html>
"""
)


def to_html(
    burns: Sequence[Burn], page: Page, accounts: Mapping[str, float]
) -> str:
    """Returns the report as an HTML page without external references.

    Args:
        burns: Burn of every objective and group.
        page: Sums of the counts of all instances.
        accounts: Failed requests by client account.
    """
    plots = [_plot(measure, page) for measure in _measures(page)]
    return _PAGE.render(
        burns=burns, plots=plots, accounts=worst_accounts(accounts)
    )


def _measures(page: Page) -> list[str]:
    return sorted({series.measure for series in page.latencies})


def _plot(measure: str, page: Page) -> str:
    """Returns an SVG with the cumulative share of requests by latency."""
    drawing = figure.Figure(figsize=(_WIDTH_IN, _HEIGHT_IN))
    axes = drawing.subplots()
    for series, counts in sorted(page.latencies.items(), key=str):
        if series.measure != measure or not counts:
            continue
        values_ms = [us / _US_PER_MS for us in sorted(counts)]
        total = sum(counts.values())
        shares = []
        seen = 0
        for us in sorted(counts):
            seen += counts[us]
            shares.append(seen / total)
        label = f"{series.service} {series.group}".strip() or "all"
        axes.step(values_ms, shares, where="post", label=label)
    axes.set_xscale("log")
    axes.set_xlabel(f"{measure} (ms)")
    axes.set_ylabel("share of requests")
    axes.set_ylim(0, 1.02)
    axes.grid(visible=True, alpha=0.3)
    axes.legend(fontsize="small")
    drawing.tight_layout()
    output = io.StringIO()
    drawing.savefig(output, format="svg", metadata={"Date": None})
    svg = output.getvalue()
    return svg[svg.index("<svg") :]
