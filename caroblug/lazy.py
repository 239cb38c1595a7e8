"""Lazy imports: loads a package's public names on first access.

A program then imports only the modules that it uses, which shortens its start.
Callers wait while a gateway starts.
"""

import importlib
import sys
from collections.abc import Callable
from typing import Any


def make_lazy_exports(
    package: str, modules: dict[str, str]
) -> tuple[Callable[[str], Any], Callable[[], list[str]], list[str]]:
    """Returns `__getattr__`, `__dir__` and `__all__` of a lazy package.

    Args:
        package: Name of the package.
        modules: Submodule that defines each public name.

    Returns:
        The two functions and the list, in this order.
    """
    names = sorted(modules)

    def get(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}"
            )
        value = getattr(importlib.import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, value)
        return value

    return get, lambda: names, names
