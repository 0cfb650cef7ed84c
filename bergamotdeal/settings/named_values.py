"""Numbers and flags of a list of ``name=value`` texts."""

from collections.abc import Iterable
import math


class NamedValues:
    """Values by name.

    Args:
      section: Name of the list, for error messages.
      texts: Texts of the form ``name=value``.
    """

    def __init__(self, *, section: str, texts: Iterable[str]) -> None:
        self._section = section
        self._texts_by_name = dict(
            text.strip().partition("=")[::2] for text in texts
        )

    def get_flag(self, name: str) -> bool:
        """Returns a flag; one that is not listed is false.

        Args:
          name: Name of the value.

        Raises:
          ValueError: The value is neither ``true`` nor ``false``.
        """
        text = self._texts_by_name.get(name, "false")
        if text not in ("true", "false"):
            raise self._build_error(name, text, "true or false")
        return text == "true"

    def get_number(self, name: str, default: float) -> float:
        """Returns a finite number.

        Args:
          name: Name of the value.
          default: Number if the value is not listed.

        Raises:
          ValueError: The value is not a number.
        """
        text = self._texts_by_name.get(name)
        if text is None:
            return default
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise self._build_error(name, text, "a number")
        return number

    def _build_error(self, name: str, text: str, expected: str) -> ValueError:
        return ValueError(
            f"{self._section}: {name}={text}: expected {expected}"
        )
