"""Command-line parser of `caroblug-bundle`."""

import argparse
import sys

import caroblug
from caroblug.bundle import _commands as commands
from caroblug.bundle import _files as files

_WAIT_S = 60


def _add_log(parser: argparse.ArgumentParser, required: bool = True) -> None:
    parser.add_argument(
        "--log", required=required, type=files.host_port, metavar="HOST:PORT"
    )
    parser.add_argument(
        "--operator",
        action="append",
        required=required,
        type=files.public_key,
        metavar="PUBLIC_KEY",
        help="public key of an operator; may be given several times",
    )
    parser.add_argument(
        "--signatures",
        type=files.whole_number,
        default=1,
        help="number of operators that must sign; 1 if not given",
    )


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait-s",
        type=files.whole_number,
        default=_WAIT_S,
        help=f"maximum time in seconds; {_WAIT_S} if not given",
    )


def _add_instances(parser: argparse.ArgumentParser, required: bool) -> None:
    parser.add_argument(
        "--instances",
        required=required,
        type=files.host_port,
        metavar="HOST:PORT",
        help="address of the platform's instance list",
    )


def _add_bundle(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("bundle", type=files.bundle_file, metavar="BUNDLE.toml")


def _add_record(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("record", type=files.record_file, metavar="RECORD")


def make_parser() -> argparse.ArgumentParser:
    """Creates the parser; each command sets `run` to its function."""
    parser = argparse.ArgumentParser(
        "caroblug-bundle", description="Creates, signs and publishes bundles."
    )
    parser.add_argument(
        "--version", action="version", version=caroblug.__version__
    )
    group = parser.add_subparsers(dest="command", required=True)

    def _command(name, run, text):
        command = group.add_parser(name, help=text)
        command.set_defaults(run=run)
        return command

    keygen = _command(
        "keygen", commands.keygen, "generate an operator's key pair"
    )
    keygen.add_argument("--out", required=True, metavar="FILE")

    newkey = _command(
        "newkey", commands.newkey, "generate a client account's key"
    )
    newkey.add_argument("--client-account", required=True)

    check = _command(
        "check", commands.check, "report every problem in a bundle"
    )
    _add_bundle(check)

    diff = _command(
        "diff",
        commands.diff,
        "show what a bundle changes and which callers it affects",
    )
    _add_bundle(diff)
    diff.add_argument(
        "--against",
        type=files.bundle_file,
        metavar="OLD.toml",
        help="compare with this bundle instead of the one in force",
    )
    _add_log(diff, required=False)

    sign = _command(
        "sign", commands.sign, "create a record, or add a signature to one"
    )
    _add_bundle(sign)
    sign.add_argument(
        "--key", required=True, type=files.private_key_file, metavar="FILE"
    )
    sign.add_argument("--out", required=True, metavar="RECORD")
    _add_log(sign)

    rebase = _command(
        "rebase",
        commands.rebase,
        "apply a record's changes to the bundle in force",
    )
    _add_record(rebase)
    rebase.add_argument("--out", required=True, metavar="BUNDLE.toml")
    _add_log(rebase)

    publish = _command(
        "publish", commands.publish, "append a record to the log"
    )
    _add_record(publish)
    _add_log(publish)
    _add_wait(publish)

    status = _command(
        "status",
        commands.status,
        "show the bundle in force and each instance's version",
    )
    _add_log(status)
    _add_instances(status, required=False)

    withdraw = _command(
        "withdraw",
        commands.withdraw,
        "withdraw an instance and wait until it has drained",
    )
    withdraw.add_argument("instance", metavar="INSTANCE")
    _add_instances(withdraw, required=True)
    _add_wait(withdraw)
    return parser


def run(arguments: list[str] | None = None) -> int:
    """Runs one command.

    Args:
        arguments: Command-line arguments without the program name; None for
            those of the process.

    Returns:
        The exit code.
    """
    parser = make_parser()
    options = parser.parse_args(arguments)
    from_log = options.command == "diff" and options.against is None
    if from_log and (options.log is None or not options.operator):
        parser.error("give either --against, or --log and --operator")
    try:
        return options.run(options)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return commands.USAGE
