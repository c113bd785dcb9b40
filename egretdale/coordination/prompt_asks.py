"""Requests to an allocator for an engine."""

from __future__ import annotations

from collections.abc import Iterable

from egretdale.coordination.progress import Progress
from egretdale.state.messages import Ask
from egretdale.util.clocks import convert_to_ms
from egretdale.util.hashing import fold_identity


def create_ask(
    progress: Progress, suspended: Iterable[str], left_s: float
) -> Ask:
    """Create the request of a prompt for an engine.

    :param progress: state of the request.
    :param suspended: names of engines that are suspended after failures.
    :param left_s: seconds until the caller stops waiting.
    :return: the request.
    """
    admitted = progress.admitted
    prompt = admitted.request.prompt
    part = prompt.find_affinity()
    return Ask(
        admitted.request.request_id,
        admitted.route.name,
        admitted.organisation,
        prompt_tokens=prompt.tokens,
        maximum_tokens=prompt.maximum_output,
        prefix=0 if part is None else fold_identity(part.identity),
        avoided=[*progress.avoided, *suspended],
        shared_tokens=min(prompt.count_shared(), prompt.tokens),
        urgency=admitted.urgency,
        target_ms=convert_to_ms(admitted.route.target_s),
        left_ms=convert_to_ms(left_s),
        pause_ms=convert_to_ms(admitted.route.pause_target_s),
        software_version=progress.software_version,
    )
