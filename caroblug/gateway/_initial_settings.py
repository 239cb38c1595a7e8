"""Reading of the settings at program start, with retries."""

from collections.abc import Callable

import gevent

from caroblug.gateway._settings import GatewaySettings, SettingsProblem

_MAX_READS = 20
_PAUSE_S = 0.1


def read_initial_settings(
    read: Callable[[], GatewaySettings | SettingsProblem],
    sleep: Callable[[float], None] = gevent.sleep,
) -> GatewaySettings | SettingsProblem:
    """Returns the settings, retrying for two seconds while they are invalid.

    Guards against a start while the settings file is being rewritten. A running
    gateway keeps its previous settings in that case, but a starting one has
    none.

    Args:
        read: Reads the settings once.
        sleep: Waits for the given number of seconds.

    Returns:
        The settings, or the last problem if none of the reads succeeded.
    """
    settings = read()
    for _ in range(_MAX_READS - 1):
        if not isinstance(settings, SettingsProblem):
            break
        sleep(_PAUSE_S)
        settings = read()
    return settings
