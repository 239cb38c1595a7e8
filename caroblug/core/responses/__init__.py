"""Check that received bytes are one complete response in HTTP/1.1.

Modules are imported on first use: most programs need only some of them.
"""

from caroblug.lazy import make_lazy_exports

_MODULES = {
    "MalformedResponse": "_grammar",
    "ResponseFilter": "_response_filter",
}

__getattr__, __dir__, __all__ = make_lazy_exports(__name__, _MODULES)
