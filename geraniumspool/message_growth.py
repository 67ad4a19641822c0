"""Messages that have more elements in one build than in another."""

import functools
import typing
from collections.abc import Mapping


def trim_elements(value: object, lengths: Mapping[type, int]) -> object:
    """Return a message in the form of a build in which some types had fewer fields.

    :param value: a message or a part of one
    :param lengths: number of fields that the build knows, by type; types that are not listed
        are unchanged
    """
    if not lengths or not isinstance(value, tuple):
        return value
    known = value[: lengths.get(type(value), len(value))]
    return tuple(trim_elements(element, lengths) for element in known)


def skip_unknown_elements(value: object, wanted: object) -> tuple[object, bool]:
    """Return a decoded message without the elements that follow the fields of its types.

    :param value: a message or a part of one as lists, numbers and texts
    :param wanted: the type that it is decoded to
    :return: the message, and whether elements were skipped
    """
    if not isinstance(value, list):
        return value, False
    element_types, has_end = _list_element_types(wanted, len(value))
    if element_types is None:
        return value, False
    pairs = zip(value, element_types, strict=False)
    elements = [skip_unknown_elements(element, kind) for element, kind in pairs]
    is_longer = has_end and len(value) > len(element_types)
    has_skipped = is_longer or any(skipped for _, skipped in elements)
    return [element for element, _ in elements], has_skipped


def _list_element_types(wanted: object, length: int) -> tuple[tuple[object, ...] | None, bool]:
    """Return the types of a list's elements, and whether elements after them are skipped."""
    if hasattr(wanted, "_fields"):
        return _field_types(wanted), True
    for option in typing.get_args(wanted):
        if hasattr(option, "_fields") and typing.get_origin(wanted) is not tuple:
            return _field_types(option), True
    if typing.get_origin(wanted) is not tuple:
        return None, False
    arguments = typing.get_args(wanted)
    if arguments[-1] is Ellipsis:
        return arguments[:1] * length, False
    return (arguments, False) if len(arguments) == length else (None, False)


@functools.cache
def _field_types(named_tuple: type) -> tuple[object, ...]:
    hints = typing.get_type_hints(named_tuple)
    return tuple(hints[name] for name in named_tuple._fields)
