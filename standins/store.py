"""Simulated object API of the platform with fault injection.

``PUT /_control`` changes its behaviour; ``GET /_control`` returns counts of the
requests and the stored versions. docs/store.md describes the protocol.
"""

import dataclasses
import http
import json
import urllib.parse

import click
from twisted.internet import reactor as twisted_reactor
from twisted.web import resource
from twisted.web import server

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 60.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Behaviour:
    """Injected faults of the store; changed by ``PUT /_control``.

    Attributes:
      down: Whether connections are reset without an answer.
      slow_s: Delay before each answer in seconds.
      lose_writes: Number of next writes that are applied but not answered.
      refuse_writes: Number of next writes that are reset without being
        applied.
      write_key: Key of the writes that `lose_writes` and `refuse_writes`
        concern, or empty for any.
      drop_watches: Whether to reset the open watches; cleared once done.
      mute_watches: Whether open watches are not answered on a write.
      calls_per_s: Maximum number of calls per second, or zero for no limit.
      save_copy: Whether to keep a copy of the objects; cleared once done.
      restore: Whether to go back to that copy, in a new era; cleared once done.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_writes: int = 0
    refuse_writes: int = 0
    write_key: str = ""
    drop_watches: bool = False
    mute_watches: bool = False
    calls_per_s: int = 0
    save_copy: bool = False
    restore: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Watch:
    """An open long poll for a new version of an object.

    Attributes:
      request: HTTP request to answer.
      after: Version that the caller knows.
      timer: Timer that ends the watch.
    """

    request: server.Request
    after: int
    timer: object


class Store:
    """A versioned object store with watches, fault injection and counts.

    Args:
      reactor: Twisted reactor.
      token: Bearer token that callers must present, or empty.

    Attributes:
      behaviour: Injected faults.
      counts_by_operation: Number of calls, by operation.
      puts_by_key: Number of received writes, by key.
      writes_by_key: Number of applied writes, by key.
      era: Number of the era, raised by each restore.
    """

    def __init__(self, *, reactor, token: str = "") -> None:
        self._reactor = reactor
        self._token = token
        self._values_by_key: dict[str, tuple[int, bytes]] = {}
        self._copied_values_by_key: dict[str, tuple[int, bytes]] = {}
        # A key that is created again goes on from its last version.
        self._deleted_versions_by_key: dict[str, int] = {}
        self._watches_by_key: dict[str, list[Watch]] = {}
        self.era = 1
        self._second = 0
        self._calls_in_second = 0
        self.behaviour = Behaviour()
        self.counts_by_operation: dict[str, int] = {}
        self.puts_by_key: dict[str, int] = {}
        self.writes_by_key: dict[str, int] = {}

    def control(self, changes: dict) -> None:
        """Changes fields of the behaviour."""
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        if self.behaviour.drop_watches or self.behaviour.down:
            self.behaviour.drop_watches = False
            self._reset_watches()
        if self.behaviour.save_copy:
            self.behaviour.save_copy = False
            self._copied_values_by_key = dict(self._values_by_key)
        if self.behaviour.restore:
            self.behaviour.restore = False
            self._values_by_key = dict(self._copied_values_by_key)
            self.era += 1
            self._reset_watches()

    def report(self) -> dict:
        """Returns the counts, the versions and the behaviour."""
        return {
            "counts_by_operation": self.counts_by_operation,
            "puts_by_key": self.puts_by_key,
            "writes_by_key": self.writes_by_key,
            "versions_by_key": {k: v for k, (v, _) in self._sorted_values()},
            "waiting": sum(len(w) for w in self._watches_by_key.values()),
            "behaviour": dataclasses.asdict(self.behaviour),
        }

    def _sorted_values(self):
        return sorted(self._values_by_key.items())

    def admit(self, request: server.Request, operation: str) -> bool:
        """Counts a call and returns whether to serve it.

        A call that is not served has been answered or reset.
        """
        counts = self.counts_by_operation
        counts[operation] = counts.get(operation, 0) + 1
        if self.behaviour.down:
            request.transport.abortConnection()
            return False
        if self._token:
            given = request.getHeader("Authorization")
            if given != f"Bearer {self._token}":
                self.answer(request, http.HTTPStatus.UNAUTHORIZED)
                return False
        if self._is_over_rate():
            request.setHeader("Retry-After", "1")
            self.answer(request, http.HTTPStatus.TOO_MANY_REQUESTS)
            return False
        return True

    def _is_over_rate(self) -> bool:
        second = int(self._reactor.seconds())
        if second != self._second:
            self._second = second
            self._calls_in_second = 0
        self._calls_in_second += 1
        limit = self.behaviour.calls_per_s
        return 0 < limit < self._calls_in_second

    def answer(
        self,
        request: server.Request,
        status: int,
        body: bytes = b"",
        version: int | None = None,
    ) -> None:
        """Answers a request after the injected delay."""

        def finish() -> None:
            if request.channel is None:
                return  # The caller has disconnected.
            request.setResponseCode(int(status))
            request.setHeader("Object-Store-Era", str(self.era))
            if version is not None:
                request.setHeader("Object-Version", str(version))
            request.setHeader("Content-Length", str(len(body)))
            request.write(body)
            request.finish()

        if self.behaviour.slow_s > 0:
            self._reactor.callLater(self.behaviour.slow_s, finish)
        else:
            finish()

    def get(self, request: server.Request, key: str) -> None:
        """Answers with the value and version of an object."""
        version, value = self._values_by_key.get(key, (0, b""))
        if version == 0:
            self.answer(request, http.HTTPStatus.NOT_FOUND)
        else:
            self.answer(request, http.HTTPStatus.OK, value, version)

    def put(self, request: server.Request, key: str) -> None:
        """Writes an object if the expected version is the stored one."""
        self.puts_by_key[key] = self.puts_by_key.get(key, 0) + 1
        is_fault_target = self.behaviour.write_key in ("", key)
        if is_fault_target and self.behaviour.refuse_writes > 0:
            self.behaviour.refuse_writes -= 1
            request.transport.abortConnection()
            return
        expected = request.getHeader("Expected-Version")
        value = request.content.read(MAX_VALUE_BYTES + 1)
        if expected is None or not expected.isdigit():
            self.answer(request, http.HTTPStatus.BAD_REQUEST)
            return
        if len(value) > MAX_VALUE_BYTES:
            self.answer(request, http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        version, _ = self._values_by_key.get(key, (0, b""))
        if int(expected) != version:
            self.answer(request, http.HTTPStatus.CONFLICT, version=version)
            return
        version = max(version, self._deleted_versions_by_key.get(key, 0)) + 1
        self._values_by_key[key] = (version, value)
        self.writes_by_key[key] = self.writes_by_key.get(key, 0) + 1
        if is_fault_target and self.behaviour.lose_writes > 0:
            self.behaviour.lose_writes -= 1
            request.transport.abortConnection()
        else:
            self._answer_after_watches(request, version)
        if self.behaviour.mute_watches:
            return
        for watch in self._watches_by_key.pop(key, []):
            watch.timer.cancel()
            self.answer(watch.request, http.HTTPStatus.OK, value, version)

    def delete(self, request: server.Request, key: str) -> None:
        """Deletes an object if the expected version is the stored one."""
        version, _ = self._values_by_key.get(key, (0, b""))
        if version == 0:
            self.answer(request, http.HTTPStatus.NOT_FOUND)
        elif request.getHeader("Expected-Version") != str(version):
            self.answer(request, http.HTTPStatus.CONFLICT, version=version)
        else:
            del self._values_by_key[key]
            self._deleted_versions_by_key[key] = version
            self.answer(request, http.HTTPStatus.NO_CONTENT)

    def _answer_after_watches(
        self, request: server.Request, version: int
    ) -> None:
        """Answers a write once the answers to its watches have been sent.

        A test that kills the store after an accepted write then knows that its
        watchers were told. Sockets are written between two reactor turns.
        """

        def answer() -> None:
            self.answer(request, http.HTTPStatus.OK, version=version)

        self._reactor.callLater(0, lambda: self._reactor.callLater(0, answer))

    def list(self, request: server.Request, prefix: str) -> None:
        """Answers with the keys and versions of the objects under a prefix."""
        objects = [
            {"key": key, "version": version}
            for key, (version, _) in self._sorted_values()
            if key.startswith(prefix)
        ]
        body = json.dumps({"objects": objects}).encode()
        self.answer(request, http.HTTPStatus.OK, body)

    def watch(
        self, request: server.Request, key: str, after: int, timeout_s: float
    ) -> None:
        """Answers once an object is newer than a version or time is up."""
        version, value = self._values_by_key.get(key, (0, b""))
        if version > after:
            self.answer(request, http.HTTPStatus.OK, value, version)
            return
        timeout_s = min(timeout_s, MAX_WATCH_S)
        timer = self._reactor.callLater(
            timeout_s, lambda: self._time_out_watch(key, watch)
        )
        watch = Watch(request=request, after=after, timer=timer)
        self._watches_by_key.setdefault(key, []).append(watch)
        request.notifyFinish().addErrback(
            lambda _: self._remove_watch(key, watch)
        )

    def _time_out_watch(self, key: str, watch: Watch) -> None:
        self._remove_watch(key, watch)
        self.answer(watch.request, http.HTTPStatus.NO_CONTENT)

    def _remove_watch(self, key: str, watch: Watch) -> None:
        waiting = self._watches_by_key.get(key, [])
        if watch in waiting:
            waiting.remove(watch)
        if watch.timer.active():
            watch.timer.cancel()

    def _reset_watches(self) -> None:
        for waiting in list(self._watches_by_key.values()):
            for watch in list(waiting):
                watch.request.transport.abortConnection()


class StoreResource(resource.Resource):
    """An HTTP resource that maps requests to the store."""

    isLeaf = True

    def __init__(self, *, store: Store) -> None:
        super().__init__()
        self._store = store

    def render(self, request):
        path = urllib.parse.unquote(request.path.decode("latin-1"))
        method = request.method.decode("latin-1")
        match method, path.split("/", 3)[1:]:
            case "PUT", ["_control"]:
                self._store.control(json.loads(request.content.read()))
                return b"{}"
            case "GET", ["_control"]:
                return json.dumps(self._store.report()).encode()
            case "GET", ["v1", "objects"]:
                if self._store.admit(request, "list"):
                    prefix = request.args.get(b"prefix", [b""])[0].decode()
                    self._store.list(request, prefix)
            case "GET" | "PUT" | "DELETE", ["v1", "objects", key]:
                operation = method.lower()
                if self._store.admit(request, operation):
                    getattr(self._store, operation)(request, key)
            case "GET", ["v1", "watch", key]:
                if self._store.admit(request, "watch"):
                    self._watch(request, key)
            case _:
                self._store.answer(request, http.HTTPStatus.NOT_FOUND)
        return server.NOT_DONE_YET

    def _watch(self, request, key: str) -> None:
        try:
            after = int(request.args.get(b"after", [b"0"])[0])
            timeout_s = float(request.args.get(b"timeout", [b"30"])[0])
        except ValueError:
            self._store.answer(request, http.HTTPStatus.BAD_REQUEST)
            return
        self._store.watch(request, key, after, timeout_s)


def listen(
    *, reactor, address: str = "127.0.0.1", port: int = 0, token: str = ""
):
    """Starts a simulated store in this process.

    Args:
      reactor: Twisted reactor.
      address: IP address to listen on.
      port: TCP port to listen on; zero for any free port.
      token: Bearer token that callers must present, or empty.

    Returns:
      The store and its listening port.
    """
    store = Store(reactor=reactor, token=token)
    site = server.Site(StoreResource(store=store))
    return store, reactor.listenTCP(port, site, interface=address)


@click.command()
@click.option("--address", default="127.0.0.1")
@click.option("--port", default=0)
@click.option("--token", default="")
def main(address: str, port: int, token: str) -> None:
    """Runs a simulated store until the process is terminated."""
    _, listening = listen(
        reactor=twisted_reactor, address=address, port=port, token=token
    )
    host = listening.getHost()
    click.echo(f"listening on {host.host}:{host.port}")
    twisted_reactor.run()


if __name__ == "__main__":
    main()
