"""Authenticates callers by their API key."""

from caroblug.core.state import Bundle, key_matches, parse_account
from caroblug.utils import RefusalType, Refused

_BEARER_PREFIX = "Bearer "
_UNKNOWN_KEY = Refused(RefusalType.UNAUTHENTICATED, "the API key is unknown")


def authenticate(bundle: Bundle, authorization: str | None) -> str | Refused:
    """Returns the client account that the request's API key belongs to.

    Args:
        bundle: The bundle in force.
        authorization: Value of the `Authorization` header; None if absent.

    Returns:
        The name of the account, or a refusal if the key is missing or
        unknown.
    """
    if not authorization or not authorization.startswith(_BEARER_PREFIX):
        return Refused(
            RefusalType.UNAUTHENTICATED,
            "the Authorization header must carry a bearer key",
        )
    key = authorization[len(_BEARER_PREFIX) :].strip()
    account = parse_account(key)
    rule = bundle.client_accounts.get(account)
    if rule is None:
        return _UNKNOWN_KEY
    if any(key_matches(key, key_hash) for key_hash in rule.key_hashes):
        return account
    return _UNKNOWN_KEY
