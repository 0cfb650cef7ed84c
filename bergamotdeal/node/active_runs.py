"""Runs in progress on the connections to the backend server."""

import math

import msgspec

from bergamotdeal.calls import messages
from bergamotdeal.node import server_connection

_MS_PER_S = 1000


class ActiveRun(msgspec.Struct, kw_only=True):
    """Run in progress.

    Attributes:
      connection: Connection that carries the run.
      instance: Instance of the server that the run was sent to.
      sent_at: Time when the run was sent, in monotonic seconds.
      deadline: Time at which the run times out, in monotonic seconds.
      answer_due_at: Time at which the run is overdue, in monotonic seconds.
    """

    connection: server_connection.ServerConnection
    instance: str
    sent_at: float
    deadline: float
    answer_due_at: float


def build_active_run(
    run: messages.StartRun,
    *,
    connection: server_connection.ServerConnection,
    instance: str,
    now: float,
) -> ActiveRun:
    """Builds the record of a run that is sent now.

    Args:
      run: The run.
      connection: Connection that carries it.
      instance: Instance of the server that it is sent to.
      now: Monotonic seconds.
    """
    answer_due_at = math.inf
    if run.answer_due_ms:
        answer_due_at = now + run.answer_due_ms / _MS_PER_S
    return ActiveRun(
        connection=connection,
        instance=instance,
        sent_at=now,
        deadline=now + run.deadline_ms / _MS_PER_S,
        answer_due_at=answer_due_at,
    )
