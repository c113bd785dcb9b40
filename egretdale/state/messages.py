"""Messages that the daemons send to each other."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Ask:
    """A request that waits for a slot.

    :ivar request_id: ID of the request.
    :ivar class_name: class of the request.
    :ivar organisation: organisation of the caller.
    :ivar age_ms: milliseconds since it arrived at its entry host.
    :ivar prompt_tokens: estimated length of the prompt.
    :ivar maximum_tokens: output limit that the caller set, 0 for none.
    :ivar prefix: hash of the leading part of the prompt, 0 for none.
    :ivar returning: whether the caller came back at the promised time.
    :ivar avoided: backend servers that failed for this request.
    :ivar shared_tokens: tokens of the parts that other requests share.
    :ivar urgency: rank at backend servers, 0 is served first.
    :ivar target_ms: milliseconds to the first token that the caller aims for.
    :ivar left_ms: milliseconds until the caller stops waiting.
    :ivar pause_ms: longest pause between events that is wanted in
        milliseconds, 0 for any.
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


@dataclass(slots=True)
class Running:
    """A request that holds a slot.

    :ivar ask: the request.
    :ivar backend: backend server that runs it.
    :ivar tokens: tokens delivered so far.
    :ivar running_ms: milliseconds since the slot was granted.
    :ivar first_token_ms: milliseconds from grant to first token, -1 before.
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
    """A slot that its holder gives back.

    :ivar request_id: ID of the request.
    :ivar backend: backend server that ran it.
    :ivar tokens: tokens delivered.
    :ivar first_token_ms: milliseconds from grant to first token, -1 if none.
    :ivar running_ms: milliseconds that the slot was held.
    :ivar whole: whether the answer was completed.
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
class Grant:
    """A slot on a backend server.

    :ivar request_id: ID of the request.
    :ivar backend: name of the backend server.
    :ivar prefill_tokens: prompt tokens that it probably has to prefill.
    """

    request_id: str
    backend: str
    prefill_tokens: int = 0


@dataclass(slots=True)
class Denial:
    """A refusal by the allocator.

    :ivar request_id: ID of the request.
    :ivar reason: a value of ``Reason``.
    :ivar retry_after_ms: milliseconds until the caller should come back.
    :ivar wait_ms: expected wait that led to the refusal.
    :ivar ahead: waiting requests that would be served first.
    """

    request_id: str
    reason: str
    retry_after_ms: int = 0
    wait_ms: int = 0
    ahead: int = 0


@dataclass(slots=True)
class Pause:
    """An order to pause or resume a running stream.

    :ivar request_id: ID of the request.
    :ivar paused: true to pause, false to resume.
    """

    request_id: str
    paused: bool


@dataclass(slots=True)
class GroupAsk:
    """What an entry host tells the allocator of a group.

    :ivar group: group key, ``service/index``.
    :ivar full: whether the lists hold the host's whole state.
    :ivar asks: requests that wait.
    :ivar running: requests that hold slots.
    :ivar done: slots given back.
    :ivar withdrawn: waiting requests that no longer want a slot.
    """

    group: str
    full: bool = False
    asks: list[Ask] = field(default_factory=list)
    running: list[Running] = field(default_factory=list)
    done: list[Done] = field(default_factory=list)
    withdrawn: list[str] = field(default_factory=list)


@dataclass(slots=True)
class GroupReply:
    """What the allocator of a group tells an entry host.

    :ivar group: group key, ``service/index``.
    :ivar term: number that grows when the allocator starts anew.
    :ivar grants: slots given.
    :ivar denials: refusals.
    :ivar pauses: streams to pause or resume.
    :ivar load_permille: expected wait of the group relative to its slots.
    """

    group: str
    term: int = 0
    grants: list[Grant] = field(default_factory=list)
    denials: list[Denial] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)
    load_permille: int = 0


@dataclass(slots=True)
class MemberUpdate:
    """News about an entry host.

    :ivar host: name of the host.
    :ivar incarnation: start time of its process in milliseconds.
    :ivar counter: number that orders updates of one incarnation.
    :ivar status: a value of ``MemberStatus``.
    :ivar data_centre: data centre of the host.
    :ivar caller_address: ``address:port`` for callers.
    :ivar peer_address: ``address:port`` for other daemons.
    :ivar load: requests in progress.
    :ivar capacity: share of a processor that the host has, in percent; 0 when
        it is not known.
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


@dataclass(slots=True)
class BackendUpdate:
    """News about a backend server.

    :ivar service_name: name of the service.
    :ivar name: name of the backend server.
    :ivar incarnation: incarnation that the platform's list gave.
    :ivar leaving: whether it no longer accepts new work.
    """

    service_name: str
    name: str
    incarnation: int
    leaving: bool


@dataclass(slots=True)
class Revision:
    """The newest revision of a document that a host knows of.

    :ivar service_name: name of the service.
    :ivar number: revision number.
    :ivar age_ms: milliseconds since the host knew that it is the newest, -1
        when it does not.
    """

    service_name: str
    number: int
    age_ms: int = -1


@dataclass(slots=True)
class Batch:
    """Everything that one host has for another at one time.

    :ivar sender: name of the sending host.
    :ivar incarnation: incarnation of the sending host.
    :ivar asks: messages to the receiver as an allocator.
    :ivar replies: messages to the receiver as an entry host.
    :ivar members: news about entry hosts.
    :ivar backends: news about backend servers.
    :ivar revisions: document revisions in force at the sender.
    :ivar complete: whether the revisions are all that a serving host has.
    """

    sender: str
    incarnation: int
    asks: list[GroupAsk] = field(default_factory=list)
    replies: list[GroupReply] = field(default_factory=list)
    members: list[MemberUpdate] = field(default_factory=list)
    backends: list[BackendUpdate] = field(default_factory=list)
    revisions: list[Revision] = field(default_factory=list)
    complete: bool = False


@dataclass(slots=True)
class ClaimAsk:
    """A question whether a keyed request may run.

    :ivar key: idempotency key.
    :ivar nonce: identity of this attempt.
    :ivar host: entry host that wants to run it.
    :ivar fingerprint: hash of the request, to notice a reused key.
    """

    key: str
    nonce: str
    host: str
    fingerprint: int


@dataclass(slots=True)
class ClaimReply:
    """The decision on a keyed request.

    :ivar verdict: a value of ``ClaimVerdict``.
    :ivar host: entry host that ran or runs it.
    """

    verdict: str
    host: str = ''


@dataclass(slots=True)
class DocumentCopy:
    """A copy of a document held by a peer.

    :ivar service_name: name of the service.
    :ivar revision: revision number, 0 when none is held.
    :ivar source: text of the document.
    """

    service_name: str
    revision: int
    source: str


@dataclass(slots=True)
class ObjectCopy:
    """A copy of an object of the platform.

    :ivar name: name within its kind.
    :ivar version: version of the object.
    :ivar body: stored text.
    """

    name: str
    version: int
    body: str


@dataclass(slots=True)
class ChangeAsk:
    """A question to a reader of the platform for changes of a kind.

    :ivar kind: kind of the objects.
    :ivar known: version of the listing that the asking host has.
    :ivar wait_ms: longest wait for a change in milliseconds.
    """

    kind: str
    known: int
    wait_ms: int


@dataclass(slots=True)
class Changes:
    """What a reader of the platform knows of a kind.

    :ivar kind: kind of the objects.
    :ivar revision: version of the reader's listing, 0 when it has none.
    :ivar age_ms: milliseconds since the reader sent the read that showed it.
    :ivar waited_ms: milliseconds that the answer waited for a change.
    :ivar whole: whether the entries are all objects of the kind.
    :ivar large: whether there are changes that were left out for their size.
    :ivar entries: objects that are new or have changed.
    :ivar gone: names of objects that were removed.
    """

    kind: str
    revision: int
    age_ms: int = 0
    waited_ms: int = 0
    whole: bool = False
    large: bool = False
    entries: list[ObjectCopy] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
