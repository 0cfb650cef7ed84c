"""Registry entries through which nodes discover one another in the store.

Each node writes only its own entry. By listing all entries a node finds the
members that it doesn't know, so that nodes that start at the same time can't
remain in separate groups. The entry of a host that is gone for good is removed
by another node.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Annotated

import msgspec
import result

from bergamotdeal.membership import core
from bergamotdeal.membership import crashes
from bergamotdeal.membership import messages
from bergamotdeal.settings import model as settings
from bergamotdeal.utils import json_data

ENTRY_PREFIX = "nodes/"
CRASHES_FIELD = b'"crashes"'
"""Name of the field in encoded entries that have crashes."""

MAX_ENTRY_BYTES = 4096
MAX_CONTACT_ATTEMPTS = 3
"""Contact attempts per version of an entry before the node counts as gone."""

GONE_AFTER_S = 1800.0
"""Time without an answer after which the entry of a host may be removed. A
member that died is forgotten, and becomes unknown, well before."""


MAX_CRASHES = 12
"""Maximum number of crashes in an entry, which then fits its maximum size."""

_MAX_UNIX_MS = 2**53
_MS_PER_S = 1000.0

_Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=messages.MAX_NAME_BYTES)
]


class Crash(msgspec.Struct, frozen=True, kw_only=True):
    """A crash of the backend server that counts against a request.

    Attributes:
      fingerprint: Fingerprint of the request that was running.
      death_id: Id of the crash.
      at_ms: Time of the crash in Unix milliseconds.
    """

    fingerprint: _Name
    death_id: _Name
    at_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_UNIX_MS)]


class Entry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The registry entry of one node.

    Attributes:
      address: IP address of its peer interface.
      port: TCP and UDP port of the peer interface.
      data_centre: Its data centre.
      crashes: Crashes of its backend server that another crash confirms; they
        outlast a restart of all nodes at the same time.
    """

    address: str
    port: settings.Port
    data_centre: str
    crashes: tuple[Crash, ...] = ()

    def endpoint(self) -> messages.Endpoint:
        """Returns the address of the node's peer interface."""
        return messages.Endpoint(address=self.address, port=self.port)


def build_key(host_id: str) -> str:
    """Returns the store key of a node's entry."""
    return ENTRY_PREFIX + host_id


def parse_host_id(key: str) -> str:
    """Returns the host id in the store key of an entry."""
    return key.removeprefix(ENTRY_PREFIX)


def build_entry(member: core.Member, crashes: tuple[Crash, ...] = ()) -> Entry:
    """Builds the registry entry of a node.

    Args:
      member: The node's membership record.
      crashes: Crashes of its backend server to keep.
    """
    return Entry(
        address=member.address,
        port=member.peer_port,
        data_centre=member.data_centre,
        crashes=crashes,
    )


def encode(entry: Entry) -> bytes:
    """Encodes an entry as JSON."""
    return msgspec.json.encode(entry, order="sorted")


def decode(data: bytes) -> result.Result[Entry, str]:
    """Decodes and validates an entry, which any client may have written.

    Args:
      data: Value from the store.

    Returns:
      The entry, or the reason why it is not valid.
    """
    if len(data) > MAX_ENTRY_BYTES:
        return result.Err(f"more than {MAX_ENTRY_BYTES} bytes")
    return json_data.decode(data, Entry)


class CrashArchive:
    """Translation between crash reports and the crashes in an own entry.

    Ages are converted to times once, so that an entry doesn't change without a
    new crash.

    Args:
      host_id: Id of this host.
    """

    def __init__(self, *, host_id: str) -> None:
        self._host_id = host_id
        self._at_ms_by_id: dict[tuple[str, str], int] = {}

    def read(
        self, host_id: str, entry: Entry, wall_ms: int
    ) -> tuple[core.CrashReport, ...]:
        """Returns the crashes in an entry as reports, without the expired ones.

        Args:
          host_id: Host of the entry.
          entry: The entry.
          wall_ms: Current time in Unix milliseconds.
        """
        reports = []
        for crash in entry.crashes[:MAX_CRASHES]:
            age_s = max(0.0, (wall_ms - crash.at_ms) / _MS_PER_S)
            if age_s >= crashes.REPORT_TTL_S:
                continue
            report = core.CrashReport(
                fingerprint=crash.fingerprint,
                host_id=host_id,
                death_id=crash.death_id,
                age_s=age_s,
            )
            if host_id == self._host_id:
                self._at_ms_by_id[_get_crash_id(report)] = crash.at_ms
            reports.append(report)
        return tuple(reports)

    def build(
        self, reports: tuple[core.CrashReport, ...], wall_ms: int
    ) -> tuple[Crash, ...]:
        """Returns the crashes for the own entry, the latest ones first.

        Args:
          reports: Reports of this host to keep.
          wall_ms: Current time in Unix milliseconds.
        """
        newest_first = sorted(reports, key=lambda report: report.age_s)
        self._at_ms_by_id = {
            report_id: self._at_ms_by_id.get(
                report_id, wall_ms - int(report.age_s * _MS_PER_S)
            )
            for report in newest_first[:MAX_CRASHES]
            for report_id in [_get_crash_id(report)]
        }
        return tuple(
            Crash(fingerprint=fingerprint, death_id=death_id, at_ms=at_ms)
            for (fingerprint, death_id), at_ms in self._at_ms_by_id.items()
        )


def _get_crash_id(report: core.CrashReport) -> tuple[str, str]:
    return (report.fingerprint, report.death_id)


class _Attempts(msgspec.Struct, kw_only=True):
    """Attempts to contact a host.

    Attributes:
      count: Number of attempts.
      first_at: Time of the first attempt, in monotonic seconds.
    """

    count: int = 0
    first_at: float = math.inf


class ContactTracker:
    """A counter of contact attempts to listed nodes that are not members."""

    def __init__(self) -> None:
        self._attempts_by_entry: dict[tuple[str, int], _Attempts] = {}

    def list_unknown_hosts(
        self,
        versions_by_host: Mapping[str, int],
        known_ids: Iterable[str],
        own_id: str,
    ) -> list[str]:
        """Returns the unknown hosts that may still be contacted.

        Args:
          versions_by_host: Versions of the listed entries by host id.
          known_ids: Host ids of the known members.
          own_id: This node's host id.
        """
        known = set(known_ids) | {own_id}
        self._attempts_by_entry = {
            entry: self._attempts_by_entry.get(entry) or _Attempts()
            for entry in versions_by_host.items()
            if entry[0] not in known
        }
        return [
            host_id
            for (host_id, _), attempts in self._attempts_by_entry.items()
            if attempts.count < MAX_CONTACT_ATTEMPTS
        ]

    def record_attempt(self, host_id: str, version: int, now: float) -> None:
        """Counts an attempt to contact a host that was listed as unknown.

        Args:
          host_id: Id of the host.
          version: Version of its entry.
          now: Current time in monotonic seconds.
        """
        # Another poll may have listed in between, to which it is known.
        attempts = self._attempts_by_entry.setdefault(
            (host_id, version), _Attempts()
        )
        attempts.count += 1
        attempts.first_at = min(attempts.first_at, now)

    def list_gone_hosts(self, now: float) -> dict[str, int]:
        """Returns the versions of the entries whose hosts are gone.

        These hosts are no members and have not answered for a long time.

        Args:
          now: Current time in monotonic seconds.

        Returns:
          Versions by host id.
        """
        return {
            host_id: version
            for (host_id, version), attempts in self._attempts_by_entry.items()
            if attempts.count >= MAX_CONTACT_ATTEMPTS
            and now - attempts.first_at >= GONE_AFTER_S
        }
