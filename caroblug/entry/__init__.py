"""The entry program: callers' HTTP on one side, chains on the other."""

from caroblug.entry._server import serve
from caroblug.entry._settings import EntrySettings

__all__ = ["EntrySettings", "serve"]
