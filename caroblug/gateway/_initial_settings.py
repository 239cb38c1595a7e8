"""Settings at the start of the program, which may still be being written."""

from collections.abc import Callable

import gevent

from caroblug.gateway._settings import GatewaySettings, SettingsProblem

_TRIES = 20
_PAUSE_S = 0.1


def read_initial_settings(
    read: Callable[[], GatewaySettings | SettingsProblem],
    sleep: Callable[[float], None] = gevent.sleep,
) -> GatewaySettings | SettingsProblem:
    """Reads settings, for two seconds if they can't be used at first.

    Guards against a start at the moment in which the file is written anew: a
    gateway that runs keeps its old settings then, but this one has none.

    Args:
        read: Reads them once.
        sleep: Waits for so many seconds.
    """
    settings = read()
    for _ in range(_TRIES - 1):
        if not isinstance(settings, SettingsProblem):
            break
        sleep(_PAUSE_S)
        settings = read()
    return settings
