"""JSON form of the tokens in use that gateways report to each other."""

import collections
import math
from collections.abc import Mapping

from caroblug.core.admission import Admission
from caroblug.gateway._peer_members import read_name

_MAX_ACCOUNTS = 16
"""Largest accounts that a message names, of all services together."""

_MAX_TOKENS = 1e9
"""Tokens in use above which a report can't be right."""


def encode_accounts(
    admissions: Mapping[str, Admission], now_ms: int
) -> dict[str, list]:
    """Returns the tokens of the largest accounts as JSON values, by service.

    Nothing is sent about services that are not short of room here.

    Args:
        admissions: Admission control by service.
        now_ms: Current time.
    """
    found = [
        (tokens, service, rank, account)
        for service, admission in admissions.items()
        if admission.shares.is_short_here(now_ms)
        for (rank, account), tokens in admission.shares.largest(
            _MAX_ACCOUNTS
        ).items()
    ]
    encoded = collections.defaultdict(list)
    for tokens, service, rank, account in sorted(found)[-_MAX_ACCOUNTS:]:
        encoded[service].append([rank, account, tokens])
    return dict(encoded)


def apply_accounts(
    admissions: Mapping[str, Admission],
    gateway: str,
    reported: Mapping[str, list],
    now_ms: int,
) -> None:
    """Applies the tokens that another gateway reports.

    Args:
        admissions: Admission control by service.
        gateway: Name of the other gateway.
        reported: Its report. Values that can't be right are ignored.
        now_ms: Current time.

    Raises:
        TypeError: If a field has another type.
        ValueError: If a field has no valid value, or their number is wrong.
    """
    for service, admission in admissions.items():
        used = {}
        for rank, account, tokens in reported.get(service, ())[:_MAX_ACCOUNTS]:
            if math.isfinite(tokens) and 0 <= tokens <= _MAX_TOKENS:
                used[int(rank), read_name(account)] = float(tokens)
        admission.shares.update_peer(gateway, used, now_ms)
