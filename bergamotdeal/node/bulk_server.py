"""Answers bulk requests of other nodes."""

import result

from bergamotdeal.membership import messages
from bergamotdeal.node import membership as membership_task
from bergamotdeal.node import presets as preset_task
from bergamotdeal.wire import gossip


class MalformedRequestError(Exception):
    """A bulk request can't be read, or is none."""


class BulkServer:
    """Hands each bulk request to the task that it is for.

    Args:
      membership: The membership task.
      presets: The preset task.
    """

    def __init__(
        self,
        *,
        membership: membership_task.MembershipTask,
        presets: preset_task.PresetTask,
    ) -> None:
        self._membership = membership
        self._presets = presets

    def serve(self, payload: bytes) -> bytes:
        """Answers one request.

        Args:
          payload: The encoded request.

        Returns:
          The encoded response.

        Raises:
          MalformedRequestError: The payload holds no request.
        """
        match gossip.decode_bulk(payload):
            case result.Ok(messages.PresetRequest() as request):
                answer = self._presets.serve(request)
            case result.Ok(
                messages.SyncRequest() | messages.SyncPush() as request
            ):
                answer = self._membership.serve(request)
            case result.Ok(other):
                raise MalformedRequestError(type(other).__name__)
            case result.Err(reason):
                raise MalformedRequestError(reason)
        return gossip.encode_bulk(answer)
