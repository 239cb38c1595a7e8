"""What the gateway needs of a platform; an adapter implements it."""

import abc
import enum
import hashlib

import attrs

from caroblug.core.access import Configuration
from caroblug.core.placement import LayerRange, Path
from caroblug.gateway._caller_requests import RawRequest
from caroblug.gateway._exchange_results import ResponseHead
from caroblug.gateway._http_client import Address


@attrs.frozen
class BackendServer:
    """A backend server as the platform lists it.

    Attributes:
        name: Identity, new with most starts.
        service: Service that it belongs to.
        address: Host and port.
        data_centre: Where it runs.
        leaving: Whether it takes no new work.
        slots: Requests that it runs at once.
        kind: Kind of accelerator; empty for a plain service.
        holds: Layers that it holds; None for a plain service.
        started_ms: When it started, if it says so.
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
class Listing:
    """Every backend server, as read at one moment.

    Attributes:
        backends: Backend servers by name.
        end: Grows with each change of the list.
        ignored: Entries that could not be used.
        raw: The list as the platform wrote it, to hand on to other gateways.
        digest: The same for lists with the same backend servers; heartbeats
            change `raw` and `end` all the time, but not this.
    """

    backends: dict[str, BackendServer]
    end: int
    ignored: int = 0
    raw: str = ""
    digest: str = ""


def make_listing(
    backends: dict[str, BackendServer], end: int, ignored: int, raw: str
) -> Listing:
    """Returns a list with its digest."""
    text = "".join(repr(backends[name]) for name in sorted(backends))
    digest = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    return Listing(backends, end, ignored, raw, digest)


@attrs.frozen
class ConfigurationRead:
    """The newest configuration.

    Attributes:
        configuration: The configuration.
        end: Where to wait for the next change.
        raw: The same as the operator wrote it, to hand on to other gateways.
    """

    configuration: Configuration
    end: int
    raw: str = ""


@attrs.frozen
class NoChange:
    """No change came in the time given.

    Attributes:
        end: Where to wait on.
    """

    end: int


@attrs.frozen
class Unavailable:
    """The platform gave no usable answer.

    Attributes:
        message: What was seen.
    """

    message: str


@attrs.frozen
class PlacementLease:
    """Whether this entry is the one that places layers.

    Attributes:
        holder: Whether it is.
        gateways: Gateways that take part, this one included, as far as this
            one's part of the work tells; 0 if it doesn't.
    """

    holder: bool
    gateways: int = 0


@attrs.frozen
class Member:
    """A gateway that takes part.

    Attributes:
        name: Its name.
        address: Where other gateways reach it.
    """

    name: str
    address: Address


class Registry(abc.ABC):
    """The platform's list of backend servers, configuration and groups."""

    @abc.abstractmethod
    def read_configuration(self) -> ConfigurationRead | Unavailable:
        """Reads the newest configuration."""

    @abc.abstractmethod
    def wait_for_change(
        self, end: int, wait_ms: int
    ) -> ConfigurationRead | NoChange | Unavailable:
        """Waits until the configuration changes past `end`."""

    @abc.abstractmethod
    def read_backends(self) -> Listing | Unavailable:
        """Reads the list of backend servers."""

    @abc.abstractmethod
    def renew_placement_lease(
        self, lease_ms: int
    ) -> PlacementLease | Unavailable:
        """Takes part in, or renews, the choice of who places layers."""

    @abc.abstractmethod
    def read_members(self) -> tuple[Member, ...] | Unavailable:
        """Reads which gateways take part; of very many, some of them."""

    @abc.abstractmethod
    def decode_configuration(self, raw: str) -> Configuration | Unavailable:
        """Reads a configuration that another gateway has handed on."""

    @abc.abstractmethod
    def decode_listing(self, raw: str, end: int) -> Listing | Unavailable:
        """Reads a list that another gateway has handed on."""

    @abc.abstractmethod
    def release_placement_lease(self) -> None:
        """Gives up at once what `renew_placement_lease` gave."""


@attrs.frozen
class CallerRequest:
    """What a caller's request says, in the gateway's own terms.

    Attributes:
        id: Identity of this attempt of the caller's.
        deadline_ms: How long the caller waits; None if it does not say.
        key: API key, if one was sent.
        host: Host in lower case, without a port.
        resume_after: Id of the last event that the caller has, if any.
        prompt_tokens: Length of the prompt; 0 if it is not a generation.
        answer_tokens: Most tokens of the answer.
        headers: Headers to pass on.
        bad: What makes the request unusable, if anything.
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


@attrs.frozen
class ForwardMetadata:
    """What the gateway adds to a request when it sends it on.

    Attributes:
        backend: Name of the backend server that is meant.
        left_ms: How long the caller still waits.
        account: Name of the client account; None on a public route.
        priority: Rank, 0 first.
        path: Engines and layers, for a model spread over engines.
        resume_after: Id of the last event that the caller has.
    """

    backend: str
    left_ms: int
    account: str | None
    priority: int
    path: Path | None = None
    resume_after: str | None = None


class RunState(enum.Enum):
    """What an answer says of the request's run."""

    RUN = "run"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class AnswerMetadata:
    """What the head of a backend server's answer says.

    Attributes:
        request_id: Request that it belongs to.
        genuine: Whether it carries the backend server's proof of origin.
        run: Whether the request has run.
        at_fault: Address of the engine that made it fail, if it is named.
        running: Requests that run there; None if it does not say.
        waiting: Requests that wait there.
        headers: Headers to pass back.
    """

    request_id: str | None
    genuine: bool
    run: RunState
    at_fault: Address | None
    running: int | None
    waiting: int
    headers: tuple[tuple[str, str], ...]


@attrs.frozen
class EngineReport:
    """What an engine says of itself.

    Attributes:
        holds: Layers that it holds.
        busy: Whether an order is being carried out.
        orders: Number of orders begun since its start.
        stalled: Requests that wait for another engine, and its address.
        pace: Over 1 if it is slower than its kind.
        kind: Kind of accelerator.
        started_ms: When it started; 0 if it does not say.
        waiting: Requests that wait for a place.
    """

    holds: LayerRange | None
    busy: bool
    orders: int
    stalled: tuple[tuple[str, Address], ...]
    pace: float
    kind: str
    started_ms: int
    waiting: int = 0


class OrderOutcome(enum.Enum):
    """What came of an order."""

    BEGUN = "begun"
    HOLDS = "holds"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class Dialect(abc.ABC):
    """How requests, answers, reports and orders look on the wire."""

    @abc.abstractmethod
    def decode_request(self, request: RawRequest) -> CallerRequest:
        """Reads a caller's request."""

    @abc.abstractmethod
    def encode_request(
        self,
        request: RawRequest,
        caller: CallerRequest,
        metadata: ForwardMetadata,
    ) -> bytes:
        """Returns the bytes to send to a backend server."""

    @abc.abstractmethod
    def decode_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Reads the head of a backend server's answer."""

    @abc.abstractmethod
    def own_headers(
        self, caller: CallerRequest, retry_after_ms: int | None
    ) -> list[tuple[str, str]]:
        """Returns the headers of an answer that the gateway gives itself.

        Args:
            caller: The request.
            retry_after_ms: When the caller should come back, if it should.
        """

    @abc.abstractmethod
    def read_report(self, address: Address) -> EngineReport | Unavailable:
        """Asks an engine about itself."""

    @abc.abstractmethod
    def read_health(self, address: Address, path: str) -> bool | Unavailable:
        """Asks a backend server whether it takes new work.

        Args:
            address: The backend server.
            path: Where its service answers this.
        """

    @abc.abstractmethod
    def place(
        self, address: Address, layers: LayerRange, orders: int, urgent: bool
    ) -> OrderOutcome:
        """Orders an engine to hold layers.

        Args:
            address: The engine.
            layers: Layers to hold, all of them.
            orders: Orders that it has begun so far; it rejects this one if
                there was another, so that a late one can do no harm.
            urgent: Whether work that passes through layers which are given
                up is cut, not waited for.
        """

    @abc.abstractmethod
    def change_path(
        self, address: Address, request_id: str, path: Path
    ) -> OrderOutcome:
        """Orders an engine to go on with a request over another path."""
