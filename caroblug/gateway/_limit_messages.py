"""JSON form of the limits that gateways report to each other."""

from collections.abc import Mapping

from caroblug.core.limits import LimitOwner, LimitReport


def encode_limits(reports: Mapping[str, LimitReport]) -> dict[str, list]:
    """Returns reports of limits as JSON values, by server."""
    return {server: _encode(report) for server, report in reports.items()}


def _encode(report: LimitReport) -> list:
    fields = [report.rate_per_s, report.sequence, report.renewed]
    if report.owner is not None:
        fields += [report.owner.name, *report.owner.address]
    return fields


def decode_limit(fields: list) -> LimitReport:
    """Decodes a report of a limit.

    Raises:
        TypeError: If a field has another type.
        ValueError: If a field has no valid value, or their number is wrong.
    """
    rate_per_s, sequence, renewed, *owner_fields = fields
    owner = None
    if owner_fields:
        name, host, port = owner_fields
        owner = LimitOwner(str(name), (str(host), int(port)))
    return LimitReport(
        rate_per_s=None if rate_per_s is None else float(rate_per_s),
        sequence=int(sequence),
        owner=owner,
        renewed=int(renewed),
    )
