"""Access to the presets and the preset in force in the store."""

import result
from twisted.internet import defer

from bergamotdeal.presets import codec
from bergamotdeal.presets import in_force
from bergamotdeal.presets import model
from bergamotdeal.store import core as store

FailureKind = store.FailureKind


@defer.inlineCallbacks
def put(object_store: store.Store, preset: model.Preset):
    """Stores a preset under its name and replaces an existing one.

    Args:
      object_store: The store.
      preset: The preset.

    Returns:
      A deferred with a result: the object's new version or a ``Failure``. The
      failure is ``CONFLICT`` if the stored preset changed in the meantime.
    """
    key = in_force.PRESET_PREFIX + preset.name
    known = yield object_store.get(key)
    match known:
        case result.Ok(stored):
            version = stored.version
        case result.Err(f) if f.kind is FailureKind.NOT_FOUND:
            version = store.NO_VERSION
        case _:
            return known
    written = yield object_store.put(
        key, codec.encode(preset), expected_version=version
    )
    return written


@defer.inlineCallbacks
def get(object_store: store.Store, name: str):
    """Reads a stored preset.

    Args:
      object_store: The store.
      name: Name of the preset.

    Returns:
      A deferred with a result: the preset or a ``Failure``.
    """
    outcome = yield object_store.get(in_force.PRESET_PREFIX + name)
    return outcome.and_then(lambda stored: _decode(stored.value))


def _decode(data: bytes) -> result.Result[model.Preset, store.Failure]:
    return codec.decode(data).map_err(
        lambda detail: store.Failure(kind=FailureKind.INVALID, detail=detail)
    )


@defer.inlineCallbacks
def list_names(object_store: store.Store):
    """Lists the names of the stored presets.

    Args:
      object_store: The store.

    Returns:
      A deferred with a result: the sorted names or a ``Failure``.
    """
    outcome = yield object_store.list(in_force.PRESET_PREFIX)
    return outcome.map(
        lambda listed: sorted(
            entry.key.removeprefix(in_force.PRESET_PREFIX) for entry in listed
        )
    )


@defer.inlineCallbacks
def read_in_force(object_store: store.Store):
    """Reads the preset in force.

    Args:
      object_store: The store.

    Returns:
      A deferred with a result: ``in_force.ActivePreset`` or a ``Failure``.
    """
    outcome = yield object_store.get(in_force.IN_FORCE_KEY)
    return outcome.and_then(lambda stored: _decode_in_force(stored.value))


def _decode_in_force(
    data: bytes,
) -> result.Result[in_force.ActivePreset, store.Failure]:
    return in_force.decode(data).map_err(
        lambda detail: store.Failure(kind=FailureKind.INVALID, detail=detail)
    )
