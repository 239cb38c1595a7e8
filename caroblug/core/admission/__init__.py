"""Admission of streams by rank while engines are short of memory.

Modules are imported on first use: most programs need only some of them.
"""

from caroblug.lazy import make_lazy_exports

_MODULES = {
    "HIGH_USE": "_reservations",
    "NO_ROOM_REASON": "_types",
    "AccountShares": "_account_shares",
    "Admission": "_admission",
    "Refuse": "_types",
    "StreamRequest": "_types",
    "Wait": "_types",
    "make_admission": "_admission",
}

__getattr__, __dir__, __all__ = make_lazy_exports(__name__, _MODULES)
