"""How many times as long a task takes away from the rack of its data.

Without I/O. Handles platforms on which remote data costs more or less than the operators say, and
loads of which most tasks have to run away from their data.
"""

import math

# Factor where the setting is absent. It is then not corrected, so that placement is the same as
# before there was a setting.
DEFAULT_REMOTE_DATA_FACTOR = 1.5
# Cost of an owner without workers near the data, with a factor of at most 1.5: away from it,
# typical jobs take longer by this.
REMOTE_DATA_PENALTY_MS = 100.0
# The corrected factor stays within the setting divided and multiplied by this.
CORRECTION_LIMIT = 2.0
# Weight of a run in the averages: they cover about the last thirty runs. They are of logarithms,
# so that the few runs that take many times as long do not dominate them.
SAMPLE_WEIGHT = 0.03
# A single run counts for at most this deviation from its prediction, in either direction.
MAX_DEVIATION = 8.0
# A corrected factor is reported once it differs by this share from the last reported one.
REPORTED_SHARE = 0.1


class RemoteDataFactor:
    """The factor in use, corrected by observed run times if it is set.

    :ivar value: the factor in use, at least 1
    :ivar is_set: whether operators have set it
    :ivar samples: number of observed runs away from their data
    """

    def __init__(self, setting: float | None = None):
        """Start with the setting.

        :param setting: value that operators have set, at least 1; None for the default, which is
            not corrected
        """
        self.is_set = setting is not None
        self.value = setting or DEFAULT_REMOTE_DATA_FACTOR
        self.samples = 0
        self._least = max(1.0, self.value / CORRECTION_LIMIT)
        self._most = self.value * CORRECTION_LIMIT
        self._is_loss_limited = self.value <= DEFAULT_REMOTE_DATA_FACTOR
        self._reported = self.value
        # Mean logarithm of actual by predicted run times near the data, by queue. Subtracted from
        # that of remote runs, it cancels errors that all predictions of a queue share.
        self._local_errors: dict[str, float] = {}

    def record(self, queue: str, is_remote: bool, predicted_ms: float, ran_ms: float) -> bool:
        """Correct the factor by a run of a task that has data; return whether to report it.

        :param queue: name of the task's queue
        :param is_remote: whether it ran away from its data
        :param predicted_ms: run time that was predicted with the factor
        """
        if not self.is_set or predicted_ms <= 0 or ran_ms <= 0:
            return False
        ratio = min(MAX_DEVIATION, max(1 / MAX_DEVIATION, ran_ms / predicted_ms))
        error = math.log(ratio)
        local_error = self._local_errors.get(queue, 0.0)
        if not is_remote:
            self._local_errors[queue] = local_error + SAMPLE_WEIGHT * (error - local_error)
            return False
        self.samples += 1
        corrected = self.value * math.exp(SAMPLE_WEIGHT * (error - local_error))
        self.value = min(self._most, max(self._least, corrected))
        if abs(self.value / self._reported - 1) < REPORTED_SHARE:
            return False
        self._reported = self.value
        return True

    def remote_penalty_ms(self, run_ms: float) -> float:
        """Return what a job loses at an owner without workers near its data, in ms.

        :param run_ms: expected run time of its tasks that have data
        """
        if not self.is_set:
            return REMOTE_DATA_PENALTY_MS
        lost_ms = run_ms * (self.value - 1)
        return min(REMOTE_DATA_PENALTY_MS, lost_ms) if self._is_loss_limited else lost_ms
