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
from caroblug.core.state._checks import check_bundle_table
from caroblug.core.state._fold import (
    Applied,
    BundleFold,
    Deferred,
    Ignored,
    LogEntry,
    Lost,
    Missing,
    Outcome,
    Rejected,
)
from caroblug.core.state._head import Head
from caroblug.core.state._keys import (
    hash_key,
    key_matches,
    make_key,
    split_key,
)
from caroblug.core.state._membership import (
    Member,
    Membership,
    MemberView,
    rank_members,
)
from caroblug.core.state._records import (
    BundleRecord,
    Signature,
    Snapshot,
    decode_record,
    decode_snapshot,
    encode_record,
    encode_snapshot,
    make_record,
    sign_record,
    verified_signers,
)
from caroblug.core.state._sections import (
    join_sections,
    section_hash,
    split_sections,
)
from caroblug.core.state._snapshots import SnapshotSchedule
from caroblug.core.state._spread import (
    Advert,
    Fetch,
    Spread,
    choose_neighbours,
    choose_readers,
)

__all__ = [
    "Advert",
    "Applied",
    "Bundle",
    "BundleFold",
    "BundleRecord",
    "ClientAccount",
    "Deferred",
    "Fetch",
    "Head",
    "Ignored",
    "Limits",
    "LogEntry",
    "Lost",
    "Member",
    "MemberView",
    "Membership",
    "Missing",
    "ModelRule",
    "Objective",
    "Outcome",
    "Quarantine",
    "Rejected",
    "ServiceRule",
    "Sharing",
    "Signature",
    "Snapshot",
    "SnapshotSchedule",
    "Spread",
    "check_bundle_table",
    "choose_neighbours",
    "choose_readers",
    "decode_record",
    "decode_snapshot",
    "encode_record",
    "encode_snapshot",
    "hash_key",
    "join_sections",
    "key_matches",
    "make_key",
    "make_record",
    "parse_bundle",
    "rank_members",
    "section_hash",
    "sign_record",
    "split_key",
    "split_sections",
    "verified_signers",
]
