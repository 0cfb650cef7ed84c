"""Graceful shutdown of a node: drain, last answers and stop of its tasks."""

from collections.abc import Callable
import typing

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.node import drain
from bergamotdeal.node import faces
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

MS_PER_S = 1000


class Task(typing.Protocol):
    """Task of a node."""

    def stop(self) -> None:
        """Stops the task."""


class Shutdown:
    """Drains a node, then stops its tasks and the reactor.

    Args:
      reactor: The reactor.
      settings: Times of the drain.
      engine: The call engine.
      post: Takes events for the call engine.
      record: Takes events for the event log.
      entry: Listener for callers.
      egress: Listener for the backend server's own calls.
      on_started: Called once when the drain starts, with the event that the
        call engine has handled.
      list_tasks: Returns the tasks to stop at the end of the drain, in order.
      has_unsent_data: Returns whether bytes wait to be sent on any connection.
    """

    def __init__(
        self,
        *,
        reactor,
        settings: settings_model.DrainSection,
        engine: call_engine.Engine,
        post: Callable[[messages.Event], None],
        record: Callable[[records.EventRecord], None],
        entry: faces.CallListener,
        egress: faces.CallListener,
        on_started: Callable[[messages.DrainStarted], None],
        list_tasks: Callable[[], list[Task]],
        has_unsent_data: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._engine = engine
        self._post = post
        self._record = record
        self._entry = entry
        self._egress = egress
        self._on_started = on_started
        self._list_tasks = list_tasks
        self._has_unsent_data = has_unsent_data
        self._is_entry_kept_open = settings.entry_open_ms > 0
        self._flush_s = settings.flush_ms / MS_PER_S
        self._drain = drain.Drain(
            reactor=reactor,
            is_idle=engine.is_idle,
            on_started=self._handle_started,
            on_finished=self._handle_finished,
            on_ending=lambda: post(messages.DrainEnding()),
            on_entry_closed=self._handle_entry_closed,
            settle_s=settings.settle_ms / MS_PER_S,
            entry_open_s=settings.entry_open_ms / MS_PER_S,
            max_drain_s=settings.longest_ms / MS_PER_S,
        )

    @property
    def is_draining(self) -> bool:
        """Whether the node is draining."""
        return self._drain.is_draining

    def start(self) -> None:
        """Starts the drain; later calls have no effect."""
        self._drain.start()

    def _handle_started(self) -> None:
        self._emit(catalogue.EventCode.DRAIN_STARTED)
        started = messages.DrainStarted(
            entry_open=self._is_entry_kept_open,
            remaining_s=self._drain.remaining_s,
        )
        self._post(started)
        self._on_started(started)
        self._entry.start_draining()

    def _handle_entry_closed(self, remaining_s: float) -> None:
        self._post(messages.DrainStarted(remaining_s=remaining_s))

    def _handle_finished(self) -> None:
        open_by_state = self._engine.count_open_by_state()
        self._emit(
            catalogue.EventCode.DRAIN_FINISHED,
            elapsed_ms=round(self._drain.elapsed_s * MS_PER_S),
            open=_describe(open_by_state),
        )
        self._post(messages.DrainEnded())
        for face in (self._entry, self._egress):
            face.stop(self._reactor)
        for task in self._list_tasks():
            task.stop()
        drain.stop_when_flushed(
            reactor=self._reactor,
            entry=self._entry,
            has_unsent_data=self._has_unsent_data,
            flush_s=self._flush_s,
            longest_s=self._drain.remaining_s + self._flush_s,
        )

    def _emit(self, code: catalogue.EventCode, **fields: str | int) -> None:
        self._record(records.EventRecord(code=code, fields=fields))


def _describe(open_by_state: dict[str, int]) -> str:
    """Returns counts by state as text for the log."""
    if not open_by_state:
        return "none"
    return ", ".join(
        f"{state} {count}" for state, count in sorted(open_by_state.items())
    )
