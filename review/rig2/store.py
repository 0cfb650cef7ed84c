"""Stand-in for the platform's object store, and a relay in front of it."""

import asyncio
import json
import urllib.parse

import http1

_PREFIX = "/-/objects/"
_FIRST_REVISION = 100
_ERA = 1


class Store:
    """Object store with one revision counter, served over HTTP.

    Attributes:
      config_watches: Number of watches of the configuration that wait.
    """

    def __init__(self) -> None:
        self._objects_by_kind: dict[str, dict[str, dict]] = {}
        self._history: list[tuple[str, dict, bool]] = []
        self._revision = _FIRST_REVISION
        self._changed = asyncio.Condition()
        self.config_watches = 0

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Starts to listen."""
        return await asyncio.start_server(
            self._serve, host, port, limit=http1.MAX_HEAD_BYTES
        )

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object as the operator does."""
        self._write(kind, name, spec)
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _write(self, kind: str, name: str, spec: object) -> dict:
        self._revision += 1
        objects = self._objects_by_kind.setdefault(kind, {})
        created = objects.get(name, {}).get("metadata", {}).get("created")
        written = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": created or self._revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        objects[name] = written
        self._history.append((kind, written, False))
        return written

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await http1.read_message(reader)) is not None:
                status, document = await self._answer(request)
                reply = http1.render(
                    f"HTTP/1.1 {status} X",
                    {
                        "Content-Type": "application/json",
                        "Store-Era": str(_ERA),
                    },
                    json.dumps(document).encode(),
                )
                writer.write(reply)
                await writer.drain()
        except (OSError, http1.BrokenMessageError):
            return
        finally:
            writer.close()

    async def _answer(self, request: http1.Message) -> tuple[int, dict]:
        method, target, _ = request.start
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        kind, _, quoted = path.removeprefix(_PREFIX).partition("/")
        name = urllib.parse.unquote(quoted)
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            return self._read(kind, name)
        answer = self._change(method, kind, name, query, request.body)
        await self._notify()
        return answer

    def _read(self, kind: str, name: str) -> tuple[int, dict]:
        objects = self._objects_by_kind.get(kind, {})
        if name:
            found = objects.get(name)
            return (200, found) if found else (404, {})
        return 200, {
            "items": [objects[each] for each in sorted(objects)],
            "hasMore": False,
            "storeRevision": self._revision,
        }

    def _change(
        self, method: str, kind: str, name: str, query: dict, body: bytes
    ) -> tuple[int, dict]:
        document = json.loads(body) if body else {}
        metadata = document.get("metadata", {})
        expected = metadata.get("revision", query.get("revision"))
        name = name or metadata.get("name", "")
        objects = self._objects_by_kind.get(kind, {})
        found = objects.get(name)
        if method == "POST":
            if found is not None:
                return 409, found
            return 200, self._write(kind, name, document.get("spec"))
        if found is None:
            return 404, {}
        if (
            expected is not None
            and int(expected) != (found["metadata"]["revision"])
        ):
            return 409, found
        if method == "PUT":
            return 200, self._write(kind, name, document.get("spec"))
        del objects[name]
        self._revision += 1
        self._history.append((kind, found, True))
        return 200, {}

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        after = int(query["watch"])
        wait_s = int(query.get("waitMs", "0")) / 1000
        is_config = kind == "config"
        if after > self._revision:
            return 410, {}
        self.config_watches += is_config
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._find_events(kind, after)
                )
        except TimeoutError:
            pass
        finally:
            self.config_watches -= is_config
        return 200, {
            "events": self._find_events(kind, after),
            "storeRevision": self._revision,
        }

    def _find_events(self, kind: str, after: int) -> list[dict]:
        return [
            {"object": each, "removed": removed}
            for changed_kind, each, removed in self._history
            if changed_kind == kind and each["metadata"]["revision"] > after
        ]


class Relay:
    """TCP relay whose open connections can fall silent for good."""

    def __init__(self, *, target: tuple[str, int]) -> None:
        self._target = target
        self._links: set[_Link] = set()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Starts to listen."""
        return await asyncio.start_server(self._relay, host, port)

    def silence_open_connections(self) -> int:
        """Drops what the open connections carry from now on.

        Returns:
          The number of these connections. New ones work.
        """
        for link in self._links:
            link.is_silent = True
        return len(self._links)

    async def _relay(self, reader, writer) -> None:
        link = _Link()
        self._links.add(link)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.close()
            self._links.discard(link)
            return
        copies = (
            asyncio.ensure_future(_copy(link, reader, far_writer)),
            asyncio.ensure_future(_copy(link, far_reader, writer)),
        )
        # The node's side alone decides how long a silent connection lasts.
        await copies[0]
        copies[1].cancel()
        for each in (writer, far_writer):
            each.close()
        self._links.discard(link)


class _Link:
    def __init__(self) -> None:
        self.is_silent = False


async def _copy(link: _Link, reader, writer) -> None:
    try:
        while data := await reader.read(65536):
            if not link.is_silent:
                writer.write(data)
                await writer.drain()
    except OSError:
        return
