"""The commands of `caroblug-bundle`."""

import argparse
import json
import pathlib
import sys
import tomllib

from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

import caroblug
from caroblug.core.state import (
    Applied,
    BundleFold,
    Head,
    decode_record,
    encode_record,
    hash_key,
    make_key,
    make_record,
    parse_bundle,
    sign_record,
    split_sections,
)
from caroblug.core.state._sections import section_hash
from caroblug.node import BUNDLE_STREAM
from caroblug.transport import LogService, LogUnavailable, make_log_service
from caroblug.utils import SettingsRejected

_OK = 0
_FAILED = 1
_USAGE = 2
_PRIVATE_MODE = 0o600


def _keygen(options: argparse.Namespace) -> int:
    key = Ed25519PrivateKey.generate()
    path = pathlib.Path(options.out)
    path.touch(mode=_PRIVATE_MODE, exist_ok=False)
    path.write_text(key.private_bytes_raw().hex() + "\n")
    print(key.public_key().public_bytes_raw().hex())
    return _OK


def _newkey(options: argparse.Namespace) -> int:
    key = make_key(options.client_account)
    print(json.dumps({"key": key, "key_hash": hash_key(key)}))
    return _OK


def _check(options: argparse.Namespace) -> int:
    text = pathlib.Path(options.bundle).read_text()
    parsed = parse_bundle(text, pathlib.Path(options.bundle).name)
    if isinstance(parsed, SettingsRejected):
        for problem in parsed.problems:
            print(problem, file=sys.stderr)
        return _USAGE
    print(f"{options.bundle}: ok")
    return _OK


def _sign(options: argparse.Namespace) -> int:
    """Makes a record on the log's head, or adds a signature to one."""
    if _check(options) != _OK:
        return _USAGE
    private_key = bytes.fromhex(pathlib.Path(options.key).read_text().strip())
    out = pathlib.Path(options.out)
    if out.exists():
        record = decode_record(out.read_bytes())
        if record is None:
            print(f"{out}: not a bundle record", file=sys.stderr)
            return _USAGE
    else:
        head = _read_head(_log_of(options), options)
        if isinstance(head, LogUnavailable):
            print(f"the log gave no answer: {head.message}", file=sys.stderr)
            return _FAILED
        table = tomllib.loads(pathlib.Path(options.bundle).read_text())
        record = make_record(
            split_sections(table),
            head.version + 1 if head else 1,
            head.digest if head else "",
            [section_hash(s) for s in head.sections.values()] if head else (),
        )
    record = sign_record(record, private_key)
    out.write_bytes(encode_record(record))
    print(f"version {record.version} digest {record.digest}")
    return _OK


def _publish(options: argparse.Namespace) -> int:
    record = decode_record(pathlib.Path(options.record).read_bytes())
    if record is None:
        print(f"{options.record}: not a bundle record", file=sys.stderr)
        return _USAGE
    log = _log_of(options)
    outcome = log.append(BUNDLE_STREAM, encode_record(record))
    if isinstance(outcome, LogUnavailable):
        print(f"the log gave no answer: {outcome.message}", file=sys.stderr)
        return _FAILED
    head = _read_head(log, options)
    if isinstance(head, Head) and head.digest == record.digest:
        print(f"version {record.version} is accepted")
        return _OK
    print("not accepted: another version is the head", file=sys.stderr)
    return _FAILED


def _status(options: argparse.Namespace) -> int:
    head = _read_head(_log_of(options), options)
    if isinstance(head, LogUnavailable):
        print(f"the log gave no answer: {head.message}", file=sys.stderr)
        return _FAILED
    if head is None:
        print("no bundle has been published")
        return _OK
    print(f"version {head.version} digest {head.digest}")
    return _OK


def _log_of(options: argparse.Namespace) -> LogService:
    host, _, port = options.log.rpartition(":")
    return make_log_service(host, int(port))


def _read_head(
    log: LogService, options: argparse.Namespace
) -> Head | LogUnavailable | None:
    fold = BundleFold(options.operator, options.signatures)
    offset = 0
    while True:
        records = log.read(BUNDLE_STREAM, offset)
        if isinstance(records, LogUnavailable):
            return records
        for record in records.records:
            outcome = fold.on_record(record.data)
            if isinstance(outcome, Applied):
                continue
        offset = records.next_offset
        if offset >= records.end_offset:
            return fold.head


def _add_log_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--log", required=True, metavar="HOST:PORT")
    parser.add_argument(
        "--operator",
        action="append",
        required=True,
        metavar="PUBLIC_KEY",
        help="an operator's public key; may be given several times",
    )
    parser.add_argument("--signatures", type=int, default=1)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        "caroblug-bundle", description="Makes and publishes signed bundles."
    )
    parser.add_argument(
        "--version", action="version", version=caroblug.__version__
    )
    commands = parser.add_subparsers(dest="command", required=True)

    keygen = commands.add_parser("keygen", help="make an operator's key")
    keygen.add_argument("--out", required=True, metavar="FILE")
    keygen.set_defaults(run=_keygen)

    newkey = commands.add_parser("newkey", help="make a caller's key")
    newkey.add_argument("--client-account", required=True)
    newkey.set_defaults(run=_newkey)

    check = commands.add_parser("check", help="report every mistake")
    check.add_argument("bundle", metavar="BUNDLE.toml")
    check.set_defaults(run=_check)

    sign = commands.add_parser("sign", help="make or co-sign a record")
    sign.add_argument("bundle", metavar="BUNDLE.toml")
    sign.add_argument("--key", required=True, metavar="FILE")
    sign.add_argument("--out", required=True, metavar="RECORD")
    _add_log_options(sign)
    sign.set_defaults(run=_sign)

    publish = commands.add_parser("publish", help="append a record")
    publish.add_argument("record", metavar="RECORD")
    _add_log_options(publish)
    publish.set_defaults(run=_publish)

    status = commands.add_parser("status", help="show the version in force")
    _add_log_options(status)
    status.set_defaults(run=_status)
    return parser


def run(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    options = _make_parser().parse_args(arguments)
    return options.run(options)
