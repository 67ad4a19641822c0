"""Replacement of the set of an event's waiters, for reproducible storms."""


class OrderedWaiters(dict):
    """Wakes the waiters of an event in the order of arrival.

    The set that eventlet uses wakes them in the order of their memory addresses, so that a storm
    in which two callers wait for one job wouldn't be reproducible.
    """

    def add(self, waiter):
        self[waiter] = None

    def discard(self, waiter):
        self.pop(waiter, None)
