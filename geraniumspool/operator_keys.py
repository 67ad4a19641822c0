"""Store keys through which operators configure the dispatcher and evacuate failure domains."""

from typing import NamedTuple

from geraniumspool.contracts import Snapshot


class OperatorKeys(NamedTuple):
    """Names of the operators' keys in the store.

    :param prefix: prefix of all operators' keys, so that one watch follows them all
    :param configuration: key of the configuration
    :param evacuations: prefix of the evacuation keys; each is followed by the name of an
        evacuated failure domain
    """

    prefix: str
    configuration: str
    evacuations: str


def list_evacuated(snapshot: Snapshot, prefix: str) -> list[str]:
    """Return the names of the evacuated failure domains in a snapshot.

    :param prefix: prefix of the evacuation keys; other keys are ignored
    """
    keys = (pair.key for pair in snapshot.pairs if pair.key.startswith(prefix))
    return [key.removeprefix(prefix) for key in keys]
