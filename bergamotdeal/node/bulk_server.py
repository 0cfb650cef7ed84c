"""Server side of bulk requests between nodes."""

import result

from bergamotdeal.membership import messages
from bergamotdeal.node import membership as membership_task
from bergamotdeal.node import presets as preset_task
from bergamotdeal.wire import gossip


class MalformedRequestError(Exception):
    """A bulk payload can't be decoded or is not a request."""


class BulkRequestHandler:
    """Dispatcher of bulk requests to the tasks that answer them.

    Args:
      membership: Answers anti-entropy requests.
      presets: Answers preset requests.
    """

    def __init__(
        self,
        *,
        membership: membership_task.MembershipTask,
        presets: preset_task.PresetTask,
    ) -> None:
        self._membership = membership
        self._presets = presets

    def answer(self, payload: bytes) -> bytes:
        """Answers one request.

        Args:
          payload: The encoded request.

        Returns:
          The encoded response.

        Raises:
          MalformedRequestError: The payload can't be decoded or is not a
            request.
        """
        match gossip.decode_bulk(payload):
            case result.Ok(messages.PresetRequest() as request):
                answer = self._presets.answer_pull(request)
            case result.Ok(
                messages.SyncRequest()
                | messages.SyncPush()
                | messages.CrashPush() as request
            ):
                answer = self._membership.answer_sync(request)
            case result.Ok(other):
                raise MalformedRequestError(type(other).__name__)
            case result.Err(reason):
                raise MalformedRequestError(reason)
        return gossip.encode_bulk(answer)
