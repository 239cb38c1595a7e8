"""The platform's part after a crash: starts backend servers again."""

import gevent

from standins.site import Site

_POLL_S = 0.02
_ROLES = ("engine", "plain")


class Supervisor:
    """Restarts engines and plain services that have ended, and counts them.

    Args:
        site: The running site.
        pause_s: Time until a server that has ended is started again.
    """

    def __init__(self, site: Site, restart_delay_s: float = 0.3) -> None:
        self.crashes = 0
        self._site = site
        self._restart_delay_s = restart_delay_s
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Restarts nothing any more."""
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
