"""Packages whose names are imported when they are first used.

A program pays at its start only for the modules that it uses: while a gateway
starts, callers wait.
"""

import importlib
import sys
from collections.abc import Callable
from typing import Any


def make_lazy_exports(
    package: str, modules: dict[str, str]
) -> tuple[Callable[[str], Any], Callable[[], list[str]], list[str]]:
    """Returns what a package sets as `__getattr__`, `__dir__` and `__all__`.

    Args:
        package: Name of the package.
        modules: Module of the package for each public name.
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
