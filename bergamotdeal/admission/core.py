"""Data types of admission control: jobs and the decisions on them."""

import math

import msgspec

from bergamotdeal.errors import core as errors


class Job(msgspec.Struct, kw_only=True):
    """A request that asks for a slot of the backend server.

    Attributes:
      job_id: Identifier chosen by the code that submits the job.
      class_rank: Rank of the job's priority class; 0 is the most important.
      hash_share: Hash of the user request id mapped to [0, 1).
      deadline: Time by which the run must end, monotonic seconds.
      arrived: Time of arrival, monotonic seconds.
      organisation: Organisation of the user request, or empty.
      weight: Weight of the organisation in fair sharing.
      target: Time by which the answer keeps its full value, monotonic seconds;
        infinite if the request has no target latency.
      calls_made: Number of calls that its call tree is known to have made,
        this one included if a run made it; zero for a new tree.
    """

    job_id: int
    class_rank: int
    hash_share: float
    deadline: float
    arrived: float
    organisation: str = ""
    weight: float = 1.0
    target: float = math.inf
    calls_made: int = 0


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """Decision to send a job to the backend server; it now holds a slot."""

    job_id: int


class Refuse(msgspec.Struct, frozen=True, kw_only=True):
    """Decision to reject a job that has not started.

    The controller keeps no state for the job after this decision.
    """

    job_id: int
    kind: errors.ErrorKind


class Preempt(msgspec.Struct, frozen=True, kw_only=True):
    """Decision to cancel a running job whose slot goes to another job."""

    job_id: int


Decision = Start | Refuse | Preempt
