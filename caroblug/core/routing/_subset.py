"""Selection of the engines that one entry connects to in a large fleet.

Each entry ranks the engines of a kind by rendezvous hashing. Entries spread
evenly over the engines, and an engine that joins or leaves changes only the
subsets that contain it.

References:
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    1998: rendezvous hashing.
"""

from collections.abc import Iterable, Mapping

import attrs
import xxhash


@attrs.frozen
class Kind:
    """What an instance serves; instances of one kind are interchangeable.

    Attributes:
        target: Name of the model or plain service.
        data_centre: Data centre in which it runs.
        first_layer: First layer it holds; 0 for a plain service.
        end_layer: One past the last layer; 0 for a plain service.
    """

    target: str
    data_centre: str
    first_layer: int = 0
    end_layer: int = 0


def rendezvous_rank(owner: str, instance: str) -> int:
    """Returns the rendezvous hash of an instance for an owner.

    The owner prefers the instances with the lowest values.
    """
    return xxhash.xxh3_64_intdigest(f"{owner}\0{instance}".encode())


def choose_subset(
    owner: str, kinds: Mapping[str, Kind], size: int
) -> frozenset[str]:
    """Returns the instances that an entry connects to.

    Each kind gets its share of `size` and at least one instance, so that the
    subset covers every layer that the whole fleet covers. All instances of
    plain services are included, because calls that must not be retried go to
    an owner that is chosen among all of them.

    Args:
        owner: Name of the entry.
        kinds: Kind by instance name.
        size: Target number of engines.
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
        chosen.update(_take_lowest_ranked(owner, instances, wanted))
    return frozenset(chosen)


def choose_instances_to_probe(
    owner: str, unknown: Iterable[str], count: int
) -> frozenset[str]:
    """Returns the instances to connect to next, to learn their kind.

    Args:
        owner: Name of the entry.
        unknown: Names of instances whose kind is not known yet.
        count: Maximum number of instances.
    """
    return frozenset(_take_lowest_ranked(owner, unknown, count))


def _take_lowest_ranked(
    owner: str, instances: Iterable[str], count: int
) -> list[str]:
    ranked = sorted(instances, key=lambda i: (rendezvous_rank(owner, i), i))
    return ranked[:count]
