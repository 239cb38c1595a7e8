"""Selection of the side processes that an entry connects to."""

import collections
from collections.abc import Collection

from caroblug.core.routing import Kind, choose_instances_to_probe, choose_subset
from caroblug.gen.wire import ttypes as wire

_PROBES_PER_ROUND = 32


class SideSubset:
    """Selects side processes so that every kind of service is covered.

    The instance list does not show what an instance serves. The entry
    therefore connects to unknown instances, a few at a time, until their
    first load report arrives.

    Args:
        owner: Name of the entry.
        size: Number of engines to connect to.
    """

    def __init__(self, owner: str, size: int) -> None:
        self.owner = owner
        self.size = size
        self._kinds: dict[str, Kind] = {}
        self._probe_counts: collections.Counter[str] = collections.Counter()

    @property
    def known(self) -> frozenset[str]:
        """Instances that have reported what they serve."""
        return frozenset(self._kinds)

    def on_report(self, report: wire.LoadReport) -> None:
        """Records what an instance serves."""
        if report.target:
            self._kinds[report.instance] = Kind(
                report.target,
                report.data_centre,
                report.first_layer or 0,
                report.end_layer or 0,
            )

    def select(self, listed: Collection[str]) -> frozenset[str]:
        """Returns the listed instances to connect to.

        Unknown instances that were probed least often come first. Listed
        instances that never report thus can't block the others.

        Args:
            listed: Names of all listed side processes.
        """
        for gone in self._kinds.keys() - set(listed):
            del self._kinds[gone]
        for gone in self._probe_counts.keys() - set(listed):
            del self._probe_counts[gone]
        if len(listed) <= self.size:
            return frozenset(listed)
        unknown = [i for i in listed if i not in self._kinds]
        fewest = min((self._probe_counts[i] for i in unknown), default=0)
        candidates = [i for i in unknown if self._probe_counts[i] == fewest]
        probed = choose_instances_to_probe(
            self.owner, candidates, _PROBES_PER_ROUND
        )
        self._probe_counts.update(probed)
        return choose_subset(self.owner, self._kinds, self.size) | probed
