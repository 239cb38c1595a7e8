"""Tests of the times in which servers accept no requests."""

from caroblug.core.limits import ServerAvailability


def test_rest_lasts_as_long_as_asked():
    availability = ServerAvailability()
    availability.on_rest("s1", 3000, 100)

    assert availability.is_at_rest("s1", 3099)
    assert not availability.is_at_rest("s1", 3100)
    assert not availability.is_at_rest("s2", 100)


def test_shorter_rest_does_not_end_a_longer_one():
    # Guards against two rejections that arrive out of order.
    availability = ServerAvailability()
    availability.on_rest("s1", 3000, 0)
    availability.on_rest("s1", 500, 100)

    assert availability.is_at_rest("s1", 2999)


def test_other_servers_keep_their_rest():
    availability = ServerAvailability()
    availability.on_rest("s1", 3000, 0)
    availability.on_rest("s2", 500, 100)

    assert availability.is_at_rest("s1", 2999)


def test_exit_concerns_the_process_that_announced_it():
    # Guards against a server that is avoided for good after a restart.
    availability = ServerAvailability()

    assert availability.on_exit_announced("s1", 50, 1000)
    assert availability.is_exiting("s1", 50)
    assert not availability.is_exiting("s1", 60)
    assert availability.on_exit_announced("s1", 60, 2000)
    assert availability.is_exiting("s1", 60)


def test_older_announcement_is_not_new():
    # Guards against gateways that tell each other of a process that has gone.
    availability = ServerAvailability()
    availability.on_exit_announced("s1", 60, 1000)

    assert not availability.on_exit_announced("s1", 60, 1100)
    assert not availability.on_exit_announced("s1", 50, 1200)
    assert availability.exits() == {"s1": 60}


def test_announcements_are_forgotten_after_a_time():
    availability = ServerAvailability()
    availability.on_exit_announced("s1", 0, 0)
    availability.on_exit_announced("s2", 0, 600_001)

    assert set(availability.exits()) == {"s2"}
