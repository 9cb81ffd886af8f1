"""Simulated workers of the users' platform, in this process. Each is called by its agent and registers there with heartbeats.

Holds the running tasks, the results not yet confirmed, the highest fencing token and the lease. Records every start and end in the ledger.
"""

import asyncio
import json
import time

from connection import Connection, Outcome, Request

HEARTBEAT_SECONDS = 1.5
HEARTBEAT_TIMEOUT_SECONDS = 1.0
MAX_LISTED_RESULTS = 500
CAPACITY = {"cpu": 16000, "mem_mb": 32768, "gpus": 0}


def now_ms():
    return int(time.monotonic() * 1000)


class StandInWorker:
    def __init__(self, name, ip, app_port, agent_address, zone, service, ledger):
        self.id = f"i-{name}"
        self.ip, self.app_port, self.agent_address = ip, app_port, agent_address
        self.zone, self.service, self.ledger = zone, service, ledger
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}  # task -> (attempt, cpu, timer)
        self.highest_ended = {}  # task -> highest attempt that ended or was stopped on this worker
        self.unconfirmed_results = []  # [number, task, attempt, how, checkpoint]
        self.ends_before_lapse = set()  # numbers of ends that were unconfirmed when the lease expired
        self.last_end_number = 0
        self.sequence = 0
        self.result_available = asyncio.Event()
        self.server = None
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.app_port)
        self.tasks = [asyncio.create_task(self._heartbeats()), asyncio.create_task(self._expire_leases())]

    @property
    def unconfirmed_ends(self):
        """Returns the number of ends that the agent has not confirmed with `last_seen`."""
        return len(self.unconfirmed_results)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()

    # --- calls from the agent ---

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, response = await self._handle(lines[0].split(" ")[1], headers, json.loads(body or b"{}"))
                data = json.dumps(response).encode()
                number = headers.get("request-number")
                echo = f"Request-Number: {number}\r\n" if number else ""
                writer.write(f"HTTP/1.1 {status} X\r\n{echo}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _handle(self, target, headers, call):
        if headers.get("expect-minion", self.id) != self.id:
            return 421, {"now_ms": now_ms()}
        fence = call.get("fence", 0)
        if fence < self.fence:
            return 409, {"now_ms": now_ms(), "reason": "fence"}
        self.fence = fence
        if target == "/api/run-start":
            return self._start(call)
        if target == "/api/run-stop":
            return self._stop(call)
        return await self._hold(call)

    def _extend_lease(self, call):
        self._record_lapse()
        self.deadline_ms = max(self.deadline_ms, call.get("deadline_ms", 0))

    # The users' documentation says that a recorded end is final "unless the minion's hold lapsed in between": a lease expiry between the
    # end and its confirmation allows another start of the task.
    def _record_lapse(self):
        unconfirmed = {row[0] for row in self.unconfirmed_results} - self.ends_before_lapse
        if unconfirmed and now_ms() > self.deadline_ms:
            self.ends_before_lapse |= unconfirmed
            self.ledger.record_lapsed_hold(self.id, len(unconfirmed), now_ms() - self.deadline_ms)

    def _start(self, call):
        task, attempt = call["task"], call["attempt"]
        self._extend_lease(call)
        present = self.running.get(task)
        if present and present[0] == attempt:
            return 200, {"now_ms": now_ms()}
        if attempt <= self.highest_ended.get(task, 0) or present:
            return 409, {"now_ms": now_ms(), "reason": "old"}
        if call.get("deadline_ms", 0) <= now_ms():
            return 409, {"now_ms": now_ms(), "reason": "late"}
        spec = json.loads(call["spec"])
        used = sum(entry[1] for entry in self.running.values())
        if used + spec["cpu"] > CAPACITY["cpu"]:
            return 409, {"now_ms": now_ms(), "reason": "room"}
        timer = asyncio.get_running_loop().call_later(spec["ms"] / 1000, self._end, task, attempt, "done")
        self.running[task] = (attempt, spec["cpu"], timer)
        self.ledger.record_task_start(self.id, task, attempt, spec["cpu"])
        return 200, {"now_ms": now_ms()}

    def _stop(self, call):
        task, attempt = call["task"], call["attempt"]
        if task in self.running and self.running[task][0] <= attempt:
            self._end(task, self.running[task][0], "stopped")
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), attempt)
        return 200, {"now_ms": now_ms()}

    async def _hold(self, call):
        self._extend_lease(call)
        seen = call.get("last_seen", 0)
        for row in self.unconfirmed_results:
            if row[0] <= seen:
                self.ledger.record_confirmed_end(row[1], row[2], row[3], row[0] in self.ends_before_lapse)
        self.ends_before_lapse = {number for number in self.ends_before_lapse if number > seen}
        self.unconfirmed_results = [row for row in self.unconfirmed_results if row[0] > seen]
        wait_ms = call.get("wait_ms", 0)
        if wait_ms and not self.unconfirmed_results:
            self.result_available.clear()
            try:
                await asyncio.wait_for(self.result_available.wait(), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        active = [[task, entry[0], "", 0] for task, entry in self.running.items()]
        return 200, {"now_ms": now_ms(), "active": active, "finished": self.unconfirmed_results[:MAX_LISTED_RESULTS]}

    def _end(self, task, attempt, end_kind):
        entry = self.running.get(task)
        if not entry or entry[0] != attempt:
            return
        entry[2].cancel()
        del self.running[task]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), attempt)
        self.last_end_number += 1
        self.unconfirmed_results.append([self.last_end_number, task, attempt, end_kind, ""])
        self.ledger.record_task_end(self.id, task, attempt, end_kind)
        self.result_available.set()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            self._record_lapse()
            if self.running and now_ms() > self.deadline_ms:
                for task, entry in list(self.running.items()):
                    self._end(task, entry[0], "lapsed")

    # --- heartbeats ---

    async def _heartbeats(self):
        connection = None
        while True:
            if connection is None:
                try:
                    connection = await Connection.open(self.agent_address, self.ip, HEARTBEAT_TIMEOUT_SECONDS)
                except (OSError, asyncio.TimeoutError):
                    await asyncio.sleep(0.2)
                    continue
            exchange = await connection.exchange(self._heartbeat(), HEARTBEAT_TIMEOUT_SECONDS)
            self.ledger.record_exchange("agent", self.agent_address, "heartbeat", exchange)
            if exchange.outcome is not Outcome.ANSWERED or connection.close_announced:
                connection.close()
                connection = None
                if exchange.outcome is not Outcome.ANSWERED:
                    await asyncio.sleep(0.2)
                    continue
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _heartbeat(self):
        self.sequence += 1
        body = {
            "service": self.service,
            "addr": f"{self.ip}:{self.app_port}",
            "az": self.zone,
            "version": "v1",
            "slots": 8,
            "phase": "up",
            "cold_left_ms": 0,
            "capacity": CAPACITY,
            "tags": ["a", f"r-{self.zone}"],
            "now_ms": now_ms(),
            "seq": self.sequence,
        }
        return Request("POST", f"/api/Minions.Heartbeat/{self.id}", "agent", json.dumps(body).encode())
