"""Choosing a chain of stages over engines that hold ranges of layers."""

from caroblug.core.routing._chooser import ChainChooser, ShortestWaitChooser
from caroblug.core.routing._types import Chain, EngineView, Stage

__all__ = [
    "Chain",
    "ChainChooser",
    "EngineView",
    "ShortestWaitChooser",
    "Stage",
]
