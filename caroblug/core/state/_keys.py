"""Callers' keys: `ACCOUNT:SECRET`, kept only as salted hashes."""

import hashlib
import hmac
import secrets

_SALT_BYTES = 8
_SECRET_BYTES = 24
_HASH_BYTES = 24
_SEPARATOR = ":"


def make_key(client_account: str) -> str:
    """Returns a new key for an account."""
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    return f"{client_account}{_SEPARATOR}{secret}"


def parse_account(key: str) -> str:
    """Returns the account that a key names; empty if it names none."""
    account, separator, _ = key.partition(_SEPARATOR)
    return account if separator else ""


def hash_key(key: str, salt: str = "") -> str:
    """Returns `SALT:HASH` of a key.

    A key holds 192 random bits, so that a fast hash is enough: there is no
    dictionary of likely keys to try.

    Args:
        key: The whole key.
        salt: Hexadecimal salt; a new one if empty.
    """
    salt = salt or secrets.token_hex(_SALT_BYTES)
    digest = hashlib.blake2b(
        key.encode(), digest_size=_HASH_BYTES, salt=bytes.fromhex(salt)
    )
    return f"{salt}{_SEPARATOR}{digest.hexdigest()}"


def key_matches(key: str, key_hash: str) -> bool:
    """Tells, in constant time, whether a key has this hash."""
    salt, _, _ = key_hash.partition(_SEPARATOR)
    return hmac.compare_digest(hash_key(key, salt), key_hash)
