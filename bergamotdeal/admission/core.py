"""Main types of admission: jobs and the decisions on them."""

import dataclasses

from bergamotdeal.errors import core as errors


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """A request that asks for a slot of the backend server.

    Attributes:
      job_id: Number that the caller of the controller chose.
      class_rank: Rank of its class, zero for the most important one.
      hash_share: Hash of the user request id, in [0, 1).
      deadline: Time by which the run must have ended, monotonic seconds.
      arrived: Time of arrival, monotonic seconds.
    """

    job_id: int
    class_rank: int
    hash_share: float
    deadline: float
    arrived: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """Hand the job over to the backend server; it holds a slot from now on."""

    job_id: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """Answer a job that was not started; the controller has forgotten it."""

    job_id: int
    kind: errors.ErrorKind


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Preempt:
    """Cancel a running job; the controller has given its slot away."""

    job_id: int


Decision = Start | Refuse | Preempt
