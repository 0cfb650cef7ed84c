"""The stored object that holds the preset in force and recent switches."""

from typing import Annotated

import msgspec
import result

from bergamotdeal.presets import codec
from bergamotdeal.presets import model
from bergamotdeal.presets import parser

IN_FORCE_KEY = "in-force"
PRESET_PREFIX = "presets/"
HISTORY_LENGTH = 16
MAX_DOCUMENT_BYTES = codec.MAX_PRESET_BYTES + 16 * 1024

Epoch = Annotated[int, msgspec.Meta(ge=1, le=2**62)]
OperationId = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
]
Operator = Annotated[str, msgspec.Meta(max_length=128)]


class Switch(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted switch.

    Attributes:
      epoch: Epoch that the switch started.
      operation_id: Id that the operator's command assigned to the switch.
      preset_name: Name of the preset that the switch put in force.
      operator: Name of the operator.
    """

    epoch: Epoch
    operation_id: OperationId
    preset_name: str
    operator: Operator


class ActivePreset(msgspec.Struct, frozen=True, kw_only=True):
    """The preset in force and the switches that led to it.

    Attributes:
      epoch: Epoch of the preset; each switch raises it.
      operation_id: Id of the switch that put the preset in force.
      operator: Name of the operator.
      preset: Copy of the preset at the time of the switch.
      history: The last switches including this one, newest last.
    """

    epoch: Epoch
    operation_id: OperationId
    operator: Operator = ""
    preset: model.Preset
    history: tuple[Switch, ...] = ()

    def find_switch(self, operation_id: str) -> Switch | None:
        """Returns the switch with an operation id from the history, or None.

        Args:
          operation_id: Id of the switch.
        """
        for switch in self.history:
            if switch.operation_id == operation_id:
                return switch
        return None


def build_successor(
    previous: ActivePreset | None,
    *,
    preset: model.Preset,
    operation_id: str,
    operator: str,
    min_epoch: int = 1,
) -> ActivePreset:
    """Builds the object that a switch writes to the store.

    Args:
      previous: The stored object, or None before the first switch.
      preset: Preset to put in force.
      operation_id: Id of the switch.
      operator: Name of the operator.
      min_epoch: Lower bound of the new epoch, above every epoch seen in the
        fleet.
    """
    epoch = max(1 if previous is None else previous.epoch + 1, min_epoch)
    switch = Switch(
        epoch=epoch,
        operation_id=operation_id,
        preset_name=preset.name,
        operator=operator,
    )
    history = () if previous is None else previous.history
    return ActivePreset(
        epoch=epoch,
        operation_id=operation_id,
        operator=operator,
        preset=preset,
        history=(*history, switch)[-HISTORY_LENGTH:],
    )


def encode(in_force: ActivePreset) -> bytes:
    """Encodes the object as JSON."""
    return msgspec.json.encode(in_force, order="sorted")


def decode(data: bytes) -> result.Result[ActivePreset, str]:
    """Decodes and validates the object.

    Args:
      data: Value from the store or from an operator's command.

    Returns:
      The object, or the reason why the data is not valid.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return result.Err(f"more than {MAX_DOCUMENT_BYTES} bytes")
    try:
        in_force = msgspec.json.decode(data, type=ActivePreset)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))
    problems = parser.validate(in_force.preset)
    if problems:
        return result.Err("; ".join(str(problem) for problem in problems))
    return result.Ok(in_force)
