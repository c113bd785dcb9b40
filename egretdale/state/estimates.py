"""Cost estimates derived from finished requests."""

from __future__ import annotations

import statistics
from collections import deque

from egretdale.state.documents import RequestClass
from egretdale.util.averages import smooth

_LENGTH_SMOOTHING = 0.02
_HISTORY = 256
_QUANTILE_STEPS = 10
_HIGH_DECILE = 8
_MINIMUM_HISTORY = 10
_QUANTILE_PERIOD = 8
_INITIAL_PREFILL_RATE = 4000.0
_INITIAL_TOKEN_S = 0.02
_SCALE_RANGE = 4.0
_MINIMUM_HOLD_S = 0.001


class ClassEstimate:
    """Running estimates of the cost of requests of a class.

    :ivar first_token_s: mean seconds from the grant to the first token,
        ``None`` before the first measurement.
    :ivar token_s: mean seconds between two tokens.
    :ivar prompt_tokens: mean prompt length in tokens.
    """

    __slots__ = (
        '_high_length',
        '_learned',
        '_lengths',
        '_tokens',
        'first_token_s',
        'prompt_tokens',
        'token_s',
    )

    def __init__(self, request_class: RequestClass, *, streams: bool) -> None:
        """Start from the values in the document.

        :param request_class: the class.
        :param streams: whether backend servers of the service stream tokens.
        """
        self.token_s = _INITIAL_TOKEN_S if streams else float(0)
        self.first_token_s: float | None = None
        self.prompt_tokens = float(0)
        self._tokens = float(request_class.expected_output_tokens)
        self._lengths: deque[int] = deque(maxlen=_HISTORY)
        self._high_length = float(0)
        self._learned = 0

    def learn_length(self, tokens: int) -> None:
        """Update the output length from a finished request.

        :param tokens: length of its output.
        """
        self._lengths.append(tokens)
        # The first samples quickly replace the value from the document.
        weight = max(1 / (len(self._lengths) + 1), _LENGTH_SMOOTHING)
        self._tokens = smooth(self._tokens, tokens, weight)
        self._learned += 1
        due = self._learned % _QUANTILE_PERIOD == 0
        if due and len(self._lengths) >= _MINIMUM_HISTORY:
            deciles = statistics.quantiles(self._lengths, n=_QUANTILE_STEPS)
            self._high_length = deciles[_HIGH_DECILE]

    def learn(
        self,
        prompt_tokens: int,
        tokens: int,
        first_token_s: float,
        running_s: float,
    ) -> None:
        """Update the times from a finished request.

        :param prompt_tokens: length of its prompt.
        :param tokens: length of its output.
        :param first_token_s: seconds from the grant to the first token.
        :param running_s: seconds that the slot was held.
        """
        if self.first_token_s is None:
            self.first_token_s = first_token_s
            self.prompt_tokens = float(prompt_tokens)
        self.first_token_s = smooth(self.first_token_s, first_token_s)
        self.prompt_tokens = smooth(self.prompt_tokens, prompt_tokens)
        if tokens > 1:
            sample = (running_s - first_token_s) / (tokens - 1)
            self.token_s = smooth(self.token_s, max(float(0), sample))

    def predict_first_token_s(self, prompt_tokens: int) -> float:
        """Predict the time from the grant to the first token.

        :param prompt_tokens: length of the prompt.
        :return: seconds.
        """
        if self.first_token_s is None:
            return prompt_tokens / _INITIAL_PREFILL_RATE
        if self.prompt_tokens < 1:
            return self.first_token_s
        scale = prompt_tokens / self.prompt_tokens
        clamped = max(1 / _SCALE_RANGE, min(_SCALE_RANGE, scale))
        return self.first_token_s * clamped

    def predict_hold_s(self, prompt_tokens: int, maximum_tokens: int) -> float:
        """Predict how long a slot is held.

        :param prompt_tokens: length of the prompt.
        :param maximum_tokens: output limit set by the caller, 0 for none.
        :return: seconds.
        """
        tokens = self._tokens
        if maximum_tokens:
            tokens = min(tokens, float(maximum_tokens))
        first_token_s = self.predict_first_token_s(prompt_tokens)
        return max(_MINIMUM_HOLD_S, first_token_s + tokens * self.token_s)

    def predict_output_tokens(self, maximum_tokens: int) -> int:
        """Predict an output length that few requests exceed.

        :param maximum_tokens: output limit set by the caller, 0 for none.
        :return: tokens.
        """
        tokens = self._high_length or self._tokens * 2
        if maximum_tokens:
            tokens = min(tokens, float(maximum_tokens))
        return max(1, round(tokens))
