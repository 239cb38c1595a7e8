"""API keys of client accounts, stored only as salted hashes.

A key has the form `ACCOUNT:SECRET`.
"""

import hashlib
import hmac
import secrets

_SALT_BYTES = 8
_SECRET_BYTES = 24
_HASH_BYTES = 24
_SEPARATOR = ":"


def make_key(client_account: str) -> str:
    """Returns a new random key for an account."""
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    return f"{client_account}{_SEPARATOR}{secret}"


def parse_account(key: str) -> str:
    """Returns the account in a key; empty if the key has no separator."""
    account, separator, _ = key.partition(_SEPARATOR)
    return account if separator else ""


def hash_key(key: str, salt: str = "") -> str:
    """Returns the salted hash of a key as `SALT:HASH`.

    A fast hash is enough, because a key contains 192 random bits and cannot
    be found by a dictionary attack.

    Args:
        key: The whole key.
        salt: Salt in hexadecimal; if empty, a random one is generated.
    """
    salt = salt or secrets.token_hex(_SALT_BYTES)
    digest = hashlib.blake2b(
        key.encode(), digest_size=_HASH_BYTES, salt=bytes.fromhex(salt)
    )
    return f"{salt}{_SEPARATOR}{digest.hexdigest()}"


def key_matches(key: str, key_hash: str) -> bool:
    """Returns whether a key has the hash; compares in constant time."""
    salt, _, _ = key_hash.partition(_SEPARATOR)
    return hmac.compare_digest(hash_key(key, salt), key_hash)
