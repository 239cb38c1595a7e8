"""Settings at the start of the program."""

from caroblug.gateway import (
    GatewaySettings,
    SettingsProblem,
    read_initial_settings,
)
from caroblug.gateway.tests.fakes import NOWHERE

PROBLEM = SettingsProblem("settings.json", "", "is not JSON")
SETTINGS = GatewaySettings(
    "g1", "a", NOWHERE, NOWHERE, NOWHERE, NOWHERE, NOWHERE
)


def test_file_that_is_being_written_does_not_end_the_start():
    # Guards against an exit at the moment in which settings are written anew.
    reads = iter([PROBLEM, PROBLEM, SETTINGS])
    pauses = []

    settings = read_initial_settings(lambda: next(reads), pauses.append)

    assert settings == SETTINGS
    assert len(pauses) == 2


def test_file_that_stays_broken_ends_the_start():
    pauses = []

    settings = read_initial_settings(lambda: PROBLEM, pauses.append)

    assert settings == PROBLEM
    assert sum(pauses) <= 2.0
