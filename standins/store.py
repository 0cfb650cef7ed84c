"""A stand-in for the platform's object API, with faults on demand.

``PUT /_control`` changes its behaviour; ``GET /_control`` tells what it was
asked. The protocol is the one of docs/store.md.
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
    """What the store does to its callers.

    Attributes:
      down: Whether connections are closed without an answer.
      slow_s: Time before each answer, in seconds.
      lose_writes: Number of writes whose answers are lost from now on.
      refuse_writes: Number of writes that are lost before they take effect.
      write_key: Key of the writes that are lost, or empty for any.
      drop_watches: Whether waiting watches are dropped, once.
      mute_watches: Whether waiting watches are not told of writes.
      calls_per_s: Calls answered in each second, or zero for any number.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_writes: int = 0
    refuse_writes: int = 0
    write_key: str = ""
    drop_watches: bool = False
    mute_watches: bool = False
    calls_per_s: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class Watch:
    """A watch that waits."""

    request: server.Request
    after: int
    timer: object


class Store:
    """The objects, the watches and the counts.

    Args:
      reactor: Twisted's reactor.
      token: Bearer token, or empty.
    """

    def __init__(self, *, reactor, token: str = "") -> None:
        self._reactor = reactor
        self._token = token
        self._values_by_key: dict[str, tuple[int, bytes]] = {}
        self._watches_by_key: dict[str, list[Watch]] = {}
        self._second = 0
        self._calls_in_second = 0
        self.behaviour = Behaviour()
        self.counts_by_operation: dict[str, int] = {}
        self.puts_by_key: dict[str, int] = {}
        self.writes_by_key: dict[str, int] = {}

    def control(self, changes: dict) -> None:
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        if self.behaviour.drop_watches or self.behaviour.down:
            self.behaviour.drop_watches = False
            self._drop_watches()

    def report(self) -> dict:
        return {
            "counts_by_operation": self.counts_by_operation,
            "puts_by_key": self.puts_by_key,
            "writes_by_key": self.writes_by_key,
            "versions_by_key": {k: v for k, (v, _) in self._values()},
            "waiting": sum(len(w) for w in self._watches_by_key.values()),
            "behaviour": dataclasses.asdict(self.behaviour),
        }

    def _values(self):
        return sorted(self._values_by_key.items())

    def accept(self, request: server.Request, operation: str) -> bool:
        """Counts a call and returns whether it is to be served."""
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
        def finish() -> None:
            if request.channel is None:
                return  # The caller has gone.
            request.setResponseCode(int(status))
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
        version, value = self._values_by_key.get(key, (0, b""))
        if version == 0:
            self.answer(request, http.HTTPStatus.NOT_FOUND)
        else:
            self.answer(request, http.HTTPStatus.OK, value, version)

    def put(self, request: server.Request, key: str) -> None:
        self.puts_by_key[key] = self.puts_by_key.get(key, 0) + 1
        injected = self.behaviour.write_key in ("", key)
        if injected and self.behaviour.refuse_writes > 0:
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
        version += 1
        self._values_by_key[key] = (version, value)
        self.writes_by_key[key] = self.writes_by_key.get(key, 0) + 1
        if injected and self.behaviour.lose_writes > 0:
            self.behaviour.lose_writes -= 1
            request.transport.abortConnection()
        else:
            self.answer(request, http.HTTPStatus.OK, version=version)
        if self.behaviour.mute_watches:
            return
        for watch in self._watches_by_key.pop(key, []):
            watch.timer.cancel()
            self.answer(watch.request, http.HTTPStatus.OK, value, version)

    def list(self, request: server.Request, prefix: str) -> None:
        objects = [
            {"key": key, "version": version}
            for key, (version, _) in self._values()
            if key.startswith(prefix)
        ]
        body = json.dumps({"objects": objects}).encode()
        self.answer(request, http.HTTPStatus.OK, body)

    def watch(
        self, request: server.Request, key: str, after: int, timeout_s: float
    ) -> None:
        version, value = self._values_by_key.get(key, (0, b""))
        if version > after:
            self.answer(request, http.HTTPStatus.OK, value, version)
            return
        timeout_s = min(timeout_s, MAX_WATCH_S)
        timer = self._reactor.callLater(
            timeout_s, lambda: self._end(key, watch)
        )
        watch = Watch(request=request, after=after, timer=timer)
        self._watches_by_key.setdefault(key, []).append(watch)
        request.notifyFinish().addErrback(lambda _: self._forget(key, watch))

    def _end(self, key: str, watch: Watch) -> None:
        self._forget(key, watch)
        self.answer(watch.request, http.HTTPStatus.NO_CONTENT)

    def _forget(self, key: str, watch: Watch) -> None:
        waiting = self._watches_by_key.get(key, [])
        if watch in waiting:
            waiting.remove(watch)
        if watch.timer.active():
            watch.timer.cancel()

    def _drop_watches(self) -> None:
        for waiting in list(self._watches_by_key.values()):
            for watch in list(waiting):
                watch.request.transport.abortConnection()


class StoreResource(resource.Resource):
    """Maps HTTP requests to the store."""

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
                if self._store.accept(request, "list"):
                    prefix = request.args.get(b"prefix", [b""])[0].decode()
                    self._store.list(request, prefix)
            case "GET", ["v1", "objects", key]:
                if self._store.accept(request, "get"):
                    self._store.get(request, key)
            case "PUT", ["v1", "objects", key]:
                if self._store.accept(request, "put"):
                    self._store.put(request, key)
            case "GET", ["v1", "watch", key]:
                if self._store.accept(request, "watch"):
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
    """Starts the stand-in in this process.

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
    """Runs the stand-in until it is ended."""
    _, listening = listen(
        reactor=twisted_reactor, address=address, port=port, token=token
    )
    host = listening.getHost()
    click.echo(f"listening on {host.host}:{host.port}")
    twisted_reactor.run()


if __name__ == "__main__":
    main()
