"""What clients, workers and the operator have seen, and the verdict over it. Nothing here asks aniseline.

Kept here: each request's outcome, each job's tries and answers, each task's starts and ends, each failure with its time.
"""

import json
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from connection import Outcome

KILL_SHADOW_SECONDS = 1.0  # around the kill of a process its clients may lose answers


@dataclass
class JobRecord:
    id: str
    prefix: str
    tenant: str
    maybe_taken: bool = False  # some try had no clear answer
    accepted_at: float = 0.0
    cancel_sent: bool = False
    tries: list = field(default_factory=list)  # (seconds, gateway, outcome, status)


class Ledger:
    def __init__(self, folder):
        self.began_at = time.monotonic()
        self.log = open(f"{folder}/soak.log", "w", buffering=1)
        self.outcomes = Counter()
        self.statuses = Counter()
        self.failures = Counter()
        self.stop_times = defaultdict(list)
        self.jobs = {}
        self.running = {}  # task -> {(worker, attempt)}
        self.confirmed_done = set()
        self.started_jobs = set()
        self.starts = Counter()
        self.member_of = {}  # address -> member, for the times of its signals
        self.connections = Counter()
        self.tenants = None  # set by whoever makes them: Tenants

    # --- notes and failures ---

    def seconds(self):
        return time.monotonic() - self.began_at

    def note(self, text):
        self.log.write(f"{self.seconds():9.3f} {text}\n")

    def fail(self, kind, text):
        self.failures[kind] += 1
        self.note(f"FAILED {kind}: {text}")

    def stopped(self, role, took):
        self.stop_times[role].append(took)

    # --- requests ---

    def exchanged(self, side, address, kind, exchange):
        self.outcomes[(side, exchange.outcome.value)] += 1
        if exchange.outcome is Outcome.ANSWERED:
            self.statuses[(side, kind, exchange.status)] += 1
            return
        if exchange.outcome is Outcome.REFUSED:
            return
        member = self.member_of.get(address)
        asked = member.stop_asked_at if member else 0.0
        text = (
            f"{side} {kind} at {member.name if member else address}: {exchange.detail}; last byte sent "
            f"{(exchange.ended_at - exchange.completed_at) * 1000:.0f} ms before the end, {exchange.answers_before} answers before on "
            f"this connection, {exchange.partial_bytes} bytes of the answer came, port {exchange.local_port}, SIGTERM "
            + (f"{exchange.ended_at - member.terms[-1]:.3f} s before" if member and member.terms else "never")
        )
        if member and any(
            exchange.completed_at - KILL_SHADOW_SECONDS <= at <= exchange.ended_at + KILL_SHADOW_SECONDS for at in member.kills
        ):
            self.outcomes[(side, exchange.outcome.value + "_by_kill")] += 1
            self.outcomes[(side, exchange.outcome.value)] -= 1
            return
        self.fail(f"{side}_{exchange.outcome.value}", text)

    # --- jobs ---

    def job_tried(self, job, address, exchange):
        status = exchange.status
        job.tries.append((round(self.seconds(), 3), f"{address[0]}:{address[1]}", exchange.outcome.value, status))
        if 200 <= status < 300:
            job.accepted_at = job.accepted_at or time.monotonic()
        elif exchange.outcome in (Outcome.CUT, Outcome.TIMED_OUT) or status in (502, 504):
            job.maybe_taken = True

    # --- tasks, as the workers see them ---

    def task_started(self, worker, task, attempt, cpu):
        job = task.split(".")[0]
        self.started_jobs.add(job)
        self.starts[task] += 1
        present = self.running.setdefault(task, set())
        if present:
            self.fail("task_runs_twice", f"{task} attempt {attempt} at {worker} beside {present}")
        if task in self.confirmed_done:
            self.fail("task_started_after_its_end", f"{task} attempt {attempt} at {worker}")
        present.add((worker, attempt))
        if job not in self.jobs:
            self.fail("task_of_unknown_job", task)
        else:
            self.tenants.task_started(self.jobs[job].tenant, task, worker, attempt, cpu)

    def task_ended(self, worker, task, attempt, how):
        self.tenants.task_ended(task, worker, attempt)
        self.running.get(task, set()).discard((worker, attempt))
        if how != "done":
            self.outcomes[("task", how)] += 1

    def end_confirmed(self, task, attempt, how, hold_lapsed):
        if how == "done" and hold_lapsed:
            self.outcomes[("task", "done_before_a_lapse")] += 1
        elif how == "done":
            self.confirmed_done.add(task)

    def hold_lapsed(self, worker, ends, late_ms):
        self.note(f"hold lapsed at {worker} {late_ms} ms ago with {ends} unconfirmed ends")

    # --- verdict ---

    def judge_rejected_jobs(self):
        for job in self.jobs.values():
            if job.tries and not job.accepted_at and not job.maybe_taken and job.id in self.started_jobs:
                self.fail("rejected_job_ran", f"{job.id} {job.tries}")

    def write_jobs(self, folder):
        with open(f"{folder}/jobs.jsonl", "w") as file:
            for job in self.jobs.values():
                row = {
                    "id": job.id,
                    "prefix": job.prefix,
                    "accepted": bool(job.accepted_at),
                    "cancelled": job.cancel_sent,
                    "tries": job.tries,
                }
                file.write(json.dumps(row) + "\n")

    def summary(self):
        return {
            "outcomes": {" ".join(key): count for key, count in sorted(self.outcomes.items()) if count},
            "statuses": {" ".join(map(str, key)): count for key, count in sorted(self.statuses.items())},
            "failures": dict(self.failures),
            "stop_seconds": {
                role: {"count": len(times), "min": round(min(times), 2), "max": round(max(times), 2)}
                for role, times in sorted(self.stop_times.items())
            },
            "jobs": {
                "submitted": len(self.jobs),
                "accepted": sum(1 for job in self.jobs.values() if job.accepted_at),
                "rejected": sum(1 for job in self.jobs.values() if not job.accepted_at and not job.maybe_taken),
            },
            "connections": dict(sorted(self.connections.items())),
            "keys": dict(sorted(self.tenants.counts.items())),
        }
