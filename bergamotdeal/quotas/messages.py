"""Messages between the entries, the bucket owners and the counted hosts."""

import enum

import msgspec

MAX_ITEMS = 32
"""Maximum number of organisations in one datagram."""

MAX_WANTED = 255
MAX_ACTIVE = 100
"""Maximum number of active hosts in one reply; the repliers choose at random,
so a host that asks all of them learns all."""


class Want(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that an entry asks for.

    Attributes:
      digest: Digest of the organisation's name.
      tokens: Number of tokens.
    """

    digest: int
    tokens: int


class TokenRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request of an entry to a bucket owner.

    Attributes:
      number: Number that the grant repeats, used only once by its entry.
      wants: Tokens by organisation.
    """

    number: int
    wants: tuple[Want, ...]


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that a bucket owner moves to an entry.

    Attributes:
      digest: Digest of the organisation's name.
      is_owner: Whether the sender grants tokens of this organisation now.
      tokens: Number of tokens; zero is a refusal.
      level: Tokens left in the bucket.
      wait_ms: Milliseconds until the entry should ask again.
      lifetime_ms: Lifetime of the tokens from the time of the request.
    """

    digest: int
    is_owner: bool
    tokens: int = 0
    level: int = 0
    wait_ms: int = 0
    lifetime_ms: int = 0


class TokenGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a ``TokenRequest``.

    Attributes:
      number: Number of the request.
      grants: Grants and refusals by organisation.
    """

    number: int
    grants: tuple[Grant, ...]


class Stage(enum.IntEnum):
    """Progress of a process towards granting tokens."""

    ANNOUNCED = 0  # Asks the others for what they know.
    COMMITTED = 1  # The others count the host and grant nothing in its place.
    ACTIVE = 2  # The host grants tokens.


class Introduction(msgspec.Struct, frozen=True, kw_only=True):
    """Introduction of a process to another host.

    Attributes:
      host_id: Host of the sender.
      nonce: Random number of the sender's attempt to become active.
      stage: Stage of the sender.
    """

    host_id: str
    nonce: int
    stage: Stage


class IntroductionReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an ``Introduction``.

    Attributes:
      host_id: Host of the replier.
      nonce: Nonce of the introduction.
      stage: Stage of the introduction.
      was_active: Whether the replier knew the sender as active before.
      may_have_removed: Whether the replier has been active for long enough to
        have stopped counting a host.
      is_counted: Whether the replier counts the sender now.
      own_stage: Stage of the replier.
      active_count: Number of active hosts that the replier counts, without
        the sender.
      active: Digests of active hosts that the replier counts, without the
        sender.
    """

    host_id: str
    nonce: int
    stage: Stage
    was_active: bool = False
    may_have_removed: bool = False
    is_counted: bool = False
    own_stage: Stage = Stage.ANNOUNCED
    active_count: int = 0
    active: tuple[int, ...] = ()


Message = TokenRequest | TokenGrant | Introduction | IntroductionReply
