"""What the checked switches and their tests exchange."""

import dataclasses
import enum

import result

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import follower as followers
from bergamotdeal.presets import switch as switches
from bergamotdeal.store import core as store_core


class Step(enum.Enum):
    """Where a switch stands when a fault is injected."""

    READING = "reading"
    WRITING = "writing"
    WRITTEN = "written"
    ACCEPTED = "accepted"
    FIRST_IN_FORCE = "first in force"
    PULLING = "pulling"


@dataclasses.dataclass(kw_only=True, eq=False)
class Node:
    """A node's follower.

    Attributes:
      member: The node as the others know it.
      follower: Its follower, or None while the node is down.
      paused: Whether its process is stopped.
      pending_events: Events that wait for a paused process.
      mute_until: Time up to which its open connections swallow pulls.
    """

    member: membership.Member
    follower: followers.Follower | None
    paused: bool = False
    pending_events: list[followers.Event] = dataclasses.field(
        default_factory=list
    )
    mute_until: float = 0.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Operator:
    """An operator's command, run again with its id while it is unknown.

    Attributes:
      name: Name of the preset to switch to.
      machine: The switch.
      outcomes: What each run of the command told the operator.
    """

    name: str
    machine: switches.SwitchStateMachine
    outcomes: list[switches.Outcome] = dataclasses.field(default_factory=list)


def make_unavailable_error(
    *, may_have_applied: bool = False
) -> result.Result[int, store_core.Failure]:
    """Returns the failure of a store that gave no answer."""
    return result.Err(
        store_core.Failure(
            kind=store_core.FailureKind.UNAVAILABLE,
            detail="no answer",
            may_have_applied=may_have_applied,
        )
    )
