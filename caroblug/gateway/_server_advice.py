"""What backend servers say in their responses about the load they accept."""

from caroblug.gateway._context import Context
from caroblug.gateway._interfaces import AnswerMetadata

AT_REST_REASON = "the backend server wants no requests"
"""Why a request was not sent to a server that had been chosen."""


def apply_server_advice(
    context: Context, name: str, metadata: AnswerMetadata, sent_ms: int
) -> None:
    """Records what a response says about the load that its server accepts.

    Args:
        context: State shared by the gateway's components.
        name: Name of the backend server.
        metadata: The response's decoded head.
        sent_ms: When the request was sent.
    """
    now_ms = context.clock.now_ms()
    changed = context.fleet.limits.on_response(
        name, metadata.rate_limit_per_s, sent_ms, now_ms
    )
    if changed:
        context.log.write(
            "backend_server.limit",
            backend_server=name,
            rate_per_s=metadata.rate_limit_per_s,
        )
    if metadata.rest_ms:
        context.fleet.availability.on_rest(name, metadata.rest_ms, now_ms)
        context.log.write(
            "backend_server.rest", backend_server=name, rest_ms=metadata.rest_ms
        )
    if metadata.leaving and context.fleet.on_exit_announced(name, now_ms):
        context.log.write(
            "backend_server.leaving",
            backend_server=name,
            list_age_ms=context.fleet.listing_age_ms(now_ms),
        )
