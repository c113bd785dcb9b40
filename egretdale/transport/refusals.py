"""Responses for refusals, whose details are kept for later queries."""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from egretdale.coordination.node import Node
from egretdale.coordination.requests import CallerRequest, Refusal
from egretdale.errors import Invalid
from egretdale.protocol.problems import (
    CONTENT_TYPE,
    TYPE_PREFIX,
    Problem,
    choose_status,
    format_retry_after,
)
from egretdale.state.identity import (
    RefusalRecord,
    decode_refusal,
    encode_refusal,
)
from egretdale.util.clocks import convert_to_ms, convert_to_seconds

_MAXIMUM_RECORDS = 5000
_RETRY_GRACE_S = 30.0


class RefusalResponse(msgspec.Struct, frozen=True):
    """An HTTP response for a refusal.

    :ivar status: status line.
    :ivar headers: header names and values.
    :ivar body: encoded problem details.
    """

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class RefusalRegistry:
    """Builds responses for refusals and keeps their details."""

    __slots__ = ('_details', '_node')

    def __init__(self, node: Node) -> None:
        """Create an empty registry.

        :param node: coordination components of this host.
        """
        self._node = node
        self._details: OrderedDict[str, str] = OrderedDict()

    def record_refusal(
        self, request: CallerRequest, refusal: Refusal
    ) -> RefusalResponse:
        """Record a refusal and build the response for it.

        :param request: the refused request.
        :param refusal: the refusal.
        :return: the response.
        """
        record = self._create_record(request, refusal)
        refusal_id = encode_refusal(record)
        refused = refusal.refused
        self._details[refusal_id] = refused.detail
        if len(self._details) > _MAXIMUM_RECORDS:
            self._details.popitem(last=False)
        may_retry = refused.retry_after_s is not None
        status = choose_status(refused.reason, may_retry=may_retry)
        problem = Problem(
            TYPE_PREFIX + refused.reason,
            refused.reason.replace('-', ' '),
            int(status.partition(' ')[0]),
            refused.detail,
            request.request_id,
            refusal_id,
            refused.ran,
            refusal.revision,
            refused.retry_after_s,
        )
        headers = [
            ('Content-Type', CONTENT_TYPE),
            ('Egret-Request-Id', request.request_id),
            ('Egret-Refusal-Id', refusal_id),
            ('Egret-Ran', refused.ran),
        ]
        if refused.retry_after_s is not None:
            wait = format_retry_after(refused.retry_after_s)
            headers.append(('Retry-After', wait))
        return RefusalResponse(
            status, tuple(headers), msgspec.json.encode(problem)
        )

    def find_detail(self, refusal_id: str) -> str:
        """Find the explanation of a refusal.

        :param refusal_id: ID of the refusal.
        :return: the explanation; empty if this host has none.
        """
        return self._details.get(refusal_id, '')

    def is_timely_retry(self, refusal_id: str, request: CallerRequest) -> bool:
        """Return whether a caller retries at the time it was promised.

        :param refusal_id: ID of the earlier refusal.
        :param request: the new request.
        :return: true if the request matches the refusal and comes in time.
        """
        record = decode_refusal(refusal_id)
        if isinstance(record, Invalid) or record.retry_after_ms < 0:
            return False
        same = (
            record.service == request.service
            and record.organisation == request.organisation
        )
        now = self._node.dependencies.wall_clock()
        late_s = now - record.at_s - convert_to_seconds(record.retry_after_ms)
        return same and -1 <= late_s <= _RETRY_GRACE_S

    def _create_record(
        self, request: CallerRequest, refusal: Refusal
    ) -> RefusalRecord:
        refused = refusal.refused
        retry_after_ms = -1
        if refused.retry_after_s is not None:
            retry_after_ms = convert_to_ms(refused.retry_after_s)
        return RefusalRecord(
            request.request_id,
            self._node.settings.host,
            math.floor(self._node.dependencies.wall_clock()),
            request.service,
            refusal.class_name,
            request.organisation,
            refused.reason,
            refused.ran,
            refusal.revision,
            retry_after_ms,
            refusal.wait_ms,
        )
