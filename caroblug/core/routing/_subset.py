"""Which engines one entry connects to, where it can't track them all.

Rendezvous hashing inside each group of engines: entries spread evenly over a
group, and an engine that comes or goes changes only its own place.

References:
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    1998: rendezvous hashing.
"""

from collections.abc import Iterable, Mapping

import attrs
import xxhash


@attrs.frozen
class Kind:
    """What an instance serves; those of one kind replace each other.

    Attributes:
        target: Model or plain service.
        data_centre: Where it runs.
        first_layer: First layer it holds; 0 for a plain service.
        end_layer: One past the last layer; 0 for a plain service.
    """

    target: str
    data_centre: str
    first_layer: int = 0
    end_layer: int = 0


def rendezvous_rank(owner: str, instance: str) -> int:
    """Returns an instance's rank for an owner; the lowest comes first."""
    return xxhash.xxh3_64_intdigest(f"{owner}\0{instance}".encode())


def choose_subset(
    owner: str, kinds: Mapping[str, Kind], size: int
) -> frozenset[str]:
    """Returns the instances that an entry connects to.

    Each kind keeps its share of `size`, and one instance at least, so that
    the subset covers every layer that the whole covers. Plain services are
    kept whole: calls that may not be repeated go to an owner among all of
    them.

    Args:
        owner: Name of the entry.
        kinds: Kind by instance.
        size: Engines wanted; at least one of each kind is kept.
    """
    members: dict[Kind, list[str]] = {}
    for instance, kind in kinds.items():
        members.setdefault(kind, []).append(instance)
    engines = sum(kind.end_layer > 0 for kind in kinds.values())
    chosen: set[str] = set()
    for kind, instances in members.items():
        wanted = len(instances)
        if kind.end_layer > 0 and engines > size:
            wanted = max(1, len(instances) * size // engines)
        chosen.update(_lowest(owner, instances, wanted))
    return frozenset(chosen)


def choose_instances_to_probe(
    owner: str, unknown: Iterable[str], count: int
) -> frozenset[str]:
    """Returns the instances to ask next what they serve."""
    return frozenset(_lowest(owner, unknown, count))


def _lowest(owner: str, instances: Iterable[str], count: int) -> list[str]:
    ranked = sorted(instances, key=lambda i: (rendezvous_rank(owner, i), i))
    return ranked[:count]
