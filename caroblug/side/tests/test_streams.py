"""Messages between the stages of a stream."""

from caroblug.core import recovery
from caroblug.gen.wire import ttypes as wire
from caroblug.side import _streams


def test_next_stage_hears_all_that_the_first_one_knows():
    """Innocent requests are refused beside one that crashes engines.

    A suspect is opened again to run alone; only its first stage was told, and
    the later ones ran it in one batch with others, who went down with it.
    """
    values = {
        name: index for index, name in enumerate(wire.OpenStream.__slots__)
    }
    opened = wire.OpenStream(**values)
    following = _streams._next_open(opened, recovery.ForwardOpen(7, 5))
    assert following.stage == opened.stage + 1
    assert following.tokens == []
    assert (following.known_length, following.sends_from) == (7, 5)
    own = {"stage", "tokens", "known_length", "sends_from"}
    for name in set(values) - own:
        assert getattr(following, name) == values[name]
