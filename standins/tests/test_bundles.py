"""Tests of publishing bundles over real processes."""

import subprocess
import sys

import pytest

from caroblug.node import BUNDLE_STREAM
from standins.site import EntrySpec, make_site

_ROUNDS = 50
_RETENTION_MS = 4000


class _Operator:
    """Process that signs and publishes bundles on command."""

    def __init__(self, site, number):
        key = str(site.folder / f"operator-{number}.key")
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.operator",
                str(site.folder),
                key,
                *site.log_options(),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def send_command(self, text):
        self.process.stdin.write(f"{text}\n")
        self.process.stdin.flush()

    def read_result(self):
        code, _, text = self.process.stdout.readline().strip().partition("\t")
        return int(code), text

    def close(self):
        self.process.stdin.close()
        self.process.wait(10)


@pytest.fixture
def site():
    with make_site() as running:
        yield running


def _start_entries(site, *names, **settings):
    for name in names:
        site.start_entry(
            EntrySpec(name=name, data_centre=name[-1], settings=settings)
        )
    for name in names:
        site.wait_http(site.processes[name].http_port, "/readyz")


def _read_status(site, name):
    port = site.processes[name].http_port
    return site.http(port, "GET", "/status").json()


def _read_records(site):
    path = f"/streams/{BUNDLE_STREAM}?offset=0&limit=1000"
    return site.http(site.log_port, "GET", path).json()["records"]


def _wait_version(site, version, *names):
    for name in names:
        site.wait_for(
            lambda name=name: _read_status(site, name)["version"] == version,
            f"version {version} at {name}",
        )


def test_two_operators_at_once_have_one_winner_in_each_round(site):
    """Guards against two operators who both see their bundle accepted.

    Both sign on the same head and publish at the same time. In each of fifty
    rounds exactly one command succeeds, the other one names the accepted
    version, and the instance has the winner's bundle.
    """
    site.start_platform(operators=2)
    site.publish()
    _start_entries(site, "entry-a")
    operators = [_Operator(site, 0), _Operator(site, 1)]
    try:
        for number in range(_ROUNDS):
            for index, operator in enumerate(operators):
                operator.send_command(f"sign {1000 + 2 * number + index}")
            for operator in operators:
                assert operator.read_result()[0] == 0
            for operator in operators:
                operator.send_command("publish")
            results = [operator.read_result() for operator in operators]
            assert sorted(code for code, _ in results) == [0, 1]
            winner, loser = sorted(results)
            version = number + 2
            assert f"version {version} is accepted" in winner[1]
            assert f"not accepted: version {version} digest" in loser[1]
            digest = loser[1].split("digest ")[1].split()[0]
            _wait_version(site, version, "entry-a")
            assert _read_status(site, "entry-a")["digest"] == digest
    finally:
        for operator in operators:
            operator.close()


def test_replaced_fleet_finds_the_head_in_a_truncated_log(site):
    """Guards against an old bundle in force after all instances are replaced.

    The records of all published versions have expired, all instances are
    replaced at the same time, and an old record is appended again.
    """
    site.start_platform(log_options=("--retention-s=4",))
    site.publish()
    first = _read_records(site)[0]
    settings = {"log_retention_ms": _RETENTION_MS}
    _start_entries(site, "entry-a", "entry-b", **settings)
    site.bundle["limits"]["max_tokens"] = 77
    site.publish()
    _wait_version(site, 2, "entry-a", "entry-b")
    published = len(_read_records(site)) + 1
    site.wait_for(
        lambda: (
            _read_records(site) and _read_records(site)[0]["offset"] > published
        ),
        "the expiry of all that was published",
    )
    site.control("log", {"retention_s": 3600})
    for name in ("entry-a", "entry-b"):
        site.processes[name].kill()
        site.list_instance(name, "gone")
    path = f"/streams/{BUNDLE_STREAM}"
    site.http(site.log_port, "POST", path, {"data": first["data"]})
    _start_entries(site, "entry-c", **settings)
    assert _read_status(site, "entry-c")["version"] == 2


def test_outage_while_publishing(site):
    """Guards against failed publishes and starts during an outage of the log.

    First the response to a successful append is lost, and the command finds
    the record on the log. Then the log is down: a new instance adopts the
    head of its peers, and a waiting publish succeeds once the log is back.
    """
    site.start_platform()
    site.publish()
    names = ("entry-a", "entry-b", "entry-c")
    _start_entries(site, *names)
    site.control("log", {"lose_answers": 1})
    site.publish()
    assert len(_read_records(site)) == 2
    _wait_version(site, 2, *names)
    site.bundle["limits"]["max_tokens"] = 5
    operator = _Operator(site, 0)
    operator.send_command("sign 5")
    assert operator.read_result()[0] == 0
    site.control("log", {"down": True})
    operator.send_command("publish")
    _start_entries(site, "entry-d")
    assert _read_status(site, "entry-d")["version"] == 2
    site.control("log", {"down": False})
    assert operator.read_result()[0] == 0
    operator.close()
    _wait_version(site, 3, *names, "entry-d")


def test_withdrawn_instance_drains_and_status_shows_the_rest(site):
    site.start_platform()
    site.publish()
    _start_entries(site, "entry-a", "entry-b")
    address = f"127.0.0.1:{site.instance_list_port}"
    result = site.run_bundle_command(
        "withdraw", "entry-b", "--instances", address, check=False
    )
    assert (result.returncode, result.stdout) == (
        0,
        "entry-b has drained\n",
    )
    assert site.processes["entry-b"].popen.wait(10) == 0
    site.list_instance("entry-b", "gone")
    command = ["status", *site.log_options(), "--instances", address]
    site.wait_for(
        lambda: (
            "entry-b"
            not in site.run_bundle_command(*command, check=False).stdout
        ),
        "the list without entry-b",
    )
    result = site.run_bundle_command(*command)
    assert "entry-a (entry, a): version 1 since" in result.stdout
    assert "1 of 1 instances have version 1" in result.stdout
    result = site.run_bundle_command(
        "withdraw", "entry-x", "--instances", address, check=False
    )
    assert result.returncode == 2
