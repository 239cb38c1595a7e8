"""What backend servers say in their responses about the load they accept."""

from caroblug.core.access import Service
from caroblug.gateway._context import Context
from caroblug.gateway._exchange_results import ResponseHead
from caroblug.gateway._interfaces import AnswerMetadata

AT_REST_REASON = "the backend server wants no requests"
"""Why a request was not sent to a server that had been chosen."""

_STATUS_UNAVAILABLE = 503


def is_from_another_server(
    service: Service, name: str, metadata: AnswerMetadata
) -> bool:
    """Returns whether a response shows that another server has sent it.

    An engine also answers in this way to a path whose layers it doesn't hold.

    Args:
        service: Service of the request.
        name: Name of the backend server that the request was sent to.
        metadata: The response's decoded head.
    """
    if not metadata.misdirected:
        return False
    if metadata.server is not None:
        return metadata.server != name
    return service.model is None


def lacked_room(head: ResponseHead, metadata: AnswerMetadata) -> bool:
    """Returns whether a server rejected a request for lack of room.

    A draining server, and one that another process has replaced, reject
    requests however much room they have.

    Args:
        head: Head of the rejection.
        metadata: What it decodes to.
    """
    return head.status == _STATUS_UNAVAILABLE and not metadata.leaving


def apply_server_advice(
    context: Context, name: str, metadata: AnswerMetadata, sent_ms: int
) -> None:
    """Records what a response says about the load that its server accepts.

    A response to a misdirected request may be that of another server.

    Args:
        context: State shared by the gateway's components.
        name: Name of the backend server.
        metadata: The response's decoded head.
        sent_ms: When the request was sent.
    """
    if metadata.misdirected:
        return
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
