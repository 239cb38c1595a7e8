"""Tests the state that a gateway keeps of its backend servers."""

import random

import attrs

from caroblug.core.access import Service
from caroblug.core.limits import LimitOwner, ServerLimits
from caroblug.core.placement import LayerRange, NoPath
from caroblug.core.placement.tests.fleets import MODEL
from caroblug.gateway import BackendServer, make_listing
from caroblug.gateway._fleet import Fleet

POOL = Service("pool", "/health", 10, MODEL)
PLAIN = Service("desk", "/health", 10)


def make_engine(name, first, end, leaving=False):
    number = sum(map(ord, name)) % 60000
    return BackendServer(
        name,
        "pool",
        ("10.0.0.1", number),
        "a",
        leaving,
        8,
        "big",
        LayerRange(first, end),
    )


def make_plain_server(name, leaving=False):
    return BackendServer(name, "desk", ("10.0.0.2", 1), "a", leaving, 4)


def make_fleet(*backends, end=1, now_ms=0):
    limits = ServerLimits(LimitOwner("g1", ("10.0.0.9", 1)))
    fleet = Fleet("a", random.Random(1), limits)
    fleet.update_listing(list_of(*backends, end=end), now_ms)
    return fleet


def list_of(*backends, end=1):
    return make_listing({b.name: b for b in backends}, end, (), "")


def names(path):
    return path if isinstance(path, NoPath) else path.names


def test_draining_backend_servers_are_not_chosen():
    fleet = make_fleet(
        make_plain_server("d1", leaving=True), make_plain_server("d2")
    )

    for _ in range(20):
        assert fleet.choose_backend(PLAIN, set(), 0).name == "d2"


def test_older_listing_is_ignored():
    # Guards against requests to a backend server that has left and is named
    # only by a stale read of the store.
    fleet = make_fleet(make_plain_server("d1"), end=5)

    assert not fleet.update_listing(list_of(make_plain_server("d0"), end=4), 10)
    assert fleet.choose_backend(PLAIN, set(), 10).name == "d1"


def test_equal_listing_read_by_another_gateway_refreshes_the_age():
    fleet = make_fleet(make_plain_server("d1"), now_ms=0)
    digest = fleet.listing.digest

    fleet.confirm_listing("other", 9, 800)
    assert fleet.listing_age_ms(1000) == 1000
    fleet.confirm_listing(digest, 9, 800)
    assert fleet.listing_age_ms(1000) == 200


def test_ejected_engine_is_on_no_path_until_it_responds():
    fleet = make_fleet(make_engine("e1", 0, 80), make_engine("e2", 0, 80))
    fleet.eject("e1", 0)

    assert names(fleet.choose_engines(POOL, 10)) == ("e2",)
    assert names(fleet.choose_engines(POOL, 10_000)) == ("e2",)
    assert [b.name for b in fleet.due_for_probe(10_000)] == ["e1"]
    fleet.on_response("e1", None, 0, 10_001)
    fleet.eject("e2", 10_001)
    assert names(fleet.choose_engines(POOL, 10_002)) == ("e1",)


def test_full_engine_is_excluded_for_a_limited_time():
    fleet = make_fleet(make_engine("e1", 0, 80))
    fleet.on_full("e1", 0)

    assert names(fleet.choose_engines(POOL, 10)) == NoPath(0)
    assert names(fleet.choose_engines(POOL, 1000)) == ("e1",)
    assert fleet.failed_for_ms("e1", 1000) == 0


def test_report_of_an_engine_overrides_an_older_listing():
    # Guards against requests for layers that an engine lost in a crash, while
    # the listing still names them.
    fleet = make_fleet(make_engine("e1", 0, 80), now_ms=0)
    fleet.on_report("e1", LayerRange(0, 0), 500)

    assert names(fleet.choose_engines(POOL, 600)) == NoPath(0)
    fleet.update_listing(list_of(make_engine("e1", 0, 80), end=2), 1000)
    assert names(fleet.choose_engines(POOL, 1001)) == NoPath(0)


def test_listing_with_changed_layers_overrides_an_older_report():
    fleet = make_fleet(make_engine("e1", 0, 40), now_ms=0)
    fleet.on_report("e1", LayerRange(0, 0), 500)
    fleet.update_listing(list_of(make_engine("e1", 0, 80), end=2), 900)

    assert names(fleet.choose_engines(POOL, 901)) == ("e1",)


def test_engine_found_draining_is_excluded_while_the_listing_is_old():
    # Guards against requests to draining engines while the listing can't be
    # read.
    fleet = make_fleet(make_engine("e1", 0, 80), now_ms=0)
    fleet.on_leaving("e1", 5000)

    assert names(fleet.choose_engines(POOL, 5001)) == NoPath(0)
    fleet.update_listing(list_of(make_engine("e1", 0, 80), end=2), 9000)
    assert names(fleet.choose_engines(POOL, 9001)) == ("e1",)


def test_ordered_layers_are_not_served_before_they_are_loaded():
    fleet = make_fleet(make_engine("e1", 0, 40), make_engine("e2", 40, 80))
    fleet.on_order_begun("e1", LayerRange(0, 60), 0, 5000)

    assert names(fleet.choose_engines(POOL, 10)) == NoPath(0)
    fleet.on_report("e1", LayerRange(0, 60), 2000)
    fleet.on_loaded("e1")
    assert names(fleet.choose_engines(POOL, 2001)) == ("e1", "e2")


def test_state_of_an_unlisted_server_is_dropped():
    fleet = make_fleet(make_plain_server("d1"))
    fleet.eject("d1", 0)
    fleet.update_listing(list_of(make_plain_server("d2"), end=2), 60_000)
    fleet.update_listing(list_of(make_plain_server("d1"), end=3), 60_001)

    assert not fleet.due_for_probe(60_002)


def test_least_loaded_server_is_chosen():
    fleet = make_fleet(make_plain_server("d1"), make_plain_server("d2"))
    fleet.on_response("d1", 4, 4, 0)

    assert fleet.choose_backend(PLAIN, set(), 10).name == "d2"
    assert fleet.choose_backend(PLAIN, {"d2"}, 10).name == "d1"
    assert fleet.choose_backend(PLAIN, {"d1", "d2"}, 10) is None


def test_engine_that_goes_on_refusing_is_asked_less_often():
    # Guards against one full engine using up the retry budget.
    fleet = make_fleet(make_engine("x", 0, 80))
    sent = 0
    for now_ms in range(0, 6000, 50):
        if not fleet.is_excluded("x", now_ms):
            fleet.on_full("x", now_ms)
            sent += 1

    assert sent <= 7


def test_accepted_request_resets_the_backoff_of_a_full_engine():
    fleet = make_fleet(make_engine("x", 0, 80))
    fleet.on_full("x", 0)
    fleet.on_full("x", 400)
    fleet.on_accepted(("x",))
    fleet.on_full("x", 2000)

    assert fleet.is_excluded("x", 2200)
    assert not fleet.is_excluded("x", 2400)


def test_engine_that_has_loaded_is_used_at_once():
    # Guards against an engine that stays unused for up to a second after its
    # load, as its last report of being busy has not expired.
    fleet = make_fleet(make_engine("e1", 0, 0), now_ms=0)
    fleet.on_order_begun("e1", LayerRange(0, 80), 1000, 5000)
    fleet.on_busy("e1", 2000)
    fleet.on_report("e1", LayerRange(0, 80), 2400)
    fleet.on_loaded("e1")

    (engine,) = fleet.engines(POOL, 2400)

    assert engine.holds == LayerRange(0, 80)
    assert not engine.loading


def limit(fleet, name, now_ms=0):
    """Lets a server name a limit that no gateway owns yet."""
    fleet.limits.on_response(name, 1.0, now_ms, now_ms)


def test_limited_server_is_avoided_while_another_one_is_left():
    fleet = make_fleet(make_plain_server("d1"), make_plain_server("d2"))
    limit(fleet, "d1")

    for _ in range(20):
        assert fleet.choose_backend(PLAIN, set(), 0).name == "d2"


def test_limited_server_is_not_used_instead_of_a_failed_one():
    # Guards against a last resort that asked for fewer requests.
    fleet = make_fleet(make_plain_server("d1"), make_plain_server("d2"))
    limit(fleet, "d1")
    fleet.eject("d2", 0)

    assert fleet.choose_backend(PLAIN, set(), 10).name == "d2"
    assert fleet.choose_backend(PLAIN, {"d2"}, 10) is None


def test_limited_servers_are_listed_for_permits():
    fleet = make_fleet(*(make_plain_server(f"d{i}") for i in range(3)))
    for name in ("d0", "d1"):
        limit(fleet, name)

    limited = fleet.choose_limited_backends(PLAIN, {"d0"}, 0)
    assert [backend.name for backend in limited] == ["d1"]


def test_server_without_responses_is_probed_by_the_owner_of_its_limit():
    fleet = make_fleet(make_plain_server("d1"), make_plain_server("d2"))
    limit(fleet, "d1")
    for now_ms in (0, 1500, 3000):
        fleet.choose_backend(PLAIN, set(), now_ms)

    assert fleet.choose_backend(PLAIN, set(), 4000).name == "d1"


def test_limited_engine_is_on_paths_but_starts_none():
    fleet = make_fleet(
        make_engine("e1", 0, 40),
        make_engine("e2", 0, 40),
        make_engine("e3", 40, 80),
    )
    for name in ("e1", "e3"):
        limit(fleet, name)

    for _ in range(20):
        path = fleet.choose_first_path(POOL, 0, frozenset(), frozenset())
        assert names(path) == ("e2", "e3")


def test_path_over_a_limited_engine_is_left_to_permits():
    fleet = make_fleet(make_engine("e1", 0, 80))
    limit(fleet, "e1")

    path = fleet.choose_first_path(POOL, 0, frozenset(), frozenset())
    assert names(path) == NoPath(0)
    assert names(fleet.choose_engines(POOL, 0)) == ("e1",)


def test_engine_without_responses_is_probed_by_the_owner_of_its_limit():
    fleet = make_fleet(make_engine("e1", 0, 80), make_engine("e2", 0, 80))
    limit(fleet, "e1")
    for now_ms in (0, 1500, 3000):
        fleet.choose_first_path(POOL, now_ms, frozenset(), frozenset())

    path = fleet.choose_first_path(POOL, 4000, frozenset(), frozenset())
    assert names(path) == ("e1",)


def test_limit_of_an_unlisted_server_is_forgotten():
    fleet = make_fleet(make_plain_server("d1"))
    limit(fleet, "d1")
    fleet.update_listing(list_of(end=2), 20_000)

    assert not fleet.limits.is_limited("d1")


def test_server_at_rest_is_not_chosen():
    fleet = make_fleet(make_plain_server("d1"), make_plain_server("d2"))
    fleet.availability.on_rest("d1", 3000, 0)

    for _ in range(20):
        assert fleet.choose_backend(PLAIN, set(), 2999).name == "d2"
    assert fleet.choose_backend(PLAIN, {"d2"}, 2999) is None
    assert fleet.choose_backend(PLAIN, {"d2"}, 3000).name == "d1"


def test_engine_at_rest_is_on_no_path():
    fleet = make_fleet(make_engine("e1", 0, 80))
    fleet.availability.on_rest("e1", 3000, 0)

    assert names(fleet.choose_engines(POOL, 2999)) == NoPath(0)
    assert names(fleet.choose_engines(POOL, 3000)) == ("e1",)


def test_response_to_an_earlier_request_does_not_end_a_rest():
    # Guards against a rest that ends with a response to an earlier request.
    fleet = make_fleet(make_plain_server("d1"))
    fleet.availability.on_rest("d1", 3000, 0)
    fleet.on_response("d1", 1, 0, 100)
    fleet.on_accepted(("d1",))

    assert fleet.choose_backend(PLAIN, set(), 2000) is None


def test_announced_exit_holds_whatever_the_listing_says():
    # Guards against requests to an exiting server that is listed as ready.
    fleet = make_fleet(make_plain_server("d1"))

    assert fleet.on_exit_announced("d1", 0)
    assert not fleet.on_exit_announced("d1", 10)
    fleet.update_listing(list_of(make_plain_server("d1"), end=2), 5000)
    assert fleet.choose_backend(PLAIN, set(), 5000) is None


def test_announced_exit_outlasts_a_gap_in_the_listing():
    # Guards against entries that lapse while the store is away and come back.
    fleet = make_fleet(make_plain_server("d1"))
    fleet.on_exit_announced("d1", 0)
    fleet.update_listing(list_of(end=2), 30_000)
    fleet.update_listing(list_of(make_plain_server("d1"), end=3), 60_000)

    assert fleet.choose_backend(PLAIN, set(), 60_000) is None


def test_announced_exit_does_not_concern_the_next_process():
    fleet = make_fleet(make_plain_server("d1"))
    fleet.on_exit_announced("d1", 0)
    restarted = attrs.evolve(make_plain_server("d1"), started_ms=5)
    fleet.update_listing(list_of(restarted, end=2), 5000)

    assert fleet.choose_backend(PLAIN, set(), 5000).name == "d1"
    assert fleet.on_exit_announced("d1", 5001)
    assert fleet.choose_backend(PLAIN, set(), 5001) is None


def test_server_that_failed_is_not_probed_for_its_limit():
    # Guards against a caller's request to a server that is known to be down.
    fleet = make_fleet(make_plain_server("d1"), make_plain_server("d2"))
    limit(fleet, "d1")
    for now_ms in (0, 1500, 3000):
        fleet.choose_backend(PLAIN, set(), now_ms)
    fleet.eject("d1", 3990)

    assert fleet.choose_backend(PLAIN, set(), 4000).name == "d2"
