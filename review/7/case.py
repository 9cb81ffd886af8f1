"""A client's POST lies in a frozen gateway; the client gives up and cancels the job elsewhere; the job runs all the same."""

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-2"))
from stand_ins import BOUNDS, CannotRun, Client, Minion, Platform, configuration, replace_configuration, run_case  # noqa: E402

FREEZE = 3.5
STAGES = [
    {"replicas": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 4000},
    {"replicas": 2, "cpu": 1000, "mem_mb": 256, "est_ms": 4000, "deps": [0]},
]


async def thaw_later(gateway):
    await asyncio.sleep(FREEZE)
    gateway.signal(signal.SIGCONT)


async def case(record, trouble):
    platform = Platform(record, gateways=2, minions=3)
    minions = [Minion(platform, agent, ["a", f"r-{index}"]) for index, agent in enumerate(platform.agents)]
    try:
        for minion in minions:
            await minion.start()
        await platform.start()
        await replace_configuration(
            platform, 0, configuration(5, [("r-a", "/lohu930/", {"target_ms": 200, "prio": 0, "tries": 2, "extend": 1.5})])
        )
        client, (frozen, sound) = Client(platform, "/lohu930/"), platform.gateways
        for gateway in platform.gateways:
            first = await client.hand_in(gateway, [{"replicas": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 300, "what": {"ms": 300}}])
            await client.wait_for(gateway, first, ("done",), 20)
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
        if trouble:
            frozen.signal(signal.SIGSTOP)
            asyncio.create_task(thaw_later(frozen))
            await asyncio.sleep(0.1)
        job = f"{random.getrandbits(64):016x}"
        await client.call("POST", job, frozen, {"spec": json.dumps({"ms": 4000}), "stages": STAGES}, 3000)
        cancelled = None
        for _ in range(5):
            status, _ = await client.call("DELETE", job, sound)
            if status == 410 or (status and 200 <= status < 300):
                cancelled = record.now()
                break
            await asyncio.sleep(0.2)
        if cancelled is None:
            raise CannotRun("the cancel is not acknowledged")
        await asyncio.sleep(12)
        await client.phase(sound, job)
        late = [
            (run[0], run[2] - cancelled)
            for minion in minions
            for run in minion.runs
            if run[0].startswith(job) and run[2] > cancelled + BOUNDS["cancel_ms"] / 1000
        ]
        for task, after in late:
            record.line(f"{task} was started {after:.3f} s after the acknowledgement of the cancel")
        return (
            f"UNASKED: {len(late)} tasks of a cancelled job were started up to {late[-1][1]:.1f} s after the acknowledgement"
            if late
            else None
        )
    finally:
        for minion in minions:
            await minion.end()
        await platform.end()


run_case(case, Path(__file__).resolve().parent)
