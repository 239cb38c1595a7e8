"""Restarts crashed backend servers, as the platform does."""

import gevent

from standins.site import Site

_POLL_S = 0.02
_ROLES = ("engine", "plain")


class Supervisor:
    """Restarts engines and plain services that have ended.

    Args:
        site: The running site.
        restart_delay_s: Time between the end of a server and its restart.

    Attributes:
        crashes: Number of servers that have ended.
    """

    def __init__(self, site: Site, restart_delay_s: float = 0.3) -> None:
        self.crashes = 0
        self._site = site
        self._restart_delay_s = restart_delay_s
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops restarting servers."""
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(_POLL_S)
            for process in list(self._site.processes.values()):
                if process.role not in _ROLES or process.popen.poll() is None:
                    continue
                self.crashes += 1
                gevent.sleep(self._restart_delay_s)
                self._site.restart(process.name)
