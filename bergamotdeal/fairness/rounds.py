"""Rounds of start-time fair queueing among organisations.

In each round an organisation of average weight may start one job. A job that
arrives gets the round in which its organisation, with the jobs that it has
started and queued before, is due. Rounds that are over are not made up for.
"""

_BURST_JOBS = 2.0
"""Jobs by which an organisation may be ahead without going behind others."""

MAX_ORGANISATIONS = 512
"""Maximum organisations that are ahead of the current round in one class."""


class FairRounds:
    """Rounds of the jobs of one priority class."""

    def __init__(self) -> None:
        self._current = 0
        self._due_by_organisation: dict[str, float] = {}

    @property
    def current(self) -> int:
        """Round of the jobs that start now."""
        return self._current

    def assign(self, organisation: str, weight: float) -> int:
        """Returns the round of a job that arrives.

        Args:
          organisation: Organisation of the job.
          weight: Weight of the organisation.
        """
        due = self._due_by_organisation.get(organisation)
        if due is None:
            self._make_room()
        due = max(self._current, due or 0.0)
        if len(self._due_by_organisation) < MAX_ORGANISATIONS:
            self._due_by_organisation[organisation] = due + 1.0 / weight
        return max(self._current, int(due - _BURST_JOBS / weight))

    def record_start(self, assigned_round: int) -> None:
        """Records the start of a job with its round."""
        self._current = max(self._current, assigned_round)

    def withdraw(self, organisation: str, weight: float) -> None:
        """Takes back a job that leaves without a start."""
        due = self._due_by_organisation.get(organisation)
        if due is not None:
            self._due_by_organisation[organisation] = due - 1.0 / weight

    def _make_room(self) -> None:
        if len(self._due_by_organisation) < MAX_ORGANISATIONS:
            return
        self._due_by_organisation = {
            name: due
            for name, due in self._due_by_organisation.items()
            if due > self._current
        }
