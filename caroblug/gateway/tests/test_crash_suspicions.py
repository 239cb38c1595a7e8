"""Tests which requests gateways quarantine, and what they tell each other."""

import pytest

from caroblug.gateway.tests.crash_model import CrashModel, Load


@pytest.mark.parametrize("gateways", [26, 64])
def test_request_is_quarantined_while_many_engines_end(gateways):
    # Guards against a suspicion that is no longer told because many others
    # are known.
    model = CrashModel(gateways, Load(streams=20, ends=1.0), 1)

    model.run(20)

    assert model.crashes >= 3
    assert model.late_runs == 0, f"{model.crashes} engines crashed"


def test_request_is_quarantined_after_a_rack_has_ended():
    # Guards against one burst of ends that displaces what is known.
    model = CrashModel(26, Load(streams=20), 1)
    model.run(1)
    model.load.ends = 20.0
    model.run(1)
    model.load.ends = 0.0

    model.run(20)

    assert model.crashes >= 3
    assert model.late_runs == 0, f"{model.crashes} engines crashed"
