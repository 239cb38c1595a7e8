"""Places for requests that are open at once."""


class Admission:
    """Counts open requests, and never admits more than there are places.

    Args:
        places: Requests that may be open at once.
    """

    def __init__(self, places: int) -> None:
        self.places = places
        self._open = 0

    @property
    def open(self) -> int:
        """Requests that are open."""
        return self._open

    def take(self) -> bool:
        """Takes a place if there is one."""
        if self._open >= self.places:
            return False
        self._open += 1
        return True

    def release(self) -> None:
        """Gives a place back."""
        self._open -= 1
        if self._open < 0:
            raise AssertionError("more places were given back than taken")
