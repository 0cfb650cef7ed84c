"""Events that the follower of the preset in force takes, and its effects."""

import msgspec

from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages as gossip
from bergamotdeal.presets import model


class EpochAdvertised(msgspec.Struct, frozen=True, kw_only=True):
    """Another node has a preset of this epoch in force.

    Attributes:
      epoch: Epoch at the other node.
      host_id: Host id of the other node.
    """

    epoch: int
    host_id: str


class MembershipUpdated(msgspec.Struct, frozen=True, kw_only=True):
    """The membership view changed."""

    members_by_id: dict[str, membership.Member]


class PullAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """A node answered a pull."""

    host_id: str
    response: gossip.PresetResponse


class PullFailed(msgspec.Struct, frozen=True, kw_only=True):
    """A pull got no usable answer."""

    host_id: str


class PresetPushed(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's command pushed an accepted switch to this node.

    Attributes:
      document: The object in force as accepted by the store.
    """

    document: bytes


class StoreRead(msgspec.Struct, frozen=True, kw_only=True):
    """The object in force was read from the store.

    Attributes:
      document: The object in force, or None if there is none yet.
    """

    document: bytes | None


class StoreFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The store could not be read.

    Attributes:
      reason: Description of the failure.
    """

    reason: str


class TimePassed(msgspec.Struct, frozen=True, kw_only=True):
    """The time that ``next_wakeup`` returned has come."""


Event = (
    EpochAdvertised
    | MembershipUpdated
    | PullAnswered
    | PullFailed
    | PresetPushed
    | StoreRead
    | StoreFailed
    | TimePassed
)


class Pull(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to request the preset in force from a node.

    Attributes:
      host_id: Host id of the node.
      known_digests: Digests of the sections that this node already has.
    """

    host_id: str
    known_digests: tuple[bytes, ...]


class ReadStore(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to read the object in force from the store once."""


class WatchStore(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to start or stop watching the object in force.

    Attributes:
      watch: Whether to start (true) or stop (false).
    """

    watch: bool


class Apply(msgspec.Struct, frozen=True, kw_only=True):
    """An instruction to put a preset in force at this node.

    Attributes:
      epoch: Epoch of the preset.
      preset: The preset.
    """

    epoch: int
    preset: model.Preset


class Reject(msgspec.Struct, frozen=True, kw_only=True):
    """A notice that a received preset was rejected.

    Attributes:
      epoch: Epoch of the preset, or the current epoch if it is unknown.
      reason: Why the preset was rejected.
    """

    epoch: int
    reason: str


Effect = Pull | ReadStore | WatchStore | Apply | Reject
