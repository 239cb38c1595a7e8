"""Fakes of what the streams of an entry depend on."""


class FakeNetwork:
    """Network that keeps the messages that are sent."""

    def __init__(self):
        self.sent = []

    def send(self, to, *messages):
        """Keeps messages, each with the instance that it is sent to."""
        self.sent.extend((to.instance, message) for message in messages)

    def is_connected(self, instance):
        """Returns that any instance is connected."""
        del instance
        return True

    def add_in_flight(self, instance, change=1):
        """Ignores the number of streams in flight."""


class EmptyQuarantine:
    """Quarantine without requests."""

    def refusal(self, fingerprint, ran):
        """Returns that no request is refused."""
        del fingerprint, ran

    def isolate_until(self, fingerprint):
        """Returns that no request runs in isolation."""
        del fingerprint
        return 0

    def on_progress(self, fingerprint, length):
        """Ignores the progress of a request."""
