"""The side process: the only door to one backend server."""

from caroblug.side._pump import EnginePump
from caroblug.side._server import serve
from caroblug.side._settings import SideSettings

__all__ = ["EnginePump", "SideSettings", "serve"]
