"""What operators decide and what must last, folded from the log."""

from caroblug.core.state._bundle import (
    Bundle,
    ClientAccount,
    Limits,
    ModelRule,
    Objective,
    Quarantine,
    ServiceRule,
    Sharing,
    parse_bundle,
)
from caroblug.core.state._fold import (
    Applied,
    BundleFold,
    Head,
    Ignored,
    Lost,
    Rejected,
)
from caroblug.core.state._keys import (
    hash_key,
    key_matches,
    make_key,
    split_key,
)
from caroblug.core.state._records import (
    BundleRecord,
    Signature,
    decode_record,
    encode_record,
    make_record,
    sign_record,
    verified_signers,
)
from caroblug.core.state._sections import join_sections, split_sections

__all__ = [
    "Applied",
    "Bundle",
    "BundleFold",
    "BundleRecord",
    "ClientAccount",
    "Head",
    "Ignored",
    "Limits",
    "Lost",
    "ModelRule",
    "Objective",
    "Quarantine",
    "Rejected",
    "ServiceRule",
    "Sharing",
    "Signature",
    "decode_record",
    "encode_record",
    "hash_key",
    "join_sections",
    "key_matches",
    "make_key",
    "make_record",
    "parse_bundle",
    "sign_record",
    "split_key",
    "split_sections",
    "verified_signers",
]
