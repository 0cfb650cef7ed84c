"""Encoding of gossip datagrams and bulk messages with Cap'n Proto.

A datagram starts with a message authentication code of its content
(HMAC-SHA256, truncated to 16 bytes). Replay is harmless: state numbers, ping
numbers and epochs make the processing of a datagram idempotent.
"""

import hashlib
import hmac
import pathlib

import capnp
import result

from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages
from bergamotdeal.membership import rumours

MAC_BYTES = 16
MAX_TEXT_BYTES = messages.MAX_NAME_BYTES
MAX_SYNC_ENTRIES = 10_000
"""Maximum number of members in one anti-entropy message."""

MAX_SYNC_CRASH_REPORTS = 4096
"""Maximum number of crash reports in one anti-entropy message."""

MAX_STATE_NUMBER = 2**62

_WORD_BYTES = 8
_MS_PER_S = 1000
_MAX_UINT32 = 2**32 - 1

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("gossip.capnp")))

_STATE_NAMES = {
    membership.MemberState.ALIVE: "alive",
    membership.MemberState.DRAINING: "draining",
    membership.MemberState.DEAD: "dead",
}
_STATES_BY_NAME = {name: state for state, name in _STATE_NAMES.items()}


# --- Datagrams ------------------------------------------------------------


def encode_datagram(datagram: messages.Datagram, key: bytes) -> bytes:
    """Encodes a datagram and prepends its authentication code.

    Args:
      datagram: The datagram.
      key: Secret key shared by all nodes.

    Returns:
      The bytes to send.
    """
    builder = _SCHEMA.Datagram.new_message()
    _build_member(builder.init("sender"), datagram.sender)
    builder.epoch = datagram.epoch
    builder.storeEra = datagram.store_era
    match datagram.body:
        case messages.Ping(number=number, host_id=host_id):
            builder.ping = None
            builder.number = number
            builder.hostId = host_id
        case messages.PingRequest(number=number, host_id=host_id):
            builder.pingRequest = None
            builder.number = number
            builder.hostId = host_id
        case messages.Ack(number=number):
            builder.ack = None
            builder.number = number
        case messages.EmptyBody():
            builder.spread = None
    items = builder.init("rumours", len(datagram.rumours))
    for item, rumour in zip(items, datagram.rumours, strict=True):
        _build_rumour(item, rumour)
    content = builder.to_bytes()
    return _compute_mac(content, key) + content


def decode_datagram(
    data: bytes, key: bytes
) -> result.Result[messages.Datagram, str]:
    """Authenticates and decodes a datagram.

    Args:
      data: The received bytes.
      key: Secret key shared by all nodes.

    Returns:
      The datagram, or the reason why it is rejected.
    """
    if len(data) > rumours.MAX_DATAGRAM_BYTES:
        return result.Err("datagram is too long")
    mac, content = data[:MAC_BYTES], data[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(content, key)):
        return result.Err("authentication code does not match")
    if len(content) % _WORD_BYTES:
        return result.Err("number of bytes is not a multiple of 8")
    try:
        with _SCHEMA.Datagram.from_bytes(content) as reader:
            return result.Ok(_read_datagram(reader))
    except (capnp.KjException, RuntimeError, KeyError, ValueError) as error:
        return result.Err(str(error).partition("\n")[0])


def _compute_mac(content: bytes, key: bytes) -> bytes:
    return hmac.digest(key, content, hashlib.sha256)[:MAC_BYTES]


def _read_datagram(reader) -> messages.Datagram:
    number = reader.number
    host_id = _check_text(reader.hostId)
    match str(reader.which()):
        case "ping":
            body = messages.Ping(number=number, host_id=host_id)
        case "pingRequest":
            body = messages.PingRequest(number=number, host_id=host_id)
        case "ack":
            body = messages.Ack(number=number)
        case "spread":
            body = messages.EmptyBody()
        case other:
            raise ValueError(f"unknown datagram body {other}")
    return messages.Datagram(
        sender=_read_member(reader.sender),
        epoch=reader.epoch,
        body=body,
        rumours=tuple(_read_rumour(item) for item in reader.rumours),
        store_era=reader.storeEra,
    )


def _build_rumour(builder, rumour: messages.Rumour) -> None:
    match rumour:
        case messages.RecordRumour(member=member):
            _build_member(builder.init("member"), member)
        case messages.VerdictRumour():
            verdict = builder.init("verdict")
            verdict.hostId = rumour.host_id
            verdict.incarnation = rumour.incarnation
            verdict.stateNumber = rumour.state_number
            verdict.health = int(rumour.health)
        case messages.CrashRumour(report=report):
            _build_crash_report(builder.init("crash"), report)


def _read_rumour(reader) -> messages.Rumour:
    match str(reader.which()):
        case "member":
            return messages.RecordRumour(member=_read_member(reader.member))
        case "verdict":
            verdict = reader.verdict
            return messages.VerdictRumour(
                host_id=_check_name(verdict.hostId),
                incarnation=_check_name(verdict.incarnation),
                state_number=_check_state_number(verdict.stateNumber),
                health=messages.Health(verdict.health),
            )
        case "crash":
            return messages.CrashRumour(report=_read_crash_report(reader.crash))
        case other:
            raise ValueError(f"unknown rumour {other}")


def _build_crash_report(builder, report: membership.CrashReport) -> None:
    builder.fingerprint = report.fingerprint
    builder.hostId = report.host_id
    builder.deathId = report.death_id
    builder.ageMs = min(round(report.age_s * _MS_PER_S), _MAX_UINT32)


def _read_crash_report(reader) -> membership.CrashReport:
    return membership.CrashReport(
        fingerprint=_check_name(reader.fingerprint),
        host_id=_check_name(reader.hostId),
        death_id=_check_name(reader.deathId),
        age_s=reader.ageMs / _MS_PER_S,
    )


# --- Members --------------------------------------------------------------


def _build_member(builder, member: membership.Member) -> None:
    builder.hostId = member.host_id
    builder.incarnation = member.incarnation
    builder.dataCentre = member.data_centre
    builder.region = member.region
    builder.address = member.address
    builder.stateNumber = member.state_number
    builder.peerPort = member.peer_port
    builder.adminPort = member.admin_port
    builder.state = _STATE_NAMES[member.state]
    if member.server is not None:
        server = builder.init("server")
        server.service = member.server.service
        server.slots = member.server.slots
        server.connections = member.server.connections


def _read_member(reader) -> membership.Member:
    server = None
    if reader._has("server"):
        server = membership.Server(
            service=_check_name(reader.server.service),
            slots=reader.server.slots,
            connections=reader.server.connections,
        )
    return membership.Member(
        host_id=_check_name(reader.hostId),
        incarnation=_check_name(reader.incarnation),
        data_centre=_check_name(reader.dataCentre),
        region=_check_name(reader.region),
        address=_check_name(reader.address),
        state_number=_check_state_number(reader.stateNumber),
        peer_port=reader.peerPort,
        admin_port=reader.adminPort,
        state=_STATES_BY_NAME[str(reader.state)],
        server=server,
    )


def _check_state_number(number: int) -> int:
    if number > MAX_STATE_NUMBER:
        raise ValueError("state number is out of range")
    return number


def _check_text(text: str) -> str:
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise ValueError("text is too long")
    return text


def _check_name(text: str) -> str:
    if not text:
        raise ValueError("a required name is missing")
    return _check_text(text)


# --- Bulk messages --------------------------------------------------------


def encode_bulk(bulk: messages.Bulk) -> bytes:
    """Encodes a bulk message.

    It carries no authentication code, because the handshake of the TCP link
    has authenticated the sender.

    Args:
      bulk: The message.

    Returns:
      The payload of a bulk frame.
    """
    builder = _SCHEMA.Bulk.new_message()
    match bulk:
        case messages.SyncRequest():
            request = builder.init("syncRequest")
            _build_member(request.init("sender"), bulk.sender)
            request.epoch = bulk.epoch
            request.digests = list(bulk.digests)
            request.crashDigest = bulk.crash_digest
        case messages.SyncResponse():
            response = builder.init("syncResponse")
            response.buckets = list(bulk.buckets)
            _build_entries(
                response.init("entries", len(bulk.entries)), bulk.entries
            )
            response.crashDigest = bulk.crash_digest
            if bulk.crash_reports:
                _build_crash_reports(
                    response.init("crashReports", len(bulk.crash_reports)),
                    bulk.crash_reports,
                )
        case messages.SyncPush(entries=entries):
            _build_entries(builder.init("syncPush", len(entries)), entries)
        case messages.CrashPush(reports=reports):
            _build_crash_reports(
                builder.init("crashPush", len(reports)), reports
            )
        case messages.SyncDone():
            builder.syncDone = None
        case messages.PresetRequest(known_digests=digests):
            builder.presetRequest = list(digests)
        case messages.PresetResponse():
            _build_preset_response(builder.init("presetResponse"), bulk)
    return builder.to_bytes()


def decode_bulk(data: bytes) -> result.Result[messages.Bulk, str]:
    """Decodes a bulk message.

    Args:
      data: The payload of a bulk frame.

    Returns:
      The message, or the reason why it is malformed.
    """
    if len(data) % _WORD_BYTES:
        return result.Err("number of bytes is not a multiple of 8")
    try:
        with _SCHEMA.Bulk.from_bytes(
            data, traversal_limit_in_words=len(data)
        ) as reader:
            return result.Ok(_read_bulk(reader))
    except (capnp.KjException, RuntimeError, KeyError, ValueError) as error:
        return result.Err(str(error).partition("\n")[0])


def _read_bulk(reader) -> messages.Bulk:
    match str(reader.which()):
        case "syncRequest":
            request = reader.syncRequest
            return messages.SyncRequest(
                sender=_read_member(request.sender),
                epoch=request.epoch,
                digests=tuple(request.digests),
                crash_digest=request.crashDigest,
            )
        case "syncResponse":
            response = reader.syncResponse
            return messages.SyncResponse(
                buckets=tuple(response.buckets),
                entries=_read_entries(response.entries),
                crash_digest=response.crashDigest,
                crash_reports=_read_crash_reports(response.crashReports),
            )
        case "syncPush":
            return messages.SyncPush(entries=_read_entries(reader.syncPush))
        case "crashPush":
            reports = _read_crash_reports(reader.crashPush)
            return messages.CrashPush(reports=reports)
        case "syncDone":
            return messages.SyncDone()
        case "presetRequest":
            digests = tuple(bytes(item) for item in reader.presetRequest)
            return messages.PresetRequest(known_digests=digests)
        case "presetResponse":
            return _read_preset_response(reader.presetResponse)
        case other:
            raise ValueError(f"unknown bulk message {other}")


def _build_entries(builder, entries: tuple[messages.KnownMember, ...]) -> None:
    for item, entry in zip(builder, entries, strict=True):
        _build_member(item.init("member"), entry.member)
        item.health = int(entry.health)


def _read_entries(reader) -> tuple[messages.KnownMember, ...]:
    if len(reader) > MAX_SYNC_ENTRIES:
        raise ValueError("too many member entries in one message")
    return tuple(
        messages.KnownMember(
            member=_read_member(item.member),
            health=messages.Health(item.health),
        )
        for item in reader
    )


def _build_crash_reports(
    builder, reports: tuple[membership.CrashReport, ...]
) -> None:
    for item, report in zip(builder, reports, strict=True):
        _build_crash_report(item, report)


def _read_crash_reports(reader) -> tuple[membership.CrashReport, ...]:
    if len(reader) > MAX_SYNC_CRASH_REPORTS:
        raise ValueError("too many crash reports in one message")
    return tuple(_read_crash_report(item) for item in reader)


def _build_preset_response(builder, bulk: messages.PresetResponse) -> None:
    builder.epoch = bulk.epoch
    builder.operationId = bulk.operation_id
    items = builder.init("sections", len(bulk.sections))
    for item, section in zip(items, bulk.sections, strict=True):
        item.name = section.name
        item.digest = section.digest
        if section.content is not None:
            item.content = section.content


def _read_preset_response(reader) -> messages.PresetResponse:
    return messages.PresetResponse(
        epoch=reader.epoch,
        operation_id=reader.operationId,
        sections=tuple(_read_section(item) for item in reader.sections),
    )


def _read_section(reader) -> messages.Section:
    content = bytes(reader.content) if reader._has("content") else None
    return messages.Section(
        name=reader.name, digest=bytes(reader.digest), content=content
    )
