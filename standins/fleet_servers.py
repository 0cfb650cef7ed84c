"""Simulated backend servers of a fleet."""

from collections.abc import Callable

from bergamotdeal.calls import messages
from standins import fleet_model

SERVER_LATENCY_S = 0.0002


class Servers:
    """A set of the simulated backend servers of all hosts.

    Args:
      fleet: Fleet that owns the clock and the nodes.

    Attributes:
      runs: All runs in the order of their start.
      on_run: Callback for each run at its start.
    """

    def __init__(self, *, fleet):
        self.runs: list[fleet_model.ServerRun] = []
        self.on_run: Callable[[fleet_model.ServerRun], None] = _ignore
        self._fleet = fleet
        self._open_runs_by_key: dict[
            tuple[str, str, int], fleet_model.ServerRun
        ] = {}

    def stop(self, node: fleet_model.Node) -> None:
        """Kills the server of a host; its open runs are lost."""
        node.server_up = False
        host_id = node.member.host_id
        self._fleet.send_event(host_id, messages.ServerStopped())
        for (run_host, incarnation, run_id), run in list(
            self._open_runs_by_key.items()
        ):
            if run_host != host_id:
                continue
            run.stopped = True
            del self._open_runs_by_key[run_host, incarnation, run_id]
            if incarnation == node.member.incarnation:
                self.fail_run(host_id, run_id, messages.RunFailure.LOST)

    def announce(self, node: fleet_model.Node) -> None:
        """Announces the server of a host to its node."""
        server = node.member.server
        if server is None or not node.server_up:
            return
        event = messages.ServerAnnounced(
            service=server.service,
            slots=server.slots,
            connections=server.connections,
        )
        self._fleet.send_event(node.member.host_id, event)

    def fail_run(
        self, host_id: str, run_id: int, failure: messages.RunFailure
    ) -> None:
        """Reports to a node that a run failed without an answer."""
        event = messages.RunFailed(run_id=run_id, failure=failure)
        self._fleet.send_event_after(SERVER_LATENCY_S, host_id, event)

    def start_run(
        self, node: fleet_model.Node, start: messages.StartRun
    ) -> None:
        """Starts the run of a request dispatched by a node."""
        host_id = node.member.host_id
        if not node.server_up:
            self.fail_run(
                host_id, start.run_id, messages.RunFailure.UNREACHABLE
            )
            return
        run = fleet_model.ServerRun(
            host_id=host_id,
            server_generation=node.server_generation,
            start=start,
            started_at=self._fleet.now,
            deadline_at=self._fleet.now + start.deadline_ms / 1000,
            incarnation=node.member.incarnation,
        )
        key = (host_id, run.incarnation, start.run_id)
        self._open_runs_by_key[key] = run
        self.runs.append(run)
        self.on_run(run)
        program = node.program(start)
        self._fleet.after(
            SERVER_LATENCY_S, lambda: self._advance(node, run, program, None)
        )
        self._fleet.after(
            start.deadline_ms / 1000, lambda: self._time_out(node, run)
        )

    def _advance(
        self,
        node: fleet_model.Node,
        run: fleet_model.ServerRun,
        program,
        replies,
    ) -> None:
        """Resumes a server program until its next step."""
        if run.stopped:
            return
        try:
            step = program.send(replies)
        except StopIteration as e:
            run.finished = True
            run.status = e.value.status
            self._deliver_response(node, run, e.value)
            return
        match step:
            case fleet_model.Work(seconds=seconds):
                self._fleet.after(
                    seconds, lambda: self._advance(node, run, program, None)
                )
            case fleet_model.Invoke():
                run.invoked = True
                self._invoke(node, run, program, step)

    def _invoke(
        self,
        node: fleet_model.Node,
        run: fleet_model.ServerRun,
        program,
        step: fleet_model.Invoke,
    ) -> None:
        replies: list[fleet_model.Reply] = []
        keys = step.idempotency_keys or [""] * len(step.requests)

        def resume(_reply: fleet_model.Reply) -> None:
            if len(replies) == len(step.requests) and all(
                reply.done for reply in replies
            ):
                self._fleet.after(
                    0, lambda: self._advance(node, run, program, replies)
                )

        for request, key in zip(step.requests, keys, strict=True):
            reply = self._fleet.call(
                node.member.host_id,
                request,
                user_request_id=run.start.user_request_id,
                face=messages.Face.EGRESS,
                context=run.start.context if step.copy_context else "",
                idempotency_key=key,
                deadline_ms=step.deadline_ms,
            )
            replies.append(reply)
        for reply in replies:
            reply.when_done = resume
        resume(replies[0])

    def _close_run(
        self, node: fleet_model.Node, run: fleet_model.ServerRun
    ) -> bool:
        """Closes the connection of a run; returns whether it was still open."""
        key = (node.member.host_id, run.incarnation, run.start.run_id)
        return self._open_runs_by_key.pop(key, None) is not None

    def _deliver_response(
        self,
        node: fleet_model.Node,
        run: fleet_model.ServerRun,
        response: fleet_model.Response,
    ) -> None:
        if not self._close_run(node, run):
            return
        if node.member.incarnation != run.incarnation:
            return
        event = messages.RunAnswered(
            run_id=run.start.run_id,
            status=response.status,
            headers=response.headers,
            body=response.body,
        )
        self._fleet.send_event_after(
            SERVER_LATENCY_S, node.member.host_id, event
        )

    def _time_out(
        self, node: fleet_model.Node, run: fleet_model.ServerRun
    ) -> None:
        if not self._close_run(node, run):
            return
        run.stopped = run.stopped or node.accepts_cancellation
        if node.member.incarnation == run.incarnation:
            self.fail_run(
                node.member.host_id,
                run.start.run_id,
                messages.RunFailure.TIMED_OUT,
            )

    def cancel_run(self, node: fleet_model.Node, run_id: int) -> None:
        """Closes the connection of a run."""
        key = (node.member.host_id, node.member.incarnation, run_id)
        run = self._open_runs_by_key.pop(key, None)
        if run is not None:
            run.stopped = run.stopped or node.accepts_cancellation


def _ignore(_run: fleet_model.ServerRun) -> None:
    """Ignores the run."""
