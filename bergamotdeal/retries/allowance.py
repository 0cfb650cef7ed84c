"""The re-sends that one user request may still cause.

The allowance is minted once, at the entry. A copied counter would be spent
once by each of several parallel calls, so the tokens are kept in one place
per running request and move along with calls and answers. Tokens that a lost
call carried are lost; none is ever made twice.
"""


class Allowance:
    """Tokens of one running request or of one exchange at an entry."""

    __slots__ = ("_closed", "tokens")

    def __init__(self, *, tokens: int = 0):
        self.tokens = tokens
        self._closed = False

    def split_for_call(self) -> int:
        """Removes the tokens that a call carries away.

        The larger half goes along, so that a deep chain keeps a token at
        several levels.

        Returns:
          The number of tokens to put on the call.
        """
        share = (self.tokens + 1) // 2
        self.tokens -= share
        return share

    def spend(self, count: int) -> bool:
        """Uses tokens for re-sends.

        Args:
          count: One for each frame that repeats an earlier one.

        Returns:
          Whether there were enough; if not, none is used.
        """
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def return_unspent(self, tokens_left: int, *, carried: int) -> None:
        """Returns the tokens that came back with an answer.

        Args:
          tokens_left: Tokens that the answer reports as unspent.
          carried: Tokens that the call took away; no more can come back.
        """
        if self._closed:
            return
        self.tokens += max(0, min(tokens_left, carried))

    def close(self) -> int:
        """Ends the request; what comes back later is lost.

        Returns:
          The unspent tokens, which go up with the answer.
        """
        tokens, self.tokens = self.tokens, 0
        self._closed = True
        return tokens
