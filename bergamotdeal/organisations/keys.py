"""Digests of keys and the table of the keys of a preset."""

import hashlib
import re

from bergamotdeal.presets import model

MAX_KEY_CHARS = 1024
"""Maximum length of a key; a longer one is malformed."""

_AUTHORIZATION = "authorization"
_SCHEME = "bearer"
_DIGEST_BYTES = 16
_KEY_PATTERN = re.compile(r"[!-~]+")
# Leading and trailing spaces are part of the header's framing, RFC 9110 5.5.
_OPTIONAL_WHITESPACE = " \t"


def digest_key(key: str) -> str:
    """Returns the digest that stands for a key in presets and in memory.

    Args:
      key: Key as the organisation presents it.
    """
    digest = hashlib.blake2b(
        key.encode("utf-8", "surrogatepass"), digest_size=_DIGEST_BYTES
    )
    return digest.hexdigest()


def is_valid_key(key: str) -> bool:
    """Returns whether a key can be presented in a header.

    Args:
      key: Key of a configuration or a header.
    """
    return len(key) <= MAX_KEY_CHARS and bool(_KEY_PATTERN.fullmatch(key))


def read_digest(values: list[str]) -> str | None:
    """Returns the digest of the key in the ``Authorization`` headers.

    Args:
      values: Values of all ``Authorization`` headers of a request.

    Returns:
      The digest, None without a header, or empty if there is more than one
      header, another scheme or a malformed key.
    """
    if not values:
        return None
    if len(values) > 1:
        return ""
    scheme, _, key = values[0].strip(_OPTIONAL_WHITESPACE).partition(" ")
    key = key.lstrip(_OPTIONAL_WHITESPACE)
    if scheme.lower() != _SCHEME or not is_valid_key(key):
        return ""
    return digest_key(key)


def extract_digest(headers: list[tuple[str, str]]) -> str | None:
    """Removes the ``Authorization`` headers of a request.

    Args:
      headers: Pairs of lower-case name and value; changed in place.

    Returns:
      The digest of the key, see ``read_digest``.
    """
    values = [value for name, value in headers if name == _AUTHORIZATION]
    if values:
        headers[:] = [pair for pair in headers if pair[0] != _AUTHORIZATION]
    return read_digest(values)


class KeyTable:
    """The keys of a preset's organisations, indexed by digest.

    Args:
      organisations: Organisations of the preset.
    """

    def __init__(
        self, *, organisations: tuple[model.Organisation, ...]
    ) -> None:
        self._organisations_by_digest = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }
        self._classes_by_name = {
            organisation.name: organisation.class_name
            for organisation in organisations
        }

    @property
    def is_required(self) -> bool:
        """Whether requests on routes that aren't public need a key."""
        return bool(self._classes_by_name)

    def find(self, digest: str) -> model.Organisation | None:
        """Returns the organisation that a key belongs to, or None.

        Args:
          digest: Digest of the key, untrusted.
        """
        return self._organisations_by_digest.get(digest)

    def get_class_name(self, name: str) -> str:
        """Returns the class of an organisation's requests.

        Args:
          name: Name of the organisation.

        Returns:
          The class, or empty for the class of the request's route.
        """
        return self._classes_by_name.get(name, "")
