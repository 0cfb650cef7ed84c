"""Replies of the other hosts to the introductions of this one."""

import msgspec

from bergamotdeal.quotas import messages

_Stage = messages.Stage


class Reply(msgspec.Struct, kw_only=True):
    """Reply of another host in the current attempt to become active.

    Attributes:
      stage: Highest stage that it has confirmed.
      was_active: Whether it knew this host as active before the attempt.
      may_have_removed: Whether it has been active for long enough to have
        stopped counting a host.
      active_count: Number of other active hosts that it counts.
      is_active: Whether it grants tokens itself.
    """

    stage: messages.Stage
    was_active: bool
    may_have_removed: bool
    active_count: int
    is_active: bool


class ReplyTable:
    """The replies in one attempt to become active.

    Attributes:
      by_host: The replies by host.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, Reply] = {}

    @property
    def has_active_replier(self) -> bool:
        """Whether any of the hosts grants tokens."""
        return any(reply.is_active for reply in self.by_host.values())

    def record(self, message: messages.IntroductionReply) -> None:
        """Records a reply; later ones keep what was known before the attempt.

        Args:
          message: The reply.
        """
        is_active = message.own_stage is _Stage.ACTIVE
        reply = self.by_host.get(message.host_id)
        if reply is None:
            self.by_host[message.host_id] = Reply(
                stage=message.stage,
                was_active=message.was_active,
                may_have_removed=message.may_have_removed,
                active_count=message.active_count,
                is_active=is_active,
            )
            return
        reply.stage = max(reply.stage, message.stage)
        reply.active_count = message.active_count
        reply.is_active = is_active

    def show_restart(self, listed_count: int | None) -> bool:
        """Returns whether the replies show that this host has only restarted.

        Any two hosts for which this holds have a common replier, and those
        that grant tokens counted this host before.

        Args:
          listed_count: Number of hosts that the store lists, this one among
            them, or None if the list may be incomplete.
        """
        if listed_count is None:
            return False
        has_majority = 2 * (1 + len(self.by_host)) > listed_count
        return has_majority and all(
            reply.was_active
            for reply in self.by_host.values()
            if reply.is_active
        )
