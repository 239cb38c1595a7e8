"""Commands of `caroblug-bundle`; each returns the exit code."""

import argparse
import json
import pathlib
import sys
from typing import Any

import tomli_w
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from caroblug.bundle import _fleet
from caroblug.bundle._diff import diff_tables, merge_tables
from caroblug.bundle._files import BundleFile
from caroblug.bundle._log import Accepted, BundleLog, Superseded, Unconfirmed
from caroblug.core.state import (
    BundleRecord,
    Rejected,
    check_bundle_table,
    decode_record,
    encode_record,
    hash_key,
    join_sections,
    make_key,
    make_record,
    section_hash,
    sign_record,
    split_sections,
    verified_signers,
)
from caroblug.transport import (
    InstancesUnavailable,
    LogUnavailable,
    make_instance_list,
    make_log_service,
)
from caroblug.utils import MonotonicClock

OK = 0
FAILED = 1
USAGE = 2
_PRIVATE_KEY_MODE = 0o600
_MS_PER_S = 1000


def keygen(options: argparse.Namespace) -> int:
    """Generates an operator's key pair and prints the public key."""
    key = Ed25519PrivateKey.generate()
    path = pathlib.Path(options.out)
    path.touch(mode=_PRIVATE_KEY_MODE, exist_ok=False)
    path.write_text(key.private_bytes_raw().hex() + "\n")
    print(key.public_key().public_bytes_raw().hex())
    return OK


def newkey(options: argparse.Namespace) -> int:
    """Generates a client account's key and prints it with its hash."""
    key = make_key(options.client_account)
    print(json.dumps({"key": key, "key_hash": hash_key(key)}))
    return OK


def check(options: argparse.Namespace) -> int:
    """Prints every problem in a bundle."""
    if _print_problems(options.bundle):
        return USAGE
    print(f"{options.bundle.path}: ok")
    return OK


def diff(options: argparse.Namespace) -> int:
    """Prints what a bundle changes and which callers each change affects."""
    if options.against is not None:
        old = options.against.table
    else:
        log = _open_log(options)
        if log is None:
            return FAILED
        old = join_sections(log.head.sections) if log.head else {}
    changes = diff_tables(old, options.bundle.table)
    for change in changes:
        print(change)
    print(f"{len(changes)} changes")
    return OK


def sign(options: argparse.Namespace) -> int:
    """Creates a signed child of the head, or adds a signature to a record.

    An existing record is signed only if it was made from the same bundle and
    its parent is still the head.
    """
    if _print_problems(options.bundle):
        return USAGE
    log = _open_log(options)
    if log is None:
        return FAILED
    out = pathlib.Path(options.out)
    parent = log.head.digest if log.head else ""
    record = _new_record(options.bundle.table, log)
    if out.exists():
        held = _read_record(out)
        if held is None:
            return USAGE
        if held.manifest != record.manifest:
            return _print_error(
                f"{out}: is not made from {options.bundle.path}"
            )
        if held.parent != parent:
            return _print_error(
                f"{out}: another version was accepted since it was made; "
                "remove it and sign again, or use `rebase`",
                FAILED,
            )
        record = held
    record = sign_record(record, options.key)
    out.write_bytes(encode_record(record))
    signers = len(verified_signers(record, options.operator))
    print(f"version {record.version} digest {record.digest}")
    print(f"{signers} of {options.signatures} signatures")
    return OK


def rebase(options: argparse.Namespace) -> int:
    """Merges a record's changes into the head and writes a bundle file.

    In a conflict the value of the head is kept and the exit code is FAILED.
    """
    log = _open_log(options)
    if log is None:
        return FAILED
    record = options.record.record
    base = log.table(record.parent)
    if base is None or log.head is None:
        return _print_error(
            "the log no longer holds the version that the record is based "
            "on; compare with `diff` and edit the bundle by hand",
            FAILED,
        )
    held = {section_hash(b): b for b in split_sections(base).values()}
    held.update(record.sections)
    if any(key not in held for key in record.manifest.values()):
        return _print_error("the record lacks sections of its parent")
    mine = join_sections({n: held[k] for n, k in record.manifest.items()})
    merged = merge_tables(base, mine, join_sections(log.head.sections))
    pathlib.Path(options.out).write_text(tomli_w.dumps(merged.table))
    for key_path in merged.conflicts:
        print(f"{key_path}: both changed it; version {log.head.version} stays")
    print(f"{options.out}: based on version {log.head.version}")
    return FAILED if merged.conflicts else OK


def publish(options: argparse.Namespace) -> int:
    """Publishes a record and prints the outcome."""
    record = options.record.record
    signers = len(verified_signers(record, options.operator))
    if signers < options.signatures:
        return _print_error(
            f"{options.record.path}: {signers} valid signatures, "
            f"{options.signatures} needed"
        )
    log = _make_log(options)
    outcome = log.publish(record, options.wait_s * _MS_PER_S)
    if isinstance(outcome, Accepted):
        print(f"version {record.version} is accepted")
        return OK
    if isinstance(outcome, Superseded):
        return _print_error(
            f"not accepted: version {outcome.version} digest "
            f"{outcome.digest} won. To rebase:\n"
            f"  caroblug-bundle rebase {options.record.path} "
            "--out REBASED.toml ...\n"
            "then diff, sign and publish REBASED.toml",
            FAILED,
        )
    if isinstance(outcome, Rejected):
        return _print_error(f"not accepted: {outcome.reason}", FAILED)
    return _print_error(_describe_unconfirmed(outcome), FAILED)


def status(options: argparse.Namespace) -> int:
    """Prints the head and each instance's version with its start time."""
    log = _open_log(options)
    if log is None:
        return FAILED
    head = log.head
    if head is None:
        print("no bundle has been published")
    else:
        print(f"version {head.version} digest {head.digest}")
    if options.instances is None:
        return OK
    listed = _make_instance_list(options).fetch()
    if isinstance(listed, InstancesUnavailable):
        return _print_error(
            f"the instance list did not respond: {listed.message}", FAILED
        )
    statuses = _fleet.fetch_statuses(listed)
    for instance in statuses:
        print(_fleet.format_status_line(instance))
    version = head.version if head else 0
    at_head = sum(s.answered and s.version == version for s in statuses)
    print(f"{at_head} of {len(statuses)} instances have version {version}")
    return OK if at_head == len(statuses) else FAILED


def withdraw(options: argparse.Namespace) -> int:
    """Withdraws an instance and waits until it has drained."""
    outcome = _fleet.withdraw(
        _make_instance_list(options),
        options.instance,
        options.wait_s * _MS_PER_S,
        MonotonicClock(),
    )
    if isinstance(outcome, _fleet.Drained):
        print(f"{options.instance} has drained")
        return OK
    if isinstance(outcome, _fleet.NotListed):
        return _print_error(f"{options.instance}: is not on the instance list")
    if isinstance(outcome, _fleet.StillRunning):
        left = (
            "an unknown number of requests"
            if outcome.running < 0
            else "requests"
        )
        count = "" if outcome.running < 0 else f"{outcome.running} "
        return _print_error(
            f"{options.instance} is leaving but still runs {count}{left}",
            FAILED,
        )
    return _print_error(
        f"the instance list did not respond: {outcome.message}", FAILED
    )


def _new_record(table: dict[str, Any], log: BundleLog) -> BundleRecord:
    """Returns an unsigned child of the head.

    The record omits the sections that the head already has. If the log no
    longer holds all sections of its newest bundle, the record contains every
    section, so that all readers can apply it.
    """
    head = log.head
    known = head.bodies() if head and not log.lacks_sections else ()
    return make_record(
        split_sections(table),
        head.version + 1 if head else 1,
        head.digest if head else "",
        known,
    )


def _print_problems(bundle: BundleFile) -> bool:
    problems = check_bundle_table(bundle.table, bundle.path.name)
    for problem in problems:
        print(problem, file=sys.stderr)
    return bool(problems)


def _read_record(path: pathlib.Path) -> BundleRecord | None:
    record = decode_record(path.read_bytes())
    if record is None:
        _print_error(f"{path}: is not a bundle record")
    return record


def _make_log(options: argparse.Namespace) -> BundleLog:
    return BundleLog(
        make_log_service(options.log.host, options.log.port),
        options.operator,
        options.signatures,
        MonotonicClock(),
    )


def _make_instance_list(options: argparse.Namespace) -> Any:
    return make_instance_list(options.instances.host, options.instances.port)


def _open_log(options: argparse.Namespace) -> BundleLog | None:
    """Opens the log and reads it to its end.

    Returns:
        The log; None, after printing an error, if it is unavailable.
    """
    log = _make_log(options)
    failed = log.read()
    if isinstance(failed, LogUnavailable):
        _print_error(f"the log did not respond: {failed.message}")
        return None
    return log


def _describe_unconfirmed(outcome: Unconfirmed) -> str:
    if not outcome.maybe_written:
        return (
            f"the log did not respond: {outcome.message}; nothing was written"
        )
    return (
        f"the log did not respond: {outcome.message}; the record may be in "
        "it. Publish the same record again: it is looked up first"
    )


def _print_error(message: str, code: int = USAGE) -> int:
    print(message, file=sys.stderr)
    return code
