"""Random disturbances from a seed: overlapping series of signals, restarts and settings changes for the processes of every role.

A disturbance that stops processes reserves them, so that only one disturbance at a time stops and starts a process; everything else
overlaps. Processes are killed with SIGKILL only if the run enables it.
"""

import asyncio
import random
import signal
import time
from dataclasses import dataclass

STARTUP_SIGNAL_SECONDS = 0.5


@dataclass
class DisturbanceOptions:
    mean_gap_seconds: float = 0.8  # between the starts of two disturbances
    kills: bool = False


class Disturbances:
    def __init__(self, fleet, operator, seed, options):
        self.fleet, self.operator, self.options = fleet, operator, options
        self.rng = random.Random(seed)
        self.started = []
        self.kinds = [
            self.stop_one,
            self.stop_one,
            self.stop_series,
            self.stop_machines,
            self.stop_twice,
            self.stop_and_reload,
            self.reload_series,
            self.reload_while_starting,
            self.exchange_seeds,
            self.storm_of_configurations,
        ] + ([self.kill_one, self.kill_one] if options.kills else [])

    async def run(self, until):
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / self.options.mean_gap_seconds))
            kind = self.rng.choice(self.kinds)
            self.fleet.ledger.write_log(f"disturbance {kind.__name__}")
            self.started.append(kind.__name__)
            tasks.append(asyncio.create_task(kind()))
        await asyncio.gather(*tasks)

    # --- selecting members ---

    def _reserve(self, count, roles=("gateway", "gateway", "controller", "agent")):
        role = self.rng.choice(roles)
        free = [member for member in self.fleet.members if member.role == role and not member.busy and member.running]
        taken = self.rng.sample(free, min(count, len(free)))
        for member in taken:
            member.busy = True
        return taken

    async def _stop_and_start(self, member, down_seconds=None):
        self.fleet.send(member, signal.SIGTERM)
        await self.fleet.restart(member, self.rng.uniform(0.05, 1.5) if down_seconds is None else down_seconds)
        member.busy = False

    # --- kinds of disturbances; their names are logged ---

    async def stop_one(self):
        for member in self._reserve(1):
            await self._stop_and_start(member)

    async def stop_series(self):
        gap = self.rng.uniform(0.0, 1.2)
        tasks = []
        for member in self._reserve(self.rng.randint(2, 4)):
            tasks.append(asyncio.create_task(self._stop_and_start(member)))
            await asyncio.sleep(gap)
        await asyncio.gather(*tasks)

    async def stop_machines(self):
        """Stops the gateway and the controller of a machine at once, as the platform does, for several machines with a gap between them."""
        gap = self.rng.choice((0.0, 0.3, 1.2))
        tasks = []
        for gateway in self._reserve(self.rng.randint(1, 3), roles=("gateway",)):
            tasks.append(asyncio.create_task(self._stop_and_start(gateway)))
            for controller in self.fleet.controllers:
                if controller.ip == gateway.ip and not controller.busy and controller.running:
                    controller.busy = True
                    tasks.append(asyncio.create_task(self._stop_and_start(controller)))
            await asyncio.sleep(gap)
        await asyncio.gather(*tasks)

    async def stop_twice(self):
        for member in self._reserve(1):
            extra_signals = asyncio.create_task(self._signals_during_stop(member, [signal.SIGTERM] * self.rng.randint(1, 3)))
            await self._stop_and_start(member)
            extra_signals.cancel()

    async def stop_and_reload(self):
        for member in self._reserve(1):
            signals = self.rng.choices((signal.SIGHUP, signal.SIGTERM), weights=(3, 1), k=self.rng.randint(2, 6))
            extra_signals = asyncio.create_task(self._signals_during_stop(member, signals))
            await self._stop_and_start(member)
            extra_signals.cancel()

    async def _signals_during_stop(self, member, signals):
        process = member.process
        for signal_number in signals:
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            if member.process is process:
                self.fleet.send(member, signal_number)

    async def reload_series(self):
        members = self.rng.sample(self.fleet.members, min(len(self.fleet.members), self.rng.randint(1, 8)))
        gap = self.rng.choice((0.0, 0.01, 0.1, 0.5))
        for member in members * self.rng.randint(1, 3):
            if member.running and time.monotonic() - member.started_at > STARTUP_SIGNAL_SECONDS:
                self.fleet.send(member, signal.SIGHUP)
            await asyncio.sleep(gap)

    async def reload_while_starting(self):
        """Sends SIGHUPs to a starting process from the moment on at which it can handle them."""
        for member in self._reserve(1):
            self.fleet.send(member, signal.SIGTERM)
            await self.fleet.restart(member, 0.1)
            await self.fleet.wait_for_sighup_handler(member, STARTUP_SIGNAL_SECONDS)
            began = time.monotonic()
            while member.running and time.monotonic() < began + STARTUP_SIGNAL_SECONDS:
                self.fleet.send(member, signal.SIGHUP)
                await asyncio.sleep(self.rng.uniform(0.0, 0.03))
            if not member.running:
                await self.fleet.restart(member, 0.1)
            member.busy = False

    async def exchange_seeds(self):
        """Replaces the seed controllers in all settings files, in most cases followed by SIGHUP."""
        chosen = self.rng.sample(self.fleet.controllers, 3)
        self.fleet.seeds = [member.ip for member in chosen]
        signalled = self.rng.random() < 0.7
        for member in list(self.fleet.members):
            self.fleet.write_settings(member)
            if signalled and member.running and time.monotonic() - member.started_at > STARTUP_SIGNAL_SECONDS:
                self.fleet.send(member, signal.SIGHUP)

    async def storm_of_configurations(self):
        previous_interval = self.operator.interval
        self.operator.interval = (0.0, 0.1)
        await asyncio.sleep(2.0)
        self.operator.interval = previous_interval

    async def kill_one(self):
        for member in self._reserve(1):
            self.fleet.send(member, signal.SIGKILL)
            await self.fleet.restart(member, self.rng.uniform(0.05, 1.5))
            member.busy = False
