"""Samples of agents' loads that replies to heartbeats carry as placement hints."""

import heapq
import math
import random

from geraniumspool.contracts import Clock
from geraniumspool.members import peer_of
from geraniumspool.messages import Load, Member
from geraniumspool.roster import Roster

HINTS_PER_REPLY = 16
HINT_CANDIDATES = 32
HINTS_CACHE_MS = 500.0


class Hints:
    """Selects agents whose loads to report: up to half of them from the least loaded ones."""

    def __init__(self, roster: Roster, clock: Clock, generator: random.Random):
        """Store the collaborators.

        :param roster: known members and their loads
        :param clock: source of time
        :param generator: source of random numbers
        """
        self._roster = roster
        self._clock = clock
        self._random = generator
        self._best: dict[tuple[str, str], tuple[float, list[Member]]] = {}

    def choose(self, agent: Member, window: frozenset[str]) -> tuple[tuple[str, int, Load], ...]:
        """Return address, incarnation and load of some agents of the same service.

        :param agent: the agent that receives the hints
        :param window: addresses of the agents of other failure domains that it knows
        """
        local = self._roster.agents(agent.service, agent.domain)
        best = self._find_best(agent.service, agent.domain, local)
        chosen = dict.fromkeys(self._sample(best, HINTS_PER_REPLY // 2))
        chosen |= dict.fromkeys(self._sample(local, HINTS_PER_REPLY))
        if len(chosen) <= HINTS_PER_REPLY:
            others = self._roster.agents(agent.service)
            chosen |= dict.fromkeys(m for m in others if m.address in window)
        peers = [peer for peer in map(peer_of, chosen) if peer != peer_of(agent)]
        hints = []
        for peer in list(dict.fromkeys(peers))[:HINTS_PER_REPLY]:
            member = self._roster.get(peer)
            if member:
                hints.append((peer.address, peer.incarnation, member.load))
        return tuple(hints)

    def _find_best(self, service: str, domain: str, agents: list[Member]) -> list[Member]:
        now = self._clock.now()
        cached_ms, best = self._best.get((service, domain), (-math.inf, []))
        if now - cached_ms >= HINTS_CACHE_MS:
            best = heapq.nlargest(
                HINT_CANDIDATES, agents, key=lambda member: member.load.free - member.load.queued
            )
            self._best[service, domain] = (now, best)
        return best

    def _sample(self, members: list[Member], size: int) -> list[Member]:
        return self._random.sample(members, min(size, len(members)))
