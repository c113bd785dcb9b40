"""Messages exchanged between daemons.

Classes and fields are bound by name to the definitions in ``peer.thrift``.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.state.duty_messages import ServiceLoad, UsageCount


@dataclass(slots=True)
class Ask:
    """A request that waits for a slot.

    :ivar request_id: ID of the request.
    :ivar class_name: class of the request.
    :ivar organisation: organisation of the caller.
    :ivar age_ms: milliseconds since its arrival at the entry host.
    :ivar prompt_tokens: estimated length of the prompt in tokens.
    :ivar maximum_tokens: output limit set by the caller, 0 for none.
    :ivar prefix: hash of the leading part of the prompt, 0 for none.
    :ivar returning: whether the caller retries at the time it was given.
    :ivar avoided: backend servers that failed for this request.
    :ivar shared_tokens: tokens of the parts shared with other requests.
    :ivar urgency: priority at backend servers, 0 is served first.
    :ivar target_ms: target for the time to the first token in milliseconds.
    :ivar left_ms: milliseconds until the caller stops waiting.
    :ivar pause_ms: target for the longest gap between events of the stream
        in milliseconds, 0 for none.
    :ivar software_version: version of the engines at which it may run, empty
        for any.
    """

    request_id: str
    class_name: str
    organisation: str
    age_ms: int = 0
    prompt_tokens: int = 0
    maximum_tokens: int = 0
    prefix: int = 0
    returning: bool = False
    avoided: list[str] = field(default_factory=list)
    shared_tokens: int = 0
    urgency: int = 0
    target_ms: int = 0
    left_ms: int = 0
    pause_ms: int = 0
    software_version: str = ''


@dataclass(slots=True)
class Running:
    """A request that holds a slot.

    :ivar ask: the request.
    :ivar backend: backend server that runs it.
    :ivar tokens: tokens delivered so far.
    :ivar running_ms: milliseconds since the grant.
    :ivar first_token_ms: milliseconds from the grant to the first token, -1
        before the first token.
    :ivar paused: whether its stream is paused.
    """

    ask: Ask
    backend: str
    tokens: int = 0
    running_ms: int = 0
    first_token_ms: int = -1
    paused: bool = False


@dataclass(slots=True)
class Done:
    """A slot that is released by the entry host that held it.

    :ivar request_id: ID of the request.
    :ivar backend: backend server that ran it.
    :ivar tokens: tokens delivered.
    :ivar first_token_ms: milliseconds from the grant to the first token, -1
        if there was none.
    :ivar running_ms: milliseconds for which the slot was held.
    :ivar whole: whether the answer was complete.
    :ivar failed: whether the backend server was at fault.
    """

    request_id: str
    backend: str
    tokens: int = 0
    first_token_ms: int = -1
    running_ms: int = 0
    whole: bool = True
    failed: bool = False


@dataclass(slots=True)
class Release:
    """The end of a prompt that was granted an engine.

    :ivar request_id: ID of the request.
    :ivar held_ms: milliseconds for which it held a slot of the engine.
    :ivar rejected: whether the engine rejected it without running it.
    """

    request_id: str
    held_ms: int = 0
    rejected: bool = False


@dataclass(slots=True)
class Grant:
    """A slot on a backend server that is granted to a request.

    :ivar request_id: ID of the request.
    :ivar backend: name of the backend server.
    :ivar prefill_tokens: estimated prompt tokens that it has to prefill.
    """

    request_id: str
    backend: str
    prefill_tokens: int = 0


@dataclass(slots=True)
class Denial:
    """A denial of a slot by the allocator.

    :ivar request_id: ID of the request.
    :ivar reason: why; from the allocator of slots, a value of ``Reason``.
    :ivar retry_after_ms: milliseconds after which the caller should retry.
    :ivar wait_ms: wait in milliseconds that led to the denial.
    :ivar ahead: number of waiting requests that would be served first.
    """

    request_id: str
    reason: str
    retry_after_ms: int = 0
    wait_ms: int = 0
    ahead: int = 0


@dataclass(slots=True)
class Pause:
    """An instruction to pause or resume a running stream.

    :ivar request_id: ID of the request.
    :ivar paused: true to pause, false to resume.
    """

    request_id: str
    paused: bool


@dataclass(slots=True)
class GroupAsk:
    """Message from an entry host to the allocator of a group.

    :ivar group: group key, ``service/index`` or ``service/groups/index``.
    :ivar full: whether the lists contain the complete state of the host.
    :ivar asks: requests that wait for a slot.
    :ivar running: requests that hold slots.
    :ivar done: released slots.
    :ivar withdrawn: IDs of waiting requests that no longer need a slot.
    :ivar released: prompts that have ended at their engines.
    :ivar reports_ends: whether the host does so; earlier versions do not.
    """

    group: str
    full: bool = False
    asks: list[Ask] = field(default_factory=list)
    running: list[Running] = field(default_factory=list)
    done: list[Done] = field(default_factory=list)
    withdrawn: list[str] = field(default_factory=list)
    released: list[Release] = field(default_factory=list)
    reports_ends: bool = False


@dataclass(slots=True)
class GroupReply:
    """Message from the allocator of a group to an entry host.

    :ivar group: group key, ``service/index`` or ``service/groups/index``.
    :ivar term: number that increases with each restart of the allocator.
    :ivar grants: granted slots.
    :ivar denials: denied requests.
    :ivar pauses: streams to pause or resume.
    :ivar load_permille: running and waiting work per slot, in permille.
    """

    group: str
    term: int = 0
    grants: list[Grant] = field(default_factory=list)
    denials: list[Denial] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)
    load_permille: int = 0


@dataclass(slots=True)
class MemberUpdate:
    """An update about an entry host.

    :ivar host: name of the host.
    :ivar incarnation: start time of its process in milliseconds.
    :ivar counter: number that orders the updates of one incarnation.
    :ivar status: a value of ``MemberStatus``.
    :ivar data_centre: data centre of the host.
    :ivar caller_address: ``address:port`` for callers.
    :ivar peer_address: ``address:port`` for other daemons.
    :ivar load: number of requests in progress.
    :ivar capacity: processor capacity of the host in percent of one
        processor, 0 if unknown.
    :ivar cut_off: whether the host reaches no backend server.
    """

    host: str
    incarnation: int
    counter: int
    status: int
    data_centre: str
    caller_address: str
    peer_address: str
    load: int = 0
    capacity: int = 0
    cut_off: bool = False


@dataclass(slots=True)
class BackendUpdate:
    """An update about a backend server.

    :ivar service_name: name of the service.
    :ivar name: name of the backend server.
    :ivar incarnation: its incarnation in the platform's list.
    :ivar leaving: whether it no longer accepts new work.
    :ivar age_ms: milliseconds since a host first knew.
    """

    service_name: str
    name: str
    incarnation: int
    leaving: bool
    age_ms: int = 0


@dataclass(slots=True)
class BackendLimit:
    """The request rate that a backend server accepts from all hosts together.

    :ivar name: name of the backend server.
    :ivar born_ms: start time of the backend server in milliseconds.
    :ivar source: host whose response stated the limit.
    :ivar limit_per_s: requests per second, negative for any number.
    :ivar age_ms: milliseconds since that response.
    :ivar rejections_per_s: requests that it can reject in a second without
        falling over, negative for any number.
    """

    name: str
    born_ms: int
    source: str
    limit_per_s: float = -1
    age_ms: int = 0
    rejections_per_s: float = -1


@dataclass(slots=True)
class Revision:
    """The latest revision of a document that a host knows of.

    :ivar service_name: name of the service.
    :ivar number: revision number.
    :ivar age_ms: milliseconds since it was confirmed to be the latest, or -1;
        for the list of backend servers, since the platform last answered.
    :ivar era: era of the platform that gave out the number, 0 if unknown.
    """

    service_name: str
    number: int
    age_ms: int = -1
    era: int = 0


@dataclass(slots=True)
class StreamOrigin:
    """Where a stream began.

    :ivar request_id: ID of the request that brought its first event.
    :ivar service_name: service that ran it.
    :ivar software_version: software version of the engine, empty if unknown.
    """

    request_id: str
    service_name: str = ''
    software_version: str = ''


@dataclass(slots=True)
class BackendCrash:
    """A request that was in progress when a backend server crashed.

    :ivar name: name of the backend server.
    :ivar born_ms: its start time in milliseconds.
    :ivar age_ms: milliseconds since the crash.
    :ivar fingerprints: those of the request.
    """

    name: str
    born_ms: int
    age_ms: int = 0
    fingerprints: list[int] = field(default_factory=list)


@dataclass(slots=True)
class FingerprintRun:
    """A request with a fingerprint that has crashes was sent or served.

    :ivar fingerprint: the fingerprint.
    :ivar age_ms: milliseconds since the request was sent.
    """

    fingerprint: int
    age_ms: int = 0


@dataclass(slots=True)
class Batch:
    """All pending messages from one host to another.

    :ivar sender: name of the sending host.
    :ivar incarnation: incarnation of the sending host.
    :ivar asks: messages to the receiver as an allocator.
    :ivar replies: messages to the receiver as an entry host.
    :ivar members: updates about entry hosts.
    :ivar backends: updates about backend servers.
    :ivar revisions: document revisions in force at the sender.
    :ivar complete: whether the revisions are all that a ready host has.
    :ivar limits: request limits of backend servers.
    :ivar origins: streams that have begun.
    :ivar crashes: requests that were in progress at crashes.
    :ivar runs: fingerprints with crashes that were served since.
    :ivar trials: quarantined fingerprints with which a request was sent.
    :ivar usage: counts of windows, for the host that reports usage.
    :ivar loads: loads of services, for the host that orders engines.
    :ivar clock_ms: wall clock of the sender in milliseconds, 0 if not told.
    """

    sender: str
    incarnation: int
    asks: list[GroupAsk] = field(default_factory=list)
    replies: list[GroupReply] = field(default_factory=list)
    members: list[MemberUpdate] = field(default_factory=list)
    backends: list[BackendUpdate] = field(default_factory=list)
    revisions: list[Revision] = field(default_factory=list)
    complete: bool = False
    limits: list[BackendLimit] = field(default_factory=list)
    origins: list[StreamOrigin] = field(default_factory=list)
    crashes: list[BackendCrash] = field(default_factory=list)
    runs: list[FingerprintRun] = field(default_factory=list)
    trials: list[FingerprintRun] = field(default_factory=list)
    usage: list[UsageCount] = field(default_factory=list)
    loads: list[ServiceLoad] = field(default_factory=list)
    clock_ms: int = 0
