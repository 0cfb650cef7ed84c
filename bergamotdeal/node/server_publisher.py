"""Publication of the local backend server to the engine and the fleet."""

from collections.abc import Callable

from bergamotdeal.calls import messages
from bergamotdeal.node import server_inquiry
from bergamotdeal.telemetry import catalogue

PROVISIONAL_SLOTS = 32
"""Slots that the fleet counts with until the server's own number is known."""


class ServerPublisher:
    """Publisher of the announcements and the end of the backend server.

    A started node asks its server how it is before it publishes it. The fleet
    takes about as long to learn of a server as the node to get its answer, so
    the fleet is told of a server at once. Until the answer has come the node
    refuses the calls for it.

    Args:
      service: Service that the settings assign to this host, or empty.
      inquiry: The health check of the server.
      post: Accepts events for the call engine.
      tell_fleet: Accepts events for the membership.
      emit: Called with the code of an event and its fields.
    """

    def __init__(
        self,
        *,
        service: str,
        inquiry: server_inquiry.ServerInquiry,
        post: Callable[[messages.Event], None],
        tell_fleet: Callable[[messages.Event], None],
        emit: Callable[..., None],
    ) -> None:
        self._service = service
        self._inquiry = inquiry
        self._post = post
        self._tell_fleet = tell_fleet
        self._emit = emit
        self.announcement: messages.ServerAnnounced | None = None
        """Latest announcement of a server that is available, or None."""

    @property
    def has_server(self) -> bool:
        """Whether a server is available."""
        return self.announcement is not None

    def start(self) -> None:
        """Tells the fleet of the server that the node is about to ask."""
        if self._service and self._inquiry.has_health_check:
            self._tell_fleet(
                messages.ServerAnnounced(
                    service=self._service,
                    slots=PROVISIONAL_SLOTS,
                    connections=PROVISIONAL_SLOTS,
                )
            )

    def handle_event(self, event: messages.Event) -> None:
        """Handles an event of the server's connection pool."""
        match event:
            case messages.ServerAnnounced():
                if event != self.announcement:
                    self._emit(
                        catalogue.EventCode.SERVER_ANNOUNCED,
                        service=event.service,
                        slots=event.slots,
                    )
                self.announcement = event
                # Admission needs a preset, which the inquiry waits for, too.
                if self._inquiry.is_finished:
                    self._publish(event)
            case messages.ServerStopped() | messages.ServerUnresponsive():
                self.announcement = None
                if isinstance(event, messages.ServerUnresponsive):
                    self._inquiry.handle_server_silent()
                self._emit(catalogue.EventCode.SERVER_STOPPED)
                self._publish(event)
            case messages.ServerLeaving(instance=instance):
                self.announcement = None
                self._emit(catalogue.EventCode.SERVER_LEAVING, server=instance)
                self._publish(event)
            case _:
                self._post(event)

    def finish_inquiry(self) -> None:
        """Publishes the server, or its absence, after the health check."""
        if self.announcement is not None:
            self._publish(self.announcement)
        else:
            self._tell_fleet(messages.ServerStopped())

    def _publish(self, event: messages.Event) -> None:
        self._post(event)
        self._tell_fleet(event)
