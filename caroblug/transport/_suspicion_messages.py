"""Suspicions as messages between instances."""

from caroblug.core.limits import Suspicion
from caroblug.gen.wire import ttypes as wire


def suspicion_to_wire(suspicion: Suspicion) -> wire.Suspicion:
    """Returns the message that carries a suspicion."""
    return wire.Suspicion(
        suspicion.fingerprint,
        suspicion.client_account,
        suspicion.crash,
        suspicion.cleared,
        suspicion.remaining_ms,
        suspicion.position,
    )


def suspicion_from_wire(message: wire.Suspicion) -> Suspicion:
    """Returns the suspicion that a message carries."""
    return Suspicion(
        message.fingerprint,
        message.client_account,
        message.crash,
        message.position or 0,
        bool(message.cleared),
        message.remaining_ms,
    )
