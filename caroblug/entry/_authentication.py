"""Which client account a bearer key names."""

from caroblug.core.state import Bundle, key_matches, parse_account
from caroblug.utils import RefusalType, Refused

_BEARER_PREFIX = "Bearer "
_UNKNOWN_KEY = Refused(RefusalType.UNAUTHENTICATED, "the key is not known")


def authenticate(bundle: Bundle, authorization: str | None) -> str | Refused:
    """Returns the account whose key a request carries.

    Args:
        bundle: The bundle in force.
        authorization: The `Authorization` header.
    """
    if not authorization or not authorization.startswith(_BEARER_PREFIX):
        return Refused(
            RefusalType.UNAUTHENTICATED, "a bearer key must be given"
        )
    key = authorization[len(_BEARER_PREFIX) :].strip()
    account = parse_account(key)
    rule = bundle.client_accounts.get(account)
    if rule is None:
        return _UNKNOWN_KEY
    if any(key_matches(key, key_hash) for key_hash in rule.key_hashes):
        return account
    return _UNKNOWN_KEY
