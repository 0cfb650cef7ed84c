"""Data types of admission control: jobs and the decisions on them."""

import dataclasses
import math

from bergamotdeal.errors import core as errors


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """Decision to send a job to the backend server; it now holds a slot."""

    job_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Decision to reject a job that has not started.

    The controller keeps no state for the job after this decision.
    """

    job_id: int
    kind: errors.ErrorKind


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preempt:
    """Decision to cancel a running job whose slot goes to another job."""

    job_id: int


Decision = Start | Refuse | Preempt
