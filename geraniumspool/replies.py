"""Replies to agents' heartbeats, and configuration pushes to agents.

A reply contains the roster changes since the version that the agent has: all
members of its own failure domain, all entries, and the members of other domains
in its window. Members that left the window are listed as released, since the
agent gets no more updates about them. An agent without a version gets the full
selection. Agents with queued tasks also get loads of workers; the others learn
these from offers and results.
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
from geraniumspool.windows import ForeignWindows

DOCUMENT_BYTES = 16_384
PUSHES_AT_ONCE = 16
PUSH_PAUSE_MS = 50.0


# State of an agent: the window that it has confirmed, and version and window in the last reply,
# which may have been lost.
class _AgentView(NamedTuple):
    config_revision: int
    known_window: frozenset[str]
    sent_version: int
    sent_window: frozenset[str]


class Replies:
    """Replies to the agents that send their heartbeats to this entry."""

    def __init__(
        self,
        messenger: Messenger,
        roster: Roster,
        clock: Clock,
        configuration: Any,
        period_ms: Callable[[], float],
        generator: random.Random,
    ):
        """Store the collaborators.

        :param configuration: has ``revision`` and ``documents_after(revision, limit_bytes)``
        :param period_ms: returns the heartbeat period that agents should use
        :param generator: source of random numbers for samples of loads
        """
        self._messenger = messenger
        self._roster = roster
        self._clock = clock
        self._configuration = configuration
        self._period_ms = period_ms
        self._windows = ForeignWindows(roster)
        self._hints = Hints(roster, clock, generator)
        self._agents: dict[Peer, _AgentView] = {}
        self._push_timer = Timer(lambda: None)

    def __len__(self) -> int:
        """Return the number of agents that send heartbeats to this entry."""
        return len(self._agents)

    @property
    def agents(self) -> list[Peer]:
        """The agents that send heartbeats to this entry."""
        return list(self._agents)

    def reply(self, sender: Peer, heartbeat: Heartbeat) -> None:
        """Reply to a heartbeat."""
        self._messenger.send(sender, self._reply(sender, heartbeat))

    def request_full_state(self, sender: Peer) -> None:
        """Ask an agent to send a heartbeat with its full state."""
        self._messenger.send(sender, self._make(again=True))

    def push_configuration(self) -> None:
        """Send new configuration to the agents in small batches.

        This does not block: a timer sends the batches after the first.
        """
        self._push_timer.cancel()
        self._push(deque(self._agents))

    def next_documents(self, revision: int) -> tuple[Document, ...]:
        """Return the next documents for a process whose configuration is at a revision."""
        if revision >= self._configuration.revision:
            return ()
        return tuple(self._configuration.documents_after(revision, DOCUMENT_BYTES))

    def lowest_agent_revisions(self) -> dict[str, int]:
        """Return the lowest configuration revision of this entry's agents, per failure domain."""
        lowest: dict[str, int] = {}
        for peer, view in self._agents.items():
            member = self._roster.get(peer)
            if member and not is_final(member) and not self._roster.origin(peer).is_claimed:
                revision = lowest.get(member.domain, view.config_revision)
                lowest[member.domain] = min(revision, view.config_revision)
        return lowest

    def has_foreign_agents(self) -> bool:
        """Return whether agents of other failure domains send heartbeats to this entry."""
        members = map(self._roster.get, self._agents)
        return any(member and member.domain != self._roster.domain for member in members)

    def prune(self) -> None:
        """Remove agents that are gone or send their heartbeats to another entry."""
        for peer in list(self._agents):
            if self._roster.is_gone(peer) or not self._roster.origin(peer).is_direct:
                del self._agents[peer]

    def reset_windows(self) -> None:
        """Discard the hash rings, which still contain members that the roster has removed."""
        self._windows.clear()

    def _push(self, remaining: deque[Peer]) -> None:
        sent = 0
        while remaining and sent < PUSHES_AT_ONCE:
            peer = remaining.popleft()
            view = self._agents.get(peer)
            if view is None or view.config_revision >= self._configuration.revision:
                continue
            documents = self.next_documents(view.config_revision)
            self._messenger.send(peer, self._make(documents=documents))
            sent += 1
        if remaining:
            self._push_timer = self._clock.after(PUSH_PAUSE_MS, lambda: self._push(remaining))

    def _reply(self, sender: Peer, heartbeat: Heartbeat) -> HeartbeatReply:
        member = heartbeat.member
        view = self._agents.get(sender) or _AgentView(0, frozenset(), 0, frozenset())
        version = heartbeat.roster_version
        whole = heartbeat.roster_entry == 0 or not self._roster.covers(version)
        is_leaving = is_final(member) or member.state == MEMBER_LEAVING
        documents = self.next_documents(heartbeat.config_revision)
        if whole and is_leaving:
            return self._make(documents=documents)
        old_window = frozenset() if whole else view.known_window
        if not whole and version == view.sent_version:
            old_window = view.sent_window
        window = self._windows.choose(member)
        self._agents[sender] = _AgentView(
            heartbeat.config_revision, old_window, self._roster.version, window
        )
        members = self._select_members(member, version, whole, old_window, window)
        has_backlog = member.load.backlog_ms > 0
        hints = self._hints.choose(member, window) if has_backlog else ()
        released = tuple(old_window - window) if window is not old_window else ()
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
        old_window: frozenset[str],
        window: frozenset[str],
    ) -> tuple[Member, ...]:
        def is_always_included(member: Member) -> bool:
            return member.domain == agent.domain or member.role == ROLE_ENTRY

        if whole:
            members = self._roster.members()
            return tuple(
                m
                for m in members
                if is_always_included(m) or (m.address in window and not is_final(m))
            )
        changed = self._roster.changes_since(version)
        selected = [
            m
            for m in changed
            if is_always_included(m) or m.address in window or m.address in old_window
        ]
        added = window - old_window if window is not old_window else None
        if added:
            already_selected = set(map(peer_of, selected))
            living = [m for m in self._roster.members() if not is_final(m)]
            selected += [
                m for m in living if m.address in added and peer_of(m) not in already_selected
            ]
        return tuple(selected)
