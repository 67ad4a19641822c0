"""Case 2: a connection that is reset during a cut counts as the end of an executor's process."""

from pathlib import Path

import eventlet
import standins
from standins import Deployment, Record

JOBS = 24
# A task of 1.8 s on a minion of speed 0.8 away from its data (far_x 1.5).
RUN_MS = 3_375
ESTIMATE_MS = 1_800
CPU = 500
DEADLINE_MS = 9_000
RESEND_S = 1.3
CUT_AFTER_S = 0.3
# Executors may write their keys a second time some seconds after their start.
SETTLED_S = 6.0
RESET_AFTER_S = 0.2
BROKEN_AFTER_S = 0.7
CUT_S = 5.0
# Shares of two processors. Front machines have 0.516 to 2.15 cores; the fastest dispatcher places
# the tasks of a small fleet, the next one while that is out of reach.
SHARES = (0.537, 1.075, 0.8)
ZONES = ("sukhbaatar-hall", "bayanzurkh-hall", "khan-uul-hall")


def play(deployment: Deployment, record: Record) -> list[str]:
    """Cut a region with running jobs off, reset connections into it, and send the jobs again."""
    for number, zone in enumerate(ZONES):
        deployment.add_executor(f"side-{number}-0", zone)
        deployment.add_executor(f"side-{number}-1", zone)
    for number in (0, 2, 1):
        if number == 1:
            # Added later: until then front-2 places all tasks and is connected to all executors.
            deployment.await_ready()
            eventlet.sleep(SETTLED_S)
        deployment.add_dispatcher(f"front-{number}", ZONES[number], SHARES[number])
    deployment.await_ready()

    step = {"count": 1, "cpu": CPU, "estimate_ms": ESTIMATE_MS}
    job = {"spec": f"{CPU}:{RUN_MS}", "steps": [step], "best_effort": True}

    def send(name: str, job_id: str) -> int:
        record.write(f"client sends {job_id} to {name}")
        status, body = standins.submit(deployment.fronts[name], job_id, job, DEADLINE_MS)
        text = f"is answered {status} {body[:80]!r}" if status else "has a broken connection"
        record.write(f"client {text} for {job_id} at {name}")
        return status

    def send_until_answered(job_id: str) -> None:
        if not send("front-1", job_id):
            eventlet.sleep(RESEND_S)
            send("front-2", job_id)

    job_ids = [f"{0xA0000000 + number:016x}" for number in range(JOBS)]
    callers = eventlet.GreenPool()
    for job_id in job_ids:
        callers.spawn(send_until_answered, job_id)
    eventlet.sleep(CUT_AFTER_S)
    if not any(minion.running for minion in deployment.minions.values()):
        raise standins.NotRun("no task has started")
    if standins.HAS_TROUBLE:
        deployment.cut({"front-1", "side-1-0", "side-1-1"})
        eventlet.sleep(RESET_AFTER_S)
        deployment.reset_connections("front-2", ("side-1-0", "side-1-1"))
        eventlet.sleep(BROKEN_AFTER_S - RESET_AFTER_S)
        deployment.break_clients("front-1")
        eventlet.sleep(CUT_S - BROKEN_AFTER_S)
        deployment.heal()
    callers.waitall()
    return standins.find_double_runs(deployment)


if __name__ == "__main__":
    standins.run_case(Path(__file__).resolve().parent, play)
