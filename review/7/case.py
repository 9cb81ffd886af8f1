"""A poison job fails on the one minion that it may run on; later jobs for that minion are left without a run although it has room."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-2"))
from stand_ins import Client, Minion, Platform, configuration, replace_configuration, run_case  # noqa: E402

CALM = 8.0  # after the poison; the rule asks for 4 s before its 3 s
WATCH = 10.0  # the rule allows 3 s without a run


def one(**options):
    return [{"replicas": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 500, "constraints": "b", **options}]


async def case(record, trouble):
    platform = Platform(record, gateways=2, minions=4)
    minions = [Minion(platform, agent, ["b" if index == 0 else "a", f"r-{index}"]) for index, agent in enumerate(platform.agents)]
    special = minions[0]
    try:
        for minion in minions:
            await minion.start()
        await platform.start()
        await replace_configuration(
            platform, 0, configuration(5, [("r-a", "/lohu930/", {"target_ms": 200, "prio": 0, "tries": 2, "extend": 1.5})])
        )
        client, gateway = Client(platform, "/lohu930/"), platform.gateways[0]
        first = await client.hand_in(gateway, one(what={"ms": 300}))
        await client.wait_for(gateway, first, ("done",), 20)
        lasting = await client.hand_in(gateway, one(what={"ms": 0}, long_running=True))
        await client.wait_for(gateway, lasting, ("running",), 10)
        # Within 3 s one message of 25 can never be done: three tasks that fail wherever they run.
        for turn in range(25):
            if turn == 5 and trouble:
                await client.hand_in(gateway, one(what={"ms": 200, "how": "failed"}, replicas=3))
            else:
                await client.hand_in(gateway, one(what={"ms": 100}, constraints="a"))
            await asyncio.sleep(0.1)
        await asyncio.sleep(CALM)
        handed_in = record.now()
        plain = await client.hand_in(gateway, one(what={"ms": 500}))
        second = await client.hand_in(gateway, one(what={"ms": 0}, long_running=True))
        await asyncio.sleep(WATCH)
        for job in (plain, second):
            await client.phase(gateway, job)
        started = {run[0].split(".")[0] for run in special.runs}
        used = sum(entry[1] for minion in minions for entry in minion.active.values())
        record.line(f"{used} of {16000 * len(minions)} thousandths of a core are in use; {special.id} runs {sorted(special.active)}")
        waiting = [name for name, job in (("the plain job", plain), ("the lasting job", second)) if job not in started]
        if waiting:
            return f"LOST: {' and '.join(waiting)} had nothing running for {record.now() - handed_in:.1f} s with room for 15 such tasks on {special.id}"
        return None
    finally:
        for minion in minions:
            await minion.end()
        await platform.end()


run_case(case, Path(__file__).resolve().parent)
