"""Retry allowance of one user request across its call tree.

The allowance is issued once, at the entry. If calls carried a copy of the
counter, parallel calls could each spend all of it, so each token is held in
exactly one place and moves with calls and answers. Tokens carried by a lost
call are lost; no token is ever duplicated.
"""


class Allowance:
    """Retry tokens held by one running request or one exchange at an entry.

    Attributes:
      tokens: Number of retries that may still be spent.
    """

    __slots__ = ("_is_closed", "tokens")

    def __init__(self, *, tokens: int = 0):
        self.tokens = tokens
        self._is_closed = False

    def split_for_call(self) -> int:
        """Removes the tokens that a downstream call carries.

        The call gets the larger half, so that tokens remain available at
        several levels of a deep call chain.

        Returns:
          The number of tokens to attach to the call.
        """
        call_tokens = (self.tokens + 1) // 2
        self.tokens -= call_tokens
        return call_tokens

    def spend(self, count: int) -> bool:
        """Spends tokens on retries.

        Args:
          count: Number of frames that are sent again.

        Returns:
          Whether there were enough tokens; if not, none is spent.
        """
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def return_unspent(self, tokens_left: int, *, carried: int) -> None:
        """Adds the unspent tokens that an answer returns.

        Args:
          tokens_left: Number of unspent tokens reported in the answer.
          carried: Number of tokens that the call carried, the upper bound.
        """
        if self._is_closed:
            return
        self.tokens += max(0, min(tokens_left, carried))

    def close(self) -> int:
        """Closes the allowance; tokens that return later are dropped.

        Returns:
          The number of unspent tokens to return with the answer.
        """
        tokens, self.tokens = self.tokens, 0
        self._is_closed = True
        return tokens
