"""Records what clients, workers and the operator observe, and checks it. Sends no requests to aniseline itself.

Holds the outcome of each request, the tries of each job and their responses, the starts and ends of each task, and each failure.
"""

import json
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from connection import Outcome

KILL_TOLERANCE_SECONDS = 1.0  # before and after a process is killed its clients may lose responses


@dataclass
class JobRecord:
    id: str
    prefix: str
    tenant: str
    possibly_accepted: bool = False  # a try was cut, timed out, or had 502 or 504
    accepted_at: float = 0.0
    cancel_sent: bool = False
    tries: list = field(default_factory=list)  # (seconds since the start of the run, gateway, outcome, status)


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
        self.member_by_address = {}  # address -> fleet member; gives the times of signals to its process
        self.connections = Counter()
        self.tenants = None  # a Tenants object; set by its creator

    # --- log and failures ---

    def elapsed_seconds(self):
        return time.monotonic() - self.began_at

    def write_log(self, text):
        self.log.write(f"{self.elapsed_seconds():9.3f} {text}\n")

    def record_failure(self, kind, text):
        self.failures[kind] += 1
        self.write_log(f"FAILED {kind}: {text}")

    def record_stop(self, role, stop_seconds):
        self.stop_times[role].append(stop_seconds)

    # --- requests ---

    def record_exchange(self, caller, address, kind, exchange):
        self.outcomes[(caller, exchange.outcome.value)] += 1
        if exchange.outcome is Outcome.ANSWERED:
            self.statuses[(caller, kind, exchange.status)] += 1
            return
        if exchange.outcome is Outcome.REFUSED:
            return
        member = self.member_by_address.get(address)
        requested = member.stop_requested_at if member else 0.0
        text = (
            f"{caller} {kind} at {member.name if member else address}: {exchange.detail}; last byte sent "
            f"{(exchange.ended_at - exchange.completed_at) * 1000:.0f} ms before the end, {exchange.responses_before} answers before on "
            f"this connection, {exchange.partial_bytes} bytes of the answer came, port {exchange.local_port}, SIGTERM "
            + (f"{exchange.ended_at - member.sigterm_times[-1]:.3f} s before" if member and member.sigterm_times else "never")
        )
        if member and any(
            exchange.completed_at - KILL_TOLERANCE_SECONDS <= at <= exchange.ended_at + KILL_TOLERANCE_SECONDS for at in member.kill_times
        ):
            self.outcomes[(caller, exchange.outcome.value + "_by_kill")] += 1
            self.outcomes[(caller, exchange.outcome.value)] -= 1
            return
        self.record_failure(f"{caller}_{exchange.outcome.value}", text)

    # --- jobs ---

    def record_try(self, job, address, exchange):
        status = exchange.status
        job.tries.append((round(self.elapsed_seconds(), 3), f"{address[0]}:{address[1]}", exchange.outcome.value, status))
        if 200 <= status < 300:
            job.accepted_at = job.accepted_at or time.monotonic()
        elif exchange.outcome in (Outcome.CUT, Outcome.TIMED_OUT) or status in (502, 504):
            job.possibly_accepted = True

    # --- tasks, as reported by the workers ---

    def record_task_start(self, worker, task, attempt, cpu):
        job = task.split(".")[0]
        self.started_jobs.add(job)
        self.starts[task] += 1
        present = self.running.setdefault(task, set())
        if present:
            self.record_failure("task_runs_twice", f"{task} attempt {attempt} at {worker} beside {present}")
        if task in self.confirmed_done:
            self.record_failure("task_started_after_its_end", f"{task} attempt {attempt} at {worker}")
        present.add((worker, attempt))
        if job not in self.jobs:
            self.record_failure("task_of_unknown_job", task)
        else:
            self.tenants.record_task_start(self.jobs[job].tenant, task, worker, attempt, cpu)

    def record_task_end(self, worker, task, attempt, end_kind):
        self.tenants.record_task_end(task, worker, attempt)
        self.running.get(task, set()).discard((worker, attempt))
        if end_kind != "done":
            self.outcomes[("task", end_kind)] += 1

    def record_confirmed_end(self, task, attempt, end_kind, hold_lapsed):
        if end_kind == "done" and hold_lapsed:
            self.outcomes[("task", "done_before_a_lapse")] += 1
        elif end_kind == "done":
            self.confirmed_done.add(task)

    def record_lapsed_hold(self, worker, ends, late_ms):
        self.write_log(f"hold lapsed at {worker} {late_ms} ms ago with {ends} unconfirmed ends")

    # --- final checks and summary ---

    def check_rejected_jobs(self):
        for job in self.jobs.values():
            if job.tries and not job.accepted_at and not job.possibly_accepted and job.id in self.started_jobs:
                self.record_failure("rejected_job_ran", f"{job.id} {job.tries}")

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
                "rejected": sum(1 for job in self.jobs.values() if not job.accepted_at and not job.possibly_accepted),
            },
            "connections": dict(sorted(self.connections.items())),
            "keys": dict(sorted(self.tenants.counts.items())),
        }
