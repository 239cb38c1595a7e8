"""Command line of `caroblug-report`."""

import argparse
import json
import pathlib
import sys
import time

import attrs

import caroblug
from caroblug.core.state import Objective, parse_bundle
from caroblug.report._burn import Burn, compute_burn
from caroblug.report._pages import Page
from caroblug.report._snapshots import (
    Snapshot,
    diff_pages,
    load_snapshots,
    save_snapshot,
)
from caroblug.report._text import to_json, to_text
from caroblug.transport import HttpResponse, JsonHttpClient
from caroblug.utils import SettingsRejected

EXIT_OK = 0
EXIT_BURNING = 1
EXIT_USAGE = 2
_FAST_WINDOW = "fast"
_TIMEOUT_MS = 2000
_STATUS_OK = 200
_DEFAULT_WATCH_S = 30.0


@attrs.frozen
class _ReportFailure:
    """Reason why the report can't be made."""

    message: str


def scrape(addresses: list[str]) -> Snapshot | _ReportFailure:
    """Reads `/metrics` of every address that responds.

    An instance that is down must not hide the burn of the others. It is
    reported on standard error; the call fails only if no instance responds or
    an address is malformed.
    """
    texts = {}
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            return _ReportFailure(f"{address} must be HOST:PORT")
        answer = JsonHttpClient(host, int(port), _TIMEOUT_MS).request(
            "GET", "/metrics"
        )
        if isinstance(answer, HttpResponse) and answer.status == _STATUS_OK:
            texts[address] = answer.body.decode()
        else:
            print(f"{address}: could not read /metrics", file=sys.stderr)
    if not texts:
        return _ReportFailure("could not read the metrics of any instance")
    return Snapshot(time.time(), texts)


def run(arguments: list[str] | None = None) -> int:
    """Writes the report and returns the exit code.

    Args:
        arguments: Command-line arguments; those of the process if None.

    Returns:
        0 if no fast window burns, 1 if one does, 2 if the report can't be made.
    """
    options = _make_parser().parse_args(arguments)
    if not options.instance and not options.snapshots:
        print("give instances or --snapshots", file=sys.stderr)
        return EXIT_USAGE
    objectives = _read_objectives(options.bundle)
    if isinstance(objectives, _ReportFailure):
        return _print_failure(objectives)
    history: list[Snapshot] = []
    while True:
        code = _report_once(options, objectives, history)
        if options.watch is None or code == EXIT_USAGE:
            return code
        sys.stdout.flush()
        time.sleep(options.watch)


def _report_once(
    options: argparse.Namespace,
    objectives: list[Objective],
    history: list[Snapshot],
) -> int:
    snapshots = _collect_snapshots(options, history)
    if isinstance(snapshots, _ReportFailure):
        return _print_failure(snapshots)
    try:
        burns = compute_burn(snapshots, objectives)
        total = diff_pages({}, snapshots[-1].pages())
    except ValueError as error:
        return _print_failure(_ReportFailure(f"invalid metrics page: {error}"))
    _write(options, burns, total)
    burning = any(
        item.burning and item.window.name == _FAST_WINDOW
        for burn in burns
        for item in burn.windows
    )
    return EXIT_BURNING if burning else EXIT_OK


def _collect_snapshots(
    options: argparse.Namespace, history: list[Snapshot]
) -> list[Snapshot] | _ReportFailure:
    if options.instance:
        scraped = scrape(options.instance)
        if isinstance(scraped, _ReportFailure):
            return scraped
        history.append(scraped)
        if options.snapshots:
            save_snapshot(scraped, pathlib.Path(options.snapshots))
    if not options.snapshots:
        return history
    try:
        found = load_snapshots(pathlib.Path(options.snapshots))
    except (OSError, ValueError) as error:
        return _ReportFailure(str(error))
    return found or _ReportFailure(f"{options.snapshots} holds no snapshot")


def _read_objectives(path: str | None) -> list[Objective] | _ReportFailure:
    if path is None:
        return []
    try:
        parsed = parse_bundle(pathlib.Path(path).read_text(), path)
    except OSError as error:
        return _ReportFailure(f"{path}: {error.strerror}")
    if isinstance(parsed, SettingsRejected):
        return _ReportFailure("\n".join(str(p) for p in parsed.problems))
    return parsed.objectives


def _write(options: argparse.Namespace, burns: list[Burn], total: Page) -> None:
    if options.format == "text":
        report = to_text(burns, total.accounts)
    elif options.format == "json":
        report = json.dumps(to_json(burns, total.accounts)) + "\n"
    else:
        # matplotlib is slow to import, and only this format needs the extra.
        from caroblug.report._html import to_html

        report = to_html(burns, total, total.accounts)
    if options.out:
        pathlib.Path(options.out).write_text(report)
    else:
        sys.stdout.write(report)


def _print_failure(failure: _ReportFailure) -> int:
    print(failure.message, file=sys.stderr)
    return EXIT_USAGE


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        "caroblug-report",
        description="Reports the burn of error budgets.",
    )
    parser.add_argument(
        "--version", action="version", version=caroblug.__version__
    )
    parser.add_argument(
        "instance",
        nargs="*",
        metavar="HOST:PORT",
        help="HTTP address of an entry instance",
    )
    parser.add_argument(
        "--bundle",
        metavar="BUNDLE.toml",
        help="bundle that contains the objectives",
    )
    parser.add_argument(
        "--snapshots",
        metavar="FOLDER",
        help="folder of snapshots to read; a new one is added if instances are "
        "given",
    )
    parser.add_argument(
        "--format", choices=("text", "json", "html"), default="text"
    )
    parser.add_argument("--out", metavar="FILE", help="output file")
    parser.add_argument(
        "--watch",
        nargs="?",
        type=float,
        const=_DEFAULT_WATCH_S,
        metavar="SECONDS",
        help="repeat the report at this interval",
    )
    return parser
