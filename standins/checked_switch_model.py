"""Data types of the simulated preset switches."""

import dataclasses
import enum

import result

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import follower as followers
from bergamotdeal.presets import messages
from bergamotdeal.presets import switch as switches
from bergamotdeal.store import core as store_core


class Step(enum.Enum):
    """Step of a switch at which a fault can be injected."""

    READING = "reading"
    WRITING = "writing"
    WRITTEN = "written"
    ACCEPTED = "accepted"
    FIRST_IN_FORCE = "first in force"
    PULLING = "pulling"


@dataclasses.dataclass(kw_only=True, eq=False)
class Node:
    """A simulated node with its preset follower.

    Attributes:
      member: Membership record of the node.
      follower: Follower of the preset in force, or None while the node is
        down.
      paused: Whether the process is paused.
      pending_events: Events that arrived while the process was paused.
      mute_until: Time in monotonic seconds until which pulls from the node
        get no answer.
    """

    member: membership.Member
    follower: followers.Follower | None
    paused: bool = False
    pending_events: list[messages.Event] = dataclasses.field(
        default_factory=list
    )
    mute_until: float = 0.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Operator:
    """An operator who reruns the switch command while its outcome is unknown.

    A rerun passes the operation id of the first run.

    Attributes:
      name: Name of the preset to switch to.
      machine: State machine of the first run.
      outcomes: Outcome of each run of the command.
    """

    name: str
    machine: switches.SwitchStateMachine
    outcomes: list[switches.Outcome] = dataclasses.field(default_factory=list)


def make_unavailable_error(
    *, may_have_applied: bool = False
) -> result.Result[int, store_core.Failure]:
    """Builds the error of a store that did not answer.

    Args:
      may_have_applied: Whether the write may have taken effect.
    """
    return result.Err(
        store_core.Failure(
            kind=store_core.FailureKind.UNAVAILABLE,
            detail="the store did not answer",
            may_have_applied=may_have_applied,
        )
    )
