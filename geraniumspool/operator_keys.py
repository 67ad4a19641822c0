"""Where the store holds what operators ask for."""

from typing import NamedTuple

from geraniumspool.contracts import Snapshot


class OperatorKeys(NamedTuple):
    """Names of the operators' keys.

    :param prefix: that of all of them, which one watch follows
    :param configuration: key of the configuration
    :param evacuations: prefix of a key for each evacuated failure domain, named by it
    """

    prefix: str
    configuration: str
    evacuations: str


def list_evacuated(snapshot: Snapshot, prefix: str) -> list[str]:
    """Return the evacuated failure domains among some keys.

    :param prefix: that of their keys
    """
    found = (pair.key for pair in snapshot.pairs if pair.key.startswith(prefix))
    return [key.removeprefix(prefix) for key in found]
