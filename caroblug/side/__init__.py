"""The side process: the only door to one backend server."""

from caroblug.side._batch_scheduler import BatchScheduler
from caroblug.side._server import serve
from caroblug.side._settings import SideSettings

__all__ = ["BatchScheduler", "SideSettings", "serve"]
