"""Synthetic workloads of prompts, modelled on the users' sheets."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from types import MappingProxyType

from standins.emulation.loads import (
    LengthDistribution,
    PromptClass,
    SharedParts,
    Workload,
)
from standins.models.batches import BatchProfile

#: Prefill speed for which the rates of the counter are meant.
_COUNTER_TOKENS_PER_MS = 157
#: Time that attention takes for a million pairs of tokens, as a multiple of the
#: time to prefill a token.
_ATTENTION_MS_PER_MILLION = 18.0

_DRAFTS = PromptClass(
    name='draft',
    rate=15,
    target_s=1,
    pause_s=0.8,
    patience_s=8,
    worth=1.3,
    late_worth=0.66,
    priority=2,
    own=LengthDistribution(3700, 1.1, 53000),
    output=LengthDistribution(24, 1.4, 96),
    common=None,
    shared=SharedParts(LengthDistribution(13300, 0.7, 40000), 320),
)
_SUMMARIES = PromptClass(
    name='summary',
    rate=11,
    target_s=0.4,
    pause_s=0.3,
    patience_s=5,
    worth=2,
    late_worth=0.96,
    priority=1,
    own=LengthDistribution(2900, 1, 40000),
    output=LengthDistribution(10, 1.4, 42),
    common=SharedParts(LengthDistribution(2500, 0.4, 6300), 4),
    shared=SharedParts(LengthDistribution(3800, 0.7, 11300), 240),
    attempts=2,
)
_QUESTIONS = PromptClass(
    name='question',
    rate=16,
    target_s=0.25,
    pause_s=0.2,
    patience_s=10,
    worth=2.3,
    late_worth=0.36,
    priority=0,
    own=LengthDistribution(1100, 1, 3800),
    output=LengthDistribution(34, 0.89, 120),
    common=SharedParts(LengthDistribution(210, 0.4, 520), 20),
    shared=SharedParts(LengthDistribution(140, 0.7, 420), 150),
)


_DIGESTS = PromptClass(
    name='digest',
    rate=26,
    target_s=2.045,
    pause_s=1,
    patience_s=12.3,
    worth=2.2,
    late_worth=0.64,
    priority=2,
    own=LengthDistribution(6610, 1.4, 54600),
    output=LengthDistribution(48, 0.44, 140),
    common=SharedParts(LengthDistribution(512, 0.4, 1280), 3),
    shared=SharedParts(LengthDistribution(4870, 0.7, 14600), 320),
)
_REPLIES = PromptClass(
    name='reply',
    rate=10,
    target_s=0.319,
    pause_s=0.25,
    patience_s=12.7,
    worth=2.5,
    late_worth=0.22,
    priority=0,
    own=LengthDistribution(628, 1, 3310),
    output=LengthDistribution(36, 0.69, 119),
    common=SharedParts(LengthDistribution(119, 0.4, 298), 10),
    shared=SharedParts(LengthDistribution(79, 0.7, 238), 130),
    attempts=2,
)
_TAGS = PromptClass(
    name='tag',
    rate=28,
    target_s=0.422,
    pause_s=0.4,
    patience_s=3.2,
    worth=1.1,
    late_worth=0.33,
    priority=1,
    own=LengthDistribution(1800, 1.3, 6870),
    output=LengthDistribution(3, 0.7, 11),
    common=SharedParts(LengthDistribution(341, 0.4, 851), 4),
    shared=SharedParts(LengthDistribution(227, 0.7, 681), 250),
)
_SHELTER_PROFILE = BatchProfile(
    slots=12,
    kv_tokens=452357,
    step_s=0.00388,
    running_s=0.0000276,
    context_s=0.00000365,
    prefill_rate=66200,
    attention_s=0.000276,
    chunk=2048,
    stride=8,
    queue=25,
)
_LENS_PROFILE = BatchProfile(
    slots=64,
    kv_tokens=614750,
    step_s=0.00337,
    prefill_rate=61200,
    attention_s=0.000294,
    stride=6,
    queue=64,
)
#: Time that the engines of three data centres take, as multiples of the usual.
_SLOWNESS = (0.7, 0.7, 1.7)


def _list_workloads() -> Iterator[Workload]:
    counter = (_DRAFTS, _SUMMARIES, _QUESTIONS)
    desk = tuple(
        replace(
            entry,
            rate=entry.rate * 4 / 3,
            late_worth=entry.late_worth / 5,
        )
        for entry in counter
    )
    for name, classes, engines, hosts in (
        ('counter', counter, 5, 6),
        ('desk', desk, 6, 8),
    ):
        for factor in (1, 2, 3):
            yield Workload(f'{name}-{factor}x', classes, engines, hosts, factor)
        crashing = Workload(
            f'{name}-2x-crash', classes, engines, hosts, 2, crash=True
        )
        yield crashing
        yield replace(
            crashing, name=f'{name}-2x-cold', burst_at_s=0, crash=False
        )
    yield from _list_shelter_workloads()
    yield from _list_speed_workloads()
    yield from _list_uneven_workloads()


def _list_speed_workloads() -> Iterator[Workload]:
    """List workloads in proportion to engines of very different speeds."""
    engines = 3
    for tokens_per_ms, slots, kv_tokens in (
        (20, 6, 150000),
        (66, 12, 450000),
        (300, 64, 1300000),
    ):
        share = tokens_per_ms / _COUNTER_TOKENS_PER_MS * engines / 5
        yield Workload(
            f'speed-{tokens_per_ms}',
            tuple(
                replace(entry, rate=entry.rate * share)
                for entry in (_DRAFTS, _SUMMARIES, _QUESTIONS)
            ),
            engines=engines,
            hosts=4,
            burst=2,
            profile=BatchProfile(
                slots=slots,
                kv_tokens=kv_tokens,
                prefill_rate=tokens_per_ms * 1000,
                attention_s=_ATTENTION_MS_PER_MILLION / tokens_per_ms / 1000,
                queue=2 * slots,
            ),
        )


def _list_uneven_workloads() -> Iterator[Workload]:
    """List workloads of engines that differ, or hold few parts."""
    uneven = Workload(
        'uneven',
        (
            replace(_DRAFTS, rate=16, target_s=2.06),
            replace(_SUMMARIES, rate=9, target_s=0.65, pause_s=0.6),
            replace(_QUESTIONS, rate=22, target_s=0.43, pause_s=0.4),
        ),
        engines=12,
        hosts=6,
        burst=2,
        profile=_LENS_PROFILE,
        slowness=_SLOWNESS,
    )
    yield uneven
    yield replace(uneven, name='uneven-cold', burst_at_s=0)
    yield replace(uneven, name='uneven-crash', crash=True)
    crowded = Workload(
        'crowded',
        (_DRAFTS, _SUMMARIES, _QUESTIONS),
        engines=5,
        hosts=6,
        burst=1.5,
        profile=BatchProfile(kv_tokens=450000),
    )
    yield crowded
    yield replace(crowded, name='crowded-untold', tells_memory=False)


def _list_shelter_workloads() -> Iterator[Workload]:
    grown = Workload(
        'shelter-grown',
        (_DIGESTS, _REPLIES, _TAGS),
        engines=14,
        hosts=8,
        burst=1,
        burst_at_s=0.5,
        bursting='digest',
        profile=_SHELTER_PROFILE,
    )
    small = replace(
        grown,
        name='shelter',
        classes=(
            replace(
                _DIGESTS,
                rate=11.4,
                patience_s=15,
                output=LengthDistribution(76, 0.44, 200),
            ),
            replace(
                _REPLIES,
                rate=14.8,
                patience_s=15,
                output=LengthDistribution(58, 0.69, 191),
            ),
            replace(_TAGS, rate=16, output=LengthDistribution(4.5, 1.4, 18)),
        ),
        engines=5,
        hosts=6,
        profile=replace(
            _SHELTER_PROFILE, slots=64, kv_tokens=705524, stride=5, queue=134
        ),
    )
    for workload, factors in ((grown, (1, 3.3)), (small, (1, 2.2))):
        for factor in factors:
            loaded = replace(
                workload, name=f'{workload.name}-{factor:g}x', burst=factor
            )
            yield loaded
            yield replace(loaded, name=f'{loaded.name}-crash', crash=True)


#: Workloads by name. The rates are usual, multiplied during a burst and usual
#: again. ``counter`` has five engines; ``desk`` has six, and late responses are
#: worth little there; ``cold`` begins with the burst, while all caches are
#: empty. In ``shelter`` only the longest prompts burst, on slower engines and
#: with long responses; ``shelter-grown`` has more engines with few slots. The
#: engines of ``speed`` prefill 20 to 300 tokens a millisecond, those of
#: ``uneven`` differ by data centre, and those of ``crowded`` hold only some of
#: the prompt parts.
WORKLOADS = MappingProxyType(
    {workload.name: workload for workload in _list_workloads()}
)
