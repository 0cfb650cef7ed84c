"""Catalogue of the numbered events in the time line and the logs.

Each subpackage has its own block of one hundred numbers. A number is never
reused. The placeholders of a message are filled from the fields of the event.
"""

from collections.abc import Mapping
import enum

import result


class EventCode(enum.IntEnum):
    """Event numbers, grouped by subpackage."""

    # 100 calls
    CALL_ARRIVED = 100
    CALL_DISPATCHED = 101
    CALL_QUEUED = 102
    RUN_STARTED = 103
    RUN_ENDED = 104
    CALL_ANSWERED = 105
    CALL_RETRIED = 106
    CALL_CANCELLED = 107
    LATE_ANSWER_DROPPED = 108
    CALL_FAILED_INTERNALLY = 109
    DISPATCH_FAILED = 110
    CALL_REFUSED = 111
    CALL_LOST = 112
    RUN_HUNG = 113
    CALL_ACCEPTED_IN_DRAIN = 114

    # 200 tickets
    TICKET_ISSUED = 200
    TICKET_USED = 201
    TICKET_REFUSED = 202

    # 300 admission
    CALL_SHED = 300
    THRESHOLD_CHANGED = 301
    LIMIT_CHANGED = 302
    RETURN_RESERVED = 303
    RETURN_ADMITTED = 304

    # 400 routing
    OUTLIER_FOUND = 400
    SPILL_STARTED = 401
    SPILL_ENDED = 402

    # 500 quarantine
    REQUEST_QUARANTINED = 500
    CRASH_REPORTED = 501
    CRASH_REPORTS_SYNCED = 502

    # 600 membership
    MEMBER_JOINED = 600
    MEMBER_STATE_CHANGED = 601

    # 700 presets
    PRESET_IN_FORCE = 700
    PRESET_REJECTED = 701

    # 800 store
    STORE_UNAVAILABLE = 800
    STORE_AVAILABLE = 801
    REGISTRY_FAILED = 802
    STORE_OBJECT_REJECTED = 803
    STORE_RESTORED = 804
    REGISTRY_ENTRY_REMOVED = 805
    STORE_CHECK_FAILED = 806
    STORE_CHECK_RECOVERED = 807

    # 900 node
    NODE_STARTED = 900
    NODE_READY = 901
    DRAIN_STARTED = 902
    DRAIN_FINISHED = 903
    SERVER_ANNOUNCED = 904
    SERVER_STOPPED = 905
    SERVER_LEAVING = 911
    SETTINGS_RELOADED = 912
    SETTINGS_REJECTED = 913
    ANNOUNCEMENT_REJECTED = 914
    SERVER_RATE_LIMITED = 915
    SERVER_RATE_LIMIT_LIFTED = 916
    SERVER_CONDITION_REJECTED = 917
    STARTUP_HOLD_ENDED = 918
    SERVER_CHECKED = 919
    SERVER_UNCONFIRMED = 920
    BODY_REFUSED = 921
    PEER_LINK_OPENED = 906
    PEER_LINK_CLOSED = 907
    PEER_REJECTED = 908
    FRAME_MALFORMED = 909
    TASK_FAILED = 910

    # 1000 pricing
    COST_REPORT_REJECTED = 1000

    # 1100 organisations
    KEY_REFUSED = 1100

    # 1200 quotas
    QUOTA_REFUSED = 1200
    QUOTA_OWNER_ACTIVE = 1201
    QUOTA_OWNER_INACTIVE = 1202


MESSAGES_BY_CODE: dict[EventCode, str] = {
    EventCode.CALL_ARRIVED: "{method} {service}{path} arrived at {face}",
    EventCode.CALL_DISPATCHED: (
        "call {number} sent to {host}; with it {load} of the slots are in use, "
        "work takes {work_factor} of the usual, as reported {report_ms} ms ago"
    ),
    EventCode.CALL_QUEUED: "call {number} queued, {queued} waiting",
    EventCode.RUN_STARTED: "run {run} started on the backend server",
    EventCode.RUN_ENDED: "run {run} ended: {result}",
    EventCode.CALL_ANSWERED: (
        "answered with status {status}, outcome {outcome} {error}"
    ),
    EventCode.CALL_RETRIED: "call {number} retried, {tokens} retries left",
    EventCode.CALL_CANCELLED: "call {number} cancelled",
    EventCode.LATE_ANSWER_DROPPED: "answer to closed call {number} dropped",
    EventCode.CALL_FAILED_INTERNALLY: "internal failure: {trace}",
    EventCode.DISPATCH_FAILED: (
        "dispatch of call {number} failed, request handed over: {handed}"
    ),
    EventCode.CALL_REFUSED: (
        "refused as not run: {error}; {method} {path} to {service}, sent "
        "{sendings} times, last to {host}, {waited_ms} ms after its arrival"
    ),
    EventCode.CALL_LOST: (
        "ended without an answer of the backend server: {error}; {method} "
        "{path} to {service}, sent {sendings} times, last to {host}, "
        "{waited_ms} ms after its arrival"
    ),
    EventCode.RUN_HUNG: (
        "run {run} gave no sign for {ran_ms} ms, its connection is dropped"
    ),
    EventCode.CALL_ACCEPTED_IN_DRAIN: (
        "accepted in the drain, {reason}; time limit in {limit_s} s, exit in "
        "{exit_s} s at the latest"
    ),
    EventCode.TICKET_ISSUED: "ticket {serial} issued",
    EventCode.TICKET_USED: "ticket {serial} used",
    EventCode.TICKET_REFUSED: "ticket refused: {error}",
    EventCode.CALL_SHED: "call shed at {place}: {reason}",
    EventCode.THRESHOLD_CHANGED: (
        "admission threshold of class {name} is {threshold}"
    ),
    EventCode.LIMIT_CHANGED: "concurrency limit is {limit}",
    EventCode.RETURN_RESERVED: (
        "refused caller of class {name} is admitted if it returns in "
        "{delay_ms} ms"
    ),
    EventCode.RETURN_ADMITTED: "caller returned at its time",
    EventCode.OUTLIER_FOUND: "host {host} is an outlier",
    EventCode.SPILL_STARTED: (
        "calls to {service} spill to other data centres, the near servers are "
        "full"
    ),
    EventCode.SPILL_ENDED: "calls to {service} stay in this data centre",
    EventCode.REQUEST_QUARANTINED: "request {fingerprint} quarantined",
    EventCode.CRASH_REPORTED: (
        "backend server crashed while {count} suspect requests ran:"
        " {fingerprints}"
    ),
    EventCode.CRASH_REPORTS_SYNCED: (
        "{count} crash reports learnt from {source}, the newest {age_s} s old"
    ),
    EventCode.MEMBER_JOINED: "host {host} joined",
    EventCode.MEMBER_STATE_CHANGED: "host {host} is {state}",
    EventCode.PRESET_IN_FORCE: "preset {name} in force, epoch {epoch}",
    EventCode.PRESET_REJECTED: "preset of epoch {epoch} rejected: {reason}",
    EventCode.STORE_UNAVAILABLE: "store unavailable: {reason}",
    EventCode.STORE_AVAILABLE: "store available",
    EventCode.REGISTRY_FAILED: "registry: {step} failed: {reason}",
    EventCode.STORE_OBJECT_REJECTED: (
        "object in the store can't be read: {reason}"
    ),
    EventCode.REGISTRY_ENTRY_REMOVED: (
        "registry: entry of {host} removed, the host is gone"
    ),
    EventCode.STORE_CHECK_FAILED: (
        "the store did not answer a check: {reason}"
    ),
    EventCode.STORE_CHECK_RECOVERED: (
        "the store answers checks again, the watch starts anew"
    ),
    EventCode.STORE_RESTORED: "store restored from a copy, era {era}",
    EventCode.NODE_STARTED: "node {host} started, incarnation {incarnation}",
    EventCode.NODE_READY: "node ready",
    EventCode.STARTUP_HOLD_ENDED: (
        "held {requests} requests after the start, the longest {longest_ms} ms"
    ),
    EventCode.DRAIN_STARTED: "drain started",
    EventCode.DRAIN_FINISHED: (
        "drain finished after {elapsed_ms} ms, open requests: {open}"
    ),
    EventCode.SERVER_ANNOUNCED: "server of {service} announced {slots} slots",
    EventCode.SERVER_STOPPED: "backend server stopped",
    EventCode.SERVER_LEAVING: "backend server {server} leaves",
    EventCode.SETTINGS_RELOADED: "settings reloaded from {source}",
    EventCode.SETTINGS_REJECTED: "settings of {source} rejected: {reason}",
    EventCode.ANNOUNCEMENT_REJECTED: "announcement rejected: {reason}",
    EventCode.SERVER_RATE_LIMITED: (
        "at most {rate} requests per second to the backend server, {reason}"
    ),
    EventCode.SERVER_RATE_LIMIT_LIFTED: (
        "no rate limit for the backend server any more"
    ),
    EventCode.SERVER_CONDITION_REJECTED: (
        "condition of the backend server rejected: {reason}"
    ),
    EventCode.SERVER_CHECKED: (
        "health check: backend server {server} is {availability}"
    ),
    EventCode.SERVER_UNCONFIRMED: (
        "announcement of backend server {server} not accepted: {reason}"
    ),
    EventCode.BODY_REFUSED: (
        "no memory at {place} for a body of {size} bytes; {used} of at most "
        "{limit} bytes are in use"
    ),
    EventCode.PEER_LINK_OPENED: "link to {host} opened",
    EventCode.PEER_LINK_CLOSED: "link to {host} closed: {reason}",
    EventCode.PEER_REJECTED: "peer {address} rejected: {reason}",
    EventCode.FRAME_MALFORMED: "malformed frame from {address}",
    EventCode.TASK_FAILED: "task {task} failed: {trace}",
    EventCode.COST_REPORT_REJECTED: (
        "cost report of {host} on {route} rejected: {reason}"
    ),
    EventCode.KEY_REFUSED: (
        "key at {place} refused under epoch {epoch}: {cause} {digest}"
    ),
    EventCode.QUOTA_REFUSED: (
        "no token of {organisation} for the request, {error}: {reason}"
    ),
    EventCode.QUOTA_OWNER_ACTIVE: (
        "this host may grant tokens of caps, {hosts} hosts counted"
    ),
    EventCode.QUOTA_OWNER_INACTIVE: (
        "this host grants no tokens of caps, {hosts} hosts counted, "
        "{present} of them reachable"
    ),
}


def format_message(
    code: EventCode, fields_by_name: Mapping[str, object]
) -> str:
    """Formats the message of an event.

    Args:
      code: Number of the event.
      fields_by_name: Values of the placeholders in the message.

    Returns:
      The message with its placeholders filled. A placeholder without a value
      becomes a question mark.
    """
    fields = _FieldsWithDefault(fields_by_name)
    return MESSAGES_BY_CODE[code].format_map(fields)


class _FieldsWithDefault(dict):
    """Event fields with a question mark for each missing one."""

    def __missing__(self, name: str) -> str:
        return "?"


def find_event_code(query: str) -> result.Result[EventCode | None, str]:
    """Finds an event by its name or number.

    Args:
      query: Name in any case, with dashes or underscores, or a number. Empty
        if no event is asked for.

    Returns:
      The event code, None for an empty query, or an error message if there is
      no such event.
    """
    if not query:
        return result.Ok(None)
    name = query.upper().replace("-", "_")
    if name in EventCode.__members__:
        return result.Ok(EventCode[name])
    if query.isascii() and query.isdigit() and len(query) < 6:
        number = int(query)
        if number in MESSAGES_BY_CODE:
            return result.Ok(EventCode(number))
    return result.Err(f"no event has the name or number {query!r}")
