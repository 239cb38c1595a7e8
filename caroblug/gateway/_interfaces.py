"""Interfaces that a platform adapter implements for the gateway."""

import abc
import enum
import hashlib

import attrs

from caroblug.core.access import Configuration
from caroblug.core.placement import LayerRange, Path
from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._exchange_results import ResponseHead
from caroblug.gateway._http_client import Address
from caroblug.gateway._settings import GatewaySettings


@attrs.frozen
class BackendServer:
    """A backend server in the platform's list.

    Attributes:
        name: Identity, which changes with most starts.
        service: Name of the service that it belongs to.
        address: Host and port.
        data_centre: Data centre that it runs in.
        leaving: Whether it is draining and accepts no new work.
        slots: Number of requests that it runs concurrently.
        kind: Kind of accelerator; empty for a plain service.
        holds: Layers that it holds; None for a plain service.
        started_ms: When it started; 0 if not reported.
    """

    name: str
    service: str
    address: Address
    data_centre: str
    leaving: bool
    slots: int
    kind: str = ""
    holds: LayerRange | None = None
    started_ms: int = 0


@attrs.frozen
class RefusedEntry:
    """An entry of the list of backend servers that names no server to use.

    Attributes:
        key: Key of the entry.
        reason: What is wrong with it.
    """

    key: str
    reason: str


@attrs.frozen
class Listing:
    """A snapshot of the list of backend servers.

    Attributes:
        backends: Backend servers by name.
        end: Position in the store's log; it grows with each change of the list.
        refused: Entries that name no server to use.
        raw: The list as the platform wrote it, for sending to other gateways.
        digest: Digest of the backend servers. Heartbeats change `raw` and `end`
            all the time, but not the digest.
    """

    backends: dict[str, BackendServer]
    end: int
    refused: tuple[RefusedEntry, ...] = ()
    raw: str = ""
    digest: str = ""


def make_listing(
    backends: dict[str, BackendServer],
    end: int,
    refused: tuple[RefusedEntry, ...],
    raw: str,
) -> Listing:
    """Returns a listing with the digest of its backend servers."""
    text = "".join(repr(backends[name]) for name in sorted(backends))
    digest = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    return Listing(backends, end, refused, raw, digest)


@attrs.frozen
class ConfigurationRead:
    """A configuration that was read from the store.

    Attributes:
        configuration: The configuration.
        end: Position in the store's log after which the next change is awaited.
        raw: Its text as the operator wrote it, for sending to other gateways.
    """

    configuration: Configuration
    end: int
    raw: str = ""


@attrs.frozen
class NoChange:
    """The result of a wait in which the configuration did not change.

    Attributes:
        end: Position in the store's log at which to continue waiting.
    """

    end: int


@attrs.frozen
class Unavailable:
    """The result of a call that got no usable answer.

    Attributes:
        message: Description of the failure.
    """

    message: str


@attrs.frozen
class Replaced(Unavailable):
    """The result of a call that another server than the intended one refused.

    The address of a server that has ended may be assigned to another one.
    """


@attrs.frozen
class PlacementLease:
    """The state of the placement lease, as the store granted it.

    The lease is the exclusive right of one gateway to order engines to load
    layers.

    Attributes:
        holder: Whether this gateway holds the lease.
        gateways: Number of gateways in the group, this one included, estimated
            from this gateway's share of the partitions; 0 if unknown.
    """

    holder: bool
    gateways: int = 0


@attrs.frozen
class Member:
    """A member of the group of gateways.

    Attributes:
        name: Name of the gateway.
        address: Address that other gateways connect to.
        data_centre: Data centre that it runs in; empty if unknown.
    """

    name: str
    address: Address
    data_centre: str = ""


class Registry(abc.ABC):
    """Access to the platform's backend server list, configuration and group.

    Methods return `Unavailable` if the platform gives no usable answer.
    """

    @abc.abstractmethod
    def apply_settings(self, settings: GatewaySettings) -> None:
        """Follows changed settings from the next call on."""

    @abc.abstractmethod
    def read_configuration(self) -> ConfigurationRead | Unavailable:
        """Reads the newest configuration."""

    @abc.abstractmethod
    def wait_for_change(
        self, end: int, wait_ms: int
    ) -> ConfigurationRead | NoChange | Unavailable:
        """Waits for a configuration newer than `end`, for at most `wait_ms`."""

    @abc.abstractmethod
    def read_backends(self) -> Listing | Unavailable:
        """Reads the list of backend servers."""

    @abc.abstractmethod
    def save_backends(self, listing: Listing) -> Unavailable | None:
        """Saves copies of a list of backend servers, apart from the list.

        Returns:
            None if most of the copies were saved.
        """

    @abc.abstractmethod
    def read_saved_backends(self) -> Listing | Unavailable:
        """Reads the newest copy of the list that can be read."""

    @abc.abstractmethod
    def save_quarantines(self, records: dict[str, str]) -> Unavailable | None:
        """Saves records of quarantined requests.

        Args:
            records: Record of each request by its fingerprint; an empty one
                removes the request.
        """

    @abc.abstractmethod
    def read_quarantines(self) -> dict[str, str] | Unavailable:
        """Reads the records of all saved requests by fingerprint."""

    @abc.abstractmethod
    def renew_placement_lease(
        self, lease_ms: int
    ) -> PlacementLease | Unavailable:
        """Joins the group, or renews the membership and a lease held with it.

        The store grants the lease to one member of the group.

        Args:
            lease_ms: How long the membership lasts without a renewal.
        """

    @abc.abstractmethod
    def read_members(self) -> tuple[Member, ...] | Unavailable:
        """Reads the members of the group, or some of them if there are many."""

    @abc.abstractmethod
    def decode_configuration(self, raw: str) -> Configuration | Unavailable:
        """Decodes a configuration that another gateway has sent."""

    @abc.abstractmethod
    def decode_listing(self, raw: str, end: int) -> Listing | Unavailable:
        """Decodes a list of backend servers that another gateway has sent."""

    @abc.abstractmethod
    def release_placement_lease(self) -> None:
        """Leaves the group and gives up the lease immediately."""


@attrs.frozen
class CallerRequest:
    """The decoded metadata of a caller's request.

    Attributes:
        id: Identity of this attempt of the caller.
        deadline_ms: Time that the caller waits; None if not specified.
        key: API key; None if none was sent.
        host: Host in lower case, without a port.
        resume_after: Id of the last event that the caller received, if any.
        prompt_tokens: Length of the prompt; 0 if it is no generation request.
        answer_tokens: Maximum number of tokens in the answer.
        headers: Headers to forward.
        bad: Why the request is invalid; None if it is valid.
        shared_parts: Ids of the parts of the prompt that other requests may
            have as well, without the last part, which is the request's own.
    """

    id: str
    deadline_ms: int | None
    key: str | None
    host: str
    resume_after: str | None
    prompt_tokens: int
    answer_tokens: int
    headers: tuple[tuple[str, str], ...]
    bad: str | None = None
    shared_parts: tuple[str, ...] = ()


@attrs.frozen
class ForwardMetadata:
    """The metadata that the gateway adds to a forwarded request.

    Attributes:
        backend: Name of the intended backend server.
        left_ms: Time until the caller's deadline.
        account: Name of the client account; None on a public route.
        priority: Priority of the request; 0 is the highest.
        path: Engines and their layers, for a model split over engines.
        resume_after: Id of the last event that the caller received.
    """

    backend: str
    left_ms: int
    account: str | None
    priority: int
    path: Path | None = None
    resume_after: str | None = None


class RunState(enum.Enum):
    """Whether a backend server has run a request, according to its answer."""

    RUN = "run"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class AnswerMetadata:
    """The decoded metadata of a backend server's answer.

    Attributes:
        request_id: Id of the request that it answers.
        genuine: Whether it carries the backend server's proof of origin.
        run: Whether the backend server has run the request.
        at_fault: Address of the engine that caused a failure, if named.
        running: Number of requests running there; None if not reported.
        waiting: Number of requests waiting there.
        headers: Headers to return to the caller.
        rate_limit_per_s: Requests a second that the server accepts from all
            gateways together; None if it names no limit.
        rest_ms: Time for which a server that rejected the request wants no
            others from this gateway; 0 if it names none.
        leaving: Whether the server says that it is draining.
        slots: Number of requests that it runs at once; None if not reported.
        misdirected: Whether the server isn't the one that the request names,
            or doesn't hold the layers that it is to run.
        server: Name of the server that answered; None if not reported.
    """

    request_id: str | None
    genuine: bool
    run: RunState
    at_fault: Address | None
    running: int | None
    waiting: int
    headers: tuple[tuple[str, str], ...]
    rate_limit_per_s: float | None = None
    rest_ms: int = 0
    leaving: bool = False
    slots: int | None = None
    misdirected: bool = False
    server: str | None = None


@attrs.frozen
class EngineReport:
    """The state that an engine reports about itself.

    Attributes:
        holds: Layers that it holds.
        busy: Whether it is executing an order.
        orders: Number of orders that it has begun since its start.
        stalled: Ids of requests that wait for another engine, each with that
            engine's address.
        pace: Slowdown relative to its kind of accelerator; above 1 if slower.
        kind: Kind of accelerator.
        started_ms: When it started; 0 if not reported.
        waiting: Number of requests that wait for a free slot or for memory.
        running: Number of requests that run.
        memory_use: Share of the memory for requests that is in use and can't
            be reclaimed; None if not reported. It is not checked.
        age_ms: Age of the report when it was read.
    """

    holds: LayerRange | None
    busy: bool
    orders: int
    stalled: tuple[tuple[str, Address], ...]
    pace: float
    kind: str
    started_ms: int
    waiting: int = 0
    running: int = 0
    memory_use: float | None = None
    age_ms: int = 0


class OrderOutcome(enum.Enum):
    """The outcome of an order to an engine.

    `REPLACED` means that another engine answers at its address.
    """

    BEGUN = "begun"
    HOLDS = "holds"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    REPLACED = "replaced"
    UNKNOWN = "unknown"


class Dialect(abc.ABC):
    """The platform's protocol for requests, answers, reports and orders."""

    @abc.abstractmethod
    def decode_request(self, request: RawRequest) -> CallerRequest:
        """Decodes a caller's request."""

    @abc.abstractmethod
    def encode_request(
        self,
        request: RawRequest,
        caller: CallerRequest,
        metadata: ForwardMetadata,
    ) -> tuple[bytes, ...]:
        """Returns a caller's request encoded for a backend server, in parts.

        Args:
            request: The request as received.
            caller: Its decoded metadata.
            metadata: The metadata to add.
        """

    @abc.abstractmethod
    def decode_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes the head of a backend server's answer."""

    @abc.abstractmethod
    def own_headers(
        self, caller: CallerRequest, retry_after_ms: int | None
    ) -> list[tuple[str, str]]:
        """Returns the headers of an answer that the gateway itself generates.

        Args:
            caller: The request.
            retry_after_ms: Delay after which the caller should retry; None if
                it should not.
        """

    @abc.abstractmethod
    def read_report(
        self, address: Address, name: str
    ) -> EngineReport | Unavailable:
        """Reads the report of an engine.

        Args:
            address: Address of the engine.
            name: Name of the engine. Another one that listens at the address
                gives no report (`Replaced`).
        """

    @abc.abstractmethod
    def read_health(
        self, address: Address, name: str, path: str
    ) -> bool | Unavailable:
        """Performs a health check of a backend server.

        Args:
            address: Address of the backend server.
            name: Name of the backend server; that of another one which listens
                at the address isn't returned (`Replaced`).
            path: Path of its service's health check.

        Returns:
            Whether the backend server accepts new work.
        """

    @abc.abstractmethod
    def place(
        self,
        address: Address,
        name: str,
        layers: LayerRange,
        orders: int,
        urgent: bool,
    ) -> OrderOutcome:
        """Orders an engine to hold layers.

        Args:
            address: Address of the engine.
            name: Name of the engine; no other one carries out the order.
            layers: All layers that it is to hold.
            orders: Number of orders that the engine has begun so far. It
                rejects the order if the number differs, so that a delayed
                order has no effect.
            urgent: Whether running requests that use released layers are
                aborted instead of awaited.
        """

    @abc.abstractmethod
    def change_path(self, request_id: str, path: Path) -> OrderOutcome:
        """Orders the first engine of a path to continue a request over it."""
