"""Entry program: accepts HTTP requests and runs them on engine chains."""

from caroblug.entry._server import serve
from caroblug.entry._settings import EntrySettings

__all__ = ["EntrySettings", "serve"]
