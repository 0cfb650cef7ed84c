"""Answers the bulk requests of other nodes."""

from collections.abc import Callable

import result

from bergamotdeal.membership import messages
from bergamotdeal.wire import gossip

Serve = Callable[[messages.Bulk], messages.Bulk]


class MalformedBulkError(Exception):
    """A bulk request can't be decoded or has no answer."""


class BulkServer:
    """Decodes each request and asks the task that it is for.

    Args:
      membership: Answers the anti-entropy requests.
      presets: Answers the requests for the preset in force.
    """

    def __init__(self, *, membership: Serve, presets: Serve) -> None:
        self._membership = membership
        self._presets = presets

    def serve(self, payload: bytes) -> bytes:
        """Answers one request.

        Args:
          payload: The encoded request.

        Returns:
          The encoded response.

        Raises:
          MalformedBulkError: The request can't be answered.
        """
        decoded = gossip.decode_bulk(payload)
        if isinstance(decoded, result.Err):
            raise MalformedBulkError(decoded.err_value)
        return gossip.encode_bulk(self._answer(decoded.ok_value))

    def _answer(self, request: messages.Bulk) -> messages.Bulk:
        match request:
            case messages.SyncRequest() | messages.SyncPush():
                return self._membership(request)
            case messages.PresetRequest():
                return self._presets(request)
            case _:
                raise MalformedBulkError("not a request")
