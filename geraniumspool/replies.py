"""Replies to agents' heartbeats, and configuration pushed to them.

A reply holds the changes of the roster since the version that the agent has:
all of its own failure domain and of the entries, and of other domains those
in its window; what leaves the window is released, since nothing more will be
told of it. Whoever comes without a version gets all of it. Agents at which
tasks wait are told loads of workers as well; the others learn those from
offers and results.
"""

import random
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from geraniumspool.clock import Timer
from geraniumspool.contracts import Clock, Messenger
from geraniumspool.hints import Hints
from geraniumspool.members import ROLE_ENTRY, is_final, peer_of
from geraniumspool.messages import (
    MEMBER_LEAVING,
    Document,
    Heartbeat,
    HeartbeatReply,
    Load,
    Member,
    Peer,
)
from geraniumspool.roster import Roster
from geraniumspool.windows import Windows

DOCUMENT_BYTES = 16_384
PUSHES_AT_ONCE = 16
PUSH_PAUSE_MS = 50.0


class _AgentView(NamedTuple):
    config_revision: int
    foreign: frozenset[str]
    sent_version: int
    sent_foreign: frozenset[str]


class Replies:
    """What the agents that beat here are told."""

    def __init__(
        self,
        messenger: Messenger,
        roster: Roster,
        clock: Clock,
        configuration: Any,
        period_ms: Callable[[], float],
        generator: random.Random,
    ):
        """Connect the parts.

        :param configuration: has ``revision`` and ``documents_after(revision, limit_bytes)``
        :param period_ms: returns how long agents should wait before they beat again
        :param generator: source of random samples
        """
        self._messenger = messenger
        self._roster = roster
        self._clock = clock
        self._configuration = configuration
        self._period_ms = period_ms
        self._windows = Windows(roster)
        self._hints = Hints(roster, clock, generator)
        self._agents: dict[Peer, _AgentView] = {}
        self._push_timer = Timer(lambda: None)

    def __len__(self) -> int:
        """Return the number of agents that beat here."""
        return len(self._agents)

    @property
    def agents(self) -> list[Peer]:
        """The agents that beat here."""
        return list(self._agents)

    def send(self, sender: Peer, heartbeat: Heartbeat) -> None:
        """Reply to a heartbeat."""
        self._messenger.send(sender, self._reply(sender, heartbeat))

    def ask_again(self, sender: Peer) -> None:
        """Ask an agent for all of its state."""
        self._messenger.send(sender, self._make(again=True))

    def push(self) -> None:
        """Send new configuration to the agents in small batches.

        It does not block: a timer sends the batches after the first.
        """
        self._push_timer.cancel()
        self._push(deque(self._agents))

    def documents(self, revision: int) -> tuple[Document, ...]:
        """Return the documents to send next to somebody who has a revision."""
        if revision >= self._configuration.revision:
            return ()
        return tuple(self._configuration.documents_after(revision, DOCUMENT_BYTES))

    def served_revisions(self) -> dict[str, int]:
        """Return the lowest configuration revision per failure domain of the agents here."""
        lowest: dict[str, int] = {}
        for peer, view in self._agents.items():
            member = self._roster.get(peer)
            if member and not is_final(member) and not self._roster.origin(peer).is_claimed:
                revision = lowest.get(member.domain, view.config_revision)
                lowest[member.domain] = min(revision, view.config_revision)
        return lowest

    def has_foreign_agents(self) -> bool:
        """Return whether agents of other failure domains beat here."""
        members = map(self._roster.get, self._agents)
        return any(member and member.domain != self._roster.domain for member in members)

    def prune(self) -> None:
        """Forget agents that are gone or beat elsewhere."""
        for peer in list(self._agents):
            if self._roster.is_gone(peer) or not self._roster.origin(peer).is_direct:
                del self._agents[peer]

    def forget_rings(self) -> None:
        """Choose windows anew, since members were forgotten."""
        self._windows.clear()

    def _push(self, waiting: deque[Peer]) -> None:
        pushed = 0
        while waiting and pushed < PUSHES_AT_ONCE:
            peer = waiting.popleft()
            view = self._agents.get(peer)
            if view is None or view.config_revision >= self._configuration.revision:
                continue
            documents = self.documents(view.config_revision)
            self._messenger.send(peer, self._make(documents=documents))
            pushed += 1
        if waiting:
            self._push_timer = self._clock.after(PUSH_PAUSE_MS, lambda: self._push(waiting))

    def _reply(self, sender: Peer, heartbeat: Heartbeat) -> HeartbeatReply:
        member = heartbeat.member
        view = self._agents.get(sender) or _AgentView(0, frozenset(), 0, frozenset())
        version = heartbeat.roster_version
        whole = heartbeat.roster_entry == 0 or not self._roster.covers(version)
        leaving = is_final(member) or member.state == MEMBER_LEAVING
        documents = self.documents(heartbeat.config_revision)
        if whole and leaving:
            return self._make(documents=documents)
        known = frozenset() if whole else view.foreign
        if not whole and version == view.sent_version:
            known = view.sent_foreign
        window = self._windows.choose(member)
        self._agents[sender] = _AgentView(
            heartbeat.config_revision, known, self._roster.version, window
        )
        members = self._select_members(member, version, whole, known, window)
        waits = member.load.backlog_ms > 0
        hints = self._hints.choose(member, window) if waits else ()
        released = tuple(known - window) if window is not known else ()
        return self._make(whole, members, hints, documents, self._roster.version, released=released)

    def _make(
        self,
        whole: bool = False,
        members: tuple[Member, ...] = (),
        hints: tuple[tuple[str, int, Load], ...] = (),
        documents: tuple[Document, ...] = (),
        version: int = 0,
        again: bool = False,
        released: tuple[str, ...] = (),
    ) -> HeartbeatReply:
        return HeartbeatReply(
            version,
            whole,
            members,
            hints,
            self._configuration.revision,
            documents,
            self._period_ms(),
            tuple(sorted(self._roster.unreachable)),
            again,
            released,
        )

    def _select_members(
        self,
        agent: Member,
        version: int,
        whole: bool,
        known: frozenset[str],
        window: frozenset[str],
    ) -> tuple[Member, ...]:
        def is_near(member: Member) -> bool:
            return member.domain == agent.domain or member.role == ROLE_ENTRY

        if whole:
            members = self._roster.members()
            return tuple(
                m for m in members if is_near(m) or (m.address in window and not is_final(m))
            )
        changed = self._roster.changes_since(version)
        selected = [m for m in changed if is_near(m) or m.address in window or m.address in known]
        fresh = window - known if window is not known else None
        if fresh:
            done = set(map(peer_of, selected))
            living = [m for m in self._roster.members() if not is_final(m)]
            selected += [m for m in living if m.address in fresh and peer_of(m) not in done]
        return tuple(selected)
