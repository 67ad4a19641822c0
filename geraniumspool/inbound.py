"""Decoding and checking of incoming messages, for every kind of messenger."""

import logging
from collections.abc import Callable

from geraniumspool.contracts import Counters
from geraniumspool.errors import MalformedMessage, UnknownKind
from geraniumspool.link_monitor import OutdatedReason
from geraniumspool.messages import (
    ANY_INCARNATION,
    Delivery,
    Message,
    Peer,
    WrongIncarnation,
    decode,
    is_ordered,
    kind_name,
)

_LOG = logging.getLogger(__name__)

# Kinds of messages of newer builds that are logged, one line each.
MAX_NEWER_KINDS = 100

Receiver = Callable[[Delivery], None]


class InboundHandler:
    """Decodes and validates incoming messages and passes them to the receive callback.

    :ivar receive: called with each valid message
    """

    def __init__(
        self,
        local_peer: Peer,
        counters: Counters,
        send_reply: Callable[[Peer, Message], bool],
        note_received: Callable[[Delivery], OutdatedReason | None],
    ):
        """Store the collaborators.

        :param send_reply: sends a rejection
        :param note_received: called with each decoded message; returns why it is outdated, None if
            it is not
        """
        self._local_peer = local_peer
        self._counters = counters
        self._send_reply = send_reply
        self._note_received = note_received
        self.receive: Receiver | None = None
        self._newer_kinds: set[str] = set()

    def handle(self, data: bytes) -> None:
        """Decode one message and pass it to the receive callback, or reject it."""
        try:
            delivery = decode(data)
        except UnknownKind as error:
            self._counters.add("messages_rejected", reason="unknown_kind")
            self._log_newer(str(error))
            return
        except MalformedMessage:
            self._counters.add("messages_rejected", reason="malformed")
            return
        outdated = self._note_received(delivery)
        if delivery.receiver not in (ANY_INCARNATION, self._local_peer.incarnation):
            self._reject(delivery)
            return
        if outdated is not None and is_ordered(delivery.message):
            self._counters.add("messages_rejected", reason=outdated.value)
            return
        self._counters.add("messages_received", kind=kind_name(delivery.kind))
        if delivery.is_newer:
            self._counters.add("messages_newer", kind=kind_name(delivery.kind))
            self._log_newer(kind_name(delivery.kind))
        try:
            self.receive(delivery)
        except Exception:
            # An exception in one handler must not stop the receive loop of the whole process.
            self._counters.add("messages_rejected", reason="handler_failed")
            _LOG.exception("message handler failed")

    def _log_newer(self, kind: str) -> None:
        """Log the first message of a kind of which this build knows only a part, or nothing."""
        if kind in self._newer_kinds or len(self._newer_kinds) >= MAX_NEWER_KINDS:
            return
        self._newer_kinds.add(kind)
        _LOG.info("message of a newer build", extra={"fields": (("kind", kind),)})

    def _reject(self, delivery: Delivery) -> None:
        self._counters.add("messages_rejected", reason="wrong_incarnation")
        if isinstance(delivery.message, WrongIncarnation):
            return
        request = getattr(delivery.message, "request", 0)
        rejection = WrongIncarnation(delivery.kind, request, delivery.receiver)
        self._send_reply(delivery.sender, rejection)
