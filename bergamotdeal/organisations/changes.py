"""Changes of the keys in a preset."""

import msgspec

from bergamotdeal.presets import model


def add_key(preset: model.Preset, name: str, digest: str) -> model.Preset:
    """Adds a key; it moves if it belonged to another organisation.

    Args:
      preset: Preset to change.
      name: Name of the organisation, which is added if it is new.
      digest: Digest of the key.

    Returns:
      The changed preset.
    """
    organisations = list(revoke_key(preset, digest).organisations)
    for index, organisation in enumerate(organisations):
        if organisation.name == name:
            organisations[index] = msgspec.structs.replace(
                organisation, key_digests=(*organisation.key_digests, digest)
            )
            break
    else:
        organisations.append(
            model.Organisation(name=name, key_digests=(digest,))
        )
    return msgspec.structs.replace(preset, organisations=tuple(organisations))


def revoke_key(preset: model.Preset, digest: str) -> model.Preset:
    """Revokes a key; its organisation stays, even without any key.

    Args:
      preset: Preset to change.
      digest: Digest of the key.

    Returns:
      The changed preset, which is equal if no organisation has the key.
    """
    return msgspec.structs.replace(
        preset,
        organisations=tuple(
            msgspec.structs.replace(
                organisation,
                key_digests=tuple(
                    each for each in organisation.key_digests if each != digest
                ),
            )
            for organisation in preset.organisations
        ),
    )
