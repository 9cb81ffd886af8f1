#!/usr/bin/env python3
"""Seeded soak test with real processes and sockets: `python3 tests/soak/soak.py --programs build --folder DIR --seed 1`; see README.md.

Exits with status 0 if every complete request was answered or refused, every accepted job was known to every gateway at the end and
finished, the last acknowledged configuration was in force, and every process exited cleanly within its grace period.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from pathlib import Path

from clients import HOST, Client, LoadBalancer, Operator
from connection import Connection, Outcome, Request
from disturbances import Disturbances, DisturbanceOptions
from fleet import APP_PORT, CONTROL_PORT, HTTP_PORT, READY_PORT, Fleet
from ledger import Ledger
from tenants import Tenants
from stand_in_worker import StandInWorker

START_SECONDS = 30.0
RECOVER_SECONDS = 12.0
FINISH_SECONDS = 14.0
QUERY_TIMEOUT_SECONDS = 3.0
QUERY_CONNECTIONS_PER_GATEWAY = 8  # concurrent connections
FINAL_FAULTS = ("none", "kill_all", "kill_all_and_wipe_one")


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", type=Path, required=True, help="folder that contains aniseline-platform")
    parser.add_argument("--folder", type=Path, required=True, help="folder for data, logs and results; must be new or empty")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of the disturbances")
    parser.add_argument("--gateways", type=int, default=7)
    parser.add_argument("--controllers", type=int, default=6, help="number of controllers; the first three have disks")
    parser.add_argument("--workers", type=int, default=11)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--think-ms", type=float, default=120.0, help="mean pause of a steady client between requests")
    parser.add_argument("--gap-ms", type=float, default=800.0, help="mean pause between the starts of two disturbances")
    parser.add_argument("--kills", choices=("no", "yes", "drawn"), default="drawn", help="whether disturbances include SIGKILL")
    parser.add_argument("--end", choices=FINAL_FAULTS + ("drawn",), default="drawn")
    parser.add_argument(
        "--network", type=int, default=60, help="processes use 127.NETWORK.zone.machine; concurrent runs need different networks"
    )
    parser.add_argument("--grace", type=int, default=6, help="seconds from SIGTERM until a process is killed")
    parser.add_argument("--busy", type=int, default=0, help="number of additional processes that use the CPU all the time")
    return parser.parse_args()


class Soak:
    def __init__(self, arguments):
        self.arguments = arguments
        self.rng = random.Random(arguments.seed)
        self.folder = arguments.folder
        (self.folder / "logs").mkdir(parents=True)
        self.ledger = Ledger(self.folder)
        self.tenants = self.ledger.tenants = Tenants(arguments.seed, self.ledger)
        self.source_ip = f"127.{arguments.network}.9.1"
        self.fleet = Fleet(
            self.folder,
            arguments.programs.resolve(),
            arguments.network,
            arguments.gateways,
            arguments.controllers,
            arguments.workers,
            self.ledger,
            arguments.grace,
        )
        self.kills = self.rng.random() < 0.3 if arguments.kills == "drawn" else arguments.kills == "yes"
        self.final_fault = self.rng.choice(FINAL_FAULTS) if arguments.end == "drawn" else arguments.end
        for member in self.fleet.members:
            for port in (HTTP_PORT, READY_PORT, CONTROL_PORT):
                if member.role == {HTTP_PORT: "gateway", READY_PORT: "gateway"}.get(port, member.role):
                    if not (port == CONTROL_PORT and member.role == "gateway"):
                        self.ledger.member_by_address[(member.ip, port)] = member
        self.workers = [
            StandInWorker(member.name, member.ip, APP_PORT, (member.ip, CONTROL_PORT), member.zone, self.fleet.service, self.ledger)
            for member in self.fleet.agents
        ]
        self.load_balancer = LoadBalancer(self.fleet.gateways, HTTP_PORT, READY_PORT, self.source_ip, self.ledger)
        self.operator = Operator(
            self.fleet.controllers,
            CONTROL_PORT,
            self.fleet.service,
            self.source_ip,
            self.rng.getrandbits(32),
            self.tenants,
            self.ledger,
        )
        self.busy_processes = []
        self.memory_megabytes = 0.0

    async def run(self):
        self.ledger.write_log(f"seed {self.arguments.seed} kills {self.kills} end {self.final_fault}")
        try:
            await self._start()
            await self._run_disturbances()
            await self._inject_final_fault()
            await self._verify()
        finally:
            for process in self.busy_processes:
                process.kill()
            for worker in self.workers:
                await worker.stop()
            await self.fleet.kill_all()
        return self._report()

    async def _start(self):
        for _ in range(self.arguments.busy):
            self.busy_processes.append(await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass"))
        for worker in self.workers:
            await worker.start()
        for member in self.fleet.members:
            await self.fleet.start(member)
        if not await self.operator.change(self.operator.configuration(complete=True), START_SECONDS):
            raise SystemExit("soak: the first configuration was not acknowledged")
        self.fleet.bootstrap = False
        if not await self._serves_jobs(START_SECONDS):
            raise SystemExit("soak: the fleet does not serve")

    async def _serves_jobs(self, seconds):
        """Submits jobs until one is accepted and done. Returns False if the time runs out first."""
        until = time.monotonic() + seconds
        client = Client(0, "fresh", self.load_balancer, self.tenants, self.ledger, self.rng.getrandbits(32), self.source_ip, 0.05)
        while time.monotonic() < until:
            job = client._new_job()
            await client._submit(job)
            if job.accepted_at and await self._wait_until_done(job, until):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _wait_until_done(self, job, until):
        while time.monotonic() < until:
            exchange = await self._query_once(self.load_balancer.choose(self.rng), job)
            if exchange and exchange.status == 200 and exchange.response.json().get("phase") == "done":
                return True
            await asyncio.sleep(0.1)
        return False

    def _status_request(self, job):
        key = self.tenants.valid_key(job.tenant)
        return Request("GET", job.prefix + job.id, HOST, headers={"Authorization": f"Bearer {key}"})

    async def _query_once(self, address, job):
        try:
            connection = await Connection.open(address, self.source_ip, QUERY_TIMEOUT_SECONDS)
        except (OSError, asyncio.TimeoutError):
            return None
        exchange = await connection.exchange(self._status_request(job), QUERY_TIMEOUT_SECONDS)
        connection.close()
        return exchange

    async def _run_disturbances(self):
        until = time.monotonic() + self.arguments.seconds
        disturbances = Disturbances(
            self.fleet, self.operator, self.rng.getrandbits(32), DisturbanceOptions(self.arguments.gap_ms / 1000, self.kills)
        )
        load_balancer = asyncio.create_task(self.load_balancer.run())
        clients = [
            Client(
                number + 1,
                Client.BEHAVIOURS[number % len(Client.BEHAVIOURS)],
                self.load_balancer,
                self.tenants,
                self.ledger,
                self.rng.getrandbits(32),
                self.source_ip,
                self.arguments.think_ms / 1000,
            )
            for number in range(self.arguments.clients)
        ]
        # Clients run for 2 s after the last disturbance was started.
        work = [asyncio.create_task(client.run(until + 2.0)) for client in clients]
        operator = asyncio.create_task(self.operator.run(until))
        await disturbances.run(until)
        await asyncio.gather(*work, operator)
        self.memory_megabytes = self.fleet.memory_megabytes()
        load_balancer.cancel()
        self.disturbances = disturbances.started

    async def _inject_final_fault(self):
        """Kills every process right after an acknowledged configuration change, possibly wipes one disk, and restarts all processes."""
        await self.operator.change(self.operator.configuration(complete=True))
        if self.final_fault != "none":
            self.ledger.write_log(f"closing fault {self.final_fault}")
            await self.fleet.kill_all()
            if self.final_fault == "kill_all_and_wipe_one":
                self.fleet.wipe(self.rng.choice(self.fleet.controllers[:3]))
            for member in self.fleet.members:
                await self.fleet.start(member)
        self.load_balancer.missed_checks = {member.name: 0 for member in self.fleet.gateways}
        began = time.monotonic()
        if not await self._serves_jobs(RECOVER_SECONDS):
            self.ledger.record_failure("service_not_back", f"within {RECOVER_SECONDS} s")
        self.ledger.write_log(f"service is back after {time.monotonic() - began:.3f} s")

    # --- final checks ---

    async def _verify(self):
        await self._wait_for_ends()
        accepted = [job for job in self.ledger.jobs.values() if job.accepted_at]
        self.ledger.write_log(f"asking for {len(accepted)} accepted jobs on {len(self.fleet.gateways)} gateways")
        await asyncio.gather(*(self._query_gateway(member, accepted) for member in self.fleet.gateways))
        for member in self.fleet.controllers:
            await self._read_configuration(member)
        self.ledger.check_rejected_jobs()

    async def _wait_for_ends(self):
        """Waits until the first gateway reports every accepted job as ended."""
        until = time.monotonic() + FINISH_SECONDS
        waiting = [job for job in self.ledger.jobs.values() if job.accepted_at]
        while waiting and time.monotonic() < until:
            open_jobs = []
            await self._query_all(
                self.fleet.gateways[0],
                waiting,
                lambda job, phase, status: open_jobs.append(job) if phase in ("pending", "running", None) else None,
            )
            waiting = open_jobs
            await asyncio.sleep(0.2)
        for job in waiting:
            self.ledger.record_failure("accepted_job_not_ended", f"{job.id} {job.prefix} tries {job.tries}")

    async def _query_gateway(self, member, jobs):
        def check(job, phase, status):
            if status == 410:
                self.ledger.record_failure("accepted_job_unknown", f"{job.id} at {member.name}, tries {job.tries}")
            elif status != 200:
                self.ledger.record_failure("accepted_job_not_answered", f"{job.id} at {member.name}: status {status}")
            elif phase == "failed" or (phase == "canceled" and not job.cancel_sent):
                self.ledger.record_failure("accepted_job_ended_badly", f"{job.id} at {member.name}: {phase}")

        await self._query_all(member, jobs, check)

    async def _query_all(self, member, jobs, check):
        queue = list(jobs)

        async def query_jobs():
            connection = None
            while queue:
                job = queue.pop()
                phase, status = None, 0
                for _ in range(3):
                    if connection is None or connection.ended or connection.close_announced:
                        try:
                            connection = await Connection.open((member.ip, HTTP_PORT), self.source_ip, QUERY_TIMEOUT_SECONDS)
                        except (OSError, asyncio.TimeoutError):
                            connection = None
                            await asyncio.sleep(0.2)
                            continue
                    exchange = await connection.exchange(self._status_request(job), QUERY_TIMEOUT_SECONDS)
                    self.ledger.record_exchange("question", (member.ip, HTTP_PORT), "show", exchange)
                    status = exchange.status
                    if status == 200:
                        phase = exchange.response.json().get("phase")
                    if status in (200, 410):
                        break
                    await asyncio.sleep(0.3)
                check(job, phase, status)
            if connection:
                connection.close()

        await asyncio.gather(*(query_jobs() for _ in range(QUERY_CONNECTIONS_PER_GATEWAY)))

    async def _read_configuration(self, member):
        wanted = self.operator.acknowledged
        for _ in range(10):
            exchange = await self.operator.read((member.ip, CONTROL_PORT))
            if exchange and exchange.status == 200:
                break
            await asyncio.sleep(0.3)
        if not exchange or exchange.status != 200:
            self.ledger.record_failure("configuration_not_read", f"{member.name}: {exchange.status if exchange else 'no connection'}")
        elif exchange.response.json().get("version") != wanted["version"]:
            self.ledger.record_failure(
                "configuration_lost", f"{member.name}: {exchange.response.json().get('version')}, not {wanted['version']}"
            )

    def _report(self):
        self.ledger.write_jobs(self.folder)
        summary = {
            "seed": self.arguments.seed,
            "kills": self.kills,
            "end": self.final_fault,
            "processes": len(self.fleet.members),
            "memory_mb": round(self.memory_megabytes),
            "disturbances": len(getattr(self, "disturbances", [])),
            "configurations": self.operator.changes,
            "ends": sum(worker.last_end_number for worker in self.workers),
            "unconfirmed_ends": sum(worker.unconfirmed_ends for worker in self.workers),
            **self.ledger.summary(),
        }
        (self.folder / "summary.json").write_text(json.dumps(summary, indent=1))
        print(json.dumps(summary))
        failed = sum(self.ledger.failures.values())
        if failed:
            print(f"soak: seed {self.arguments.seed}: {failed} failures, in {self.folder}/soak.log")
        return 1 if failed else 0


def main():
    arguments = parse_arguments()
    if arguments.folder.exists() and any(arguments.folder.iterdir()):
        print(f"soak: --folder: {arguments.folder} is not empty")
        return 2
    return asyncio.run(Soak(arguments).run())


if __name__ == "__main__":
    sys.exit(main())
