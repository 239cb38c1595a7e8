"""Command line of `caroblug-explain`."""

import argparse
import datetime
import fileinput
import json
import sys

import attrs

from caroblug.explain._lines import LogLine, read_lines
from caroblug.explain._losses import Loss, group_losses
from caroblug.explain._timelines import Belief, states_at, trace_request

_EXIT_NOT_FOUND = 1


def main(arguments: list[str] | None = None) -> int:
    """Runs the program and returns its exit code.

    Args:
        arguments: Command-line arguments; those of the process if None.
    """
    options = _make_parser().parse_args(arguments)
    with fileinput.input(options.files, encoding="utf-8") as files:
        lines = list(read_lines(files))
    if options.command == "request":
        return _print_request(lines, options.id, options.json)
    if options.command == "losses":
        return _print_losses(lines, options.json)
    return _print_states(lines, options.time, options.json)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        "caroblug-explain",
        description="Explains from instances' log lines what happened.",
    )
    parser.add_argument("--json", action="store_true", help="as JSON")
    commands = parser.add_subparsers(dest="command", required=True)
    request = commands.add_parser(
        "request", help="the timeline of one request, in order of time"
    )
    request.add_argument("id", help="the request's id")
    moment = commands.add_parser(
        "moment", help="the state of each instance at a point in time"
    )
    moment.add_argument(
        "time", type=float, help="seconds since 1970, as `timestamp` in lines"
    )
    losses = commands.add_parser(
        "losses", help="late, refused and failed requests by their cause"
    )
    for command in (request, moment, losses):
        command.add_argument(
            "files", nargs="*", help="log files; standard input if none"
        )
    return parser


def _print_request(lines: list[LogLine], request: str, as_json: bool) -> int:
    timeline = trace_request(lines, request)
    if not timeline:
        print(f"no log line contains request {request}", file=sys.stderr)
        return _EXIT_NOT_FOUND
    if as_json:
        print(json.dumps([attrs.asdict(line) for line in timeline]))
        return 0
    for line in timeline:
        text = " ".join(
            f"{key}={value}"
            for key, value in line.fields.items()
            if key != "request"
        )
        print(f"{_format_time(line.at_s)} {line.instance} {line.kind} {text}")
    return 0


def _print_states(lines: list[LogLine], at_s: float, as_json: bool) -> int:
    beliefs = states_at(lines, at_s)
    if not beliefs:
        print(f"no log line at or before {at_s}", file=sys.stderr)
        return _EXIT_NOT_FOUND
    if as_json:
        table = {name: attrs.asdict(b) for name, b in beliefs.items()}
        print(json.dumps(table))
        return 0
    for name in sorted(beliefs):
        _print_state(beliefs[name])
    return 0


def _print_losses(lines: list[LogLine], as_json: bool) -> int:
    losses = group_losses(lines)
    if as_json:
        print(json.dumps([attrs.asdict(loss) for loss in losses]))
        return 0
    for loss in losses:
        _print_loss(loss)
    return 0


def _print_loss(loss: Loss) -> None:
    print(f"{loss.requests:6} {loss.outcome}: {loss.cause}")
    span = f"{_format_time(loss.first_s)} to {_format_time(loss.last_s)}"
    print(f"       from {span}")
    if loss.pauses is not None:
        pauses = loss.pauses
        print(
            f"       longest pause, ms: p50={pauses.p50} p95={pauses.p95} "
            f"max={pauses.max}"
        )
    for name, counts in (
        ("engines", loss.engines),
        ("instances", loss.instances),
        ("seconds", loss.seconds),
    ):
        text = " ".join(f"{key}={value}" for key, value in counts.items())
        if text:
            print(f"       {name}: {text}")


def _print_state(belief: Belief) -> None:
    print(belief.instance)
    for name, value in belief.values.items():
        print(f"  {name}: {value}")
    for name, reason in belief.lost.items():
        print(f"  lost {name}: {reason}")
    for name, reason in belief.avoided.items():
        print(f"  avoids {name}: {reason}")


def _format_time(at_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]
