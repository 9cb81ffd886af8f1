"""Tenants of the soak: keys that are added and revoked, caps that are raised and lowered, and what was seen of both.

The operator notes when each key was sent and acknowledged, added and revoked; clients choose keys new and old; workers tell of each start
and end. Keys are judged without any allowance in time: the leader decides after a request has come whole.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass

TENANTS = ("north", "south", "east")
KEYS_OF_EACH = 2
CAPS = (0, 800, 1500, 3000, 6000)  # thousandths of a core; 0: no limit
OLD_KEY_SHARE = 0.1  # of the requests
ORDER_ARRIVES_WITHIN_SECONDS = 2.5  # after a lower cap was acknowledged


@dataclass
class Key:
    tenant: str
    text: str
    added_sent: float = 0.0
    added_acknowledged: float = 0.0
    revoked_sent: float = 0.0
    revoked_acknowledged: float = 0.0

    def surely_good(self, since, until):
        return 0 < self.added_acknowledged < since and not 0 < self.revoked_sent < until

    def surely_revoked(self, since):
        return 0 < self.revoked_acknowledged < since


class Tenants:
    def __init__(self, seed, ledger):
        self.chance = random.Random(f"tenants {seed}")
        self.ledger = ledger
        self.keys = {}  # text -> Key
        self.current = {name: [] for name in TENANTS}  # texts of keys, as the operator wants them
        self.caps = {name: 0 for name in TENANTS}
        self.caps_since = {name: [(0.0, 0)] for name in TENANTS}  # (acknowledged at, cap), and at last one that may be in force
        self.held = {}  # (task, worker, attempt) -> (tenant, cpu)
        self.used = Counter()  # by tenant
        self.counts = Counter()
        for name in TENANTS:
            for _ in range(KEYS_OF_EACH):
                self._add_key(name)

    def _add_key(self, name):
        key = Key(name, f"{name}-{len(self.keys)}-{self.chance.getrandbits(48):012x}")
        self.keys[key.text] = key
        self.current[name].append(key.text)

    # --- the operator ---

    def draw_change(self):
        name = self.chance.choice(TENANTS)
        what = self.chance.random()
        if what < 0.3:
            self._add_key(name)
        elif what < 0.6:
            self.current[name].pop(0)
        elif what < 0.7:
            self.current[name].clear()
        else:
            self.caps[name] = self.chance.choice(CAPS)
        if not self.current[name]:
            self._add_key(name)

    def lift_caps(self):
        self.caps = {name: 0 for name in TENANTS}

    def configuration(self):
        return [
            {"name": name, "api_keys": list(self.current[name]), "weight": 1, "cap": {"cpu": self.caps[name], "mem_mb": 0, "gpus": 0}}
            for name in TENANTS
        ]

    def sent(self, tenants, at):
        listed = {key for tenant in tenants for key in tenant["api_keys"]}
        for text, key in self.keys.items():
            if text in listed:
                key.added_sent = key.added_sent or at
            elif key.added_sent:
                key.revoked_sent = key.revoked_sent or at
        for tenant in tenants:
            self.caps_since[tenant["name"]].append((float("inf"), tenant["cap"]["cpu"]))

    def acknowledged(self, tenants, at):
        listed = {key for tenant in tenants for key in tenant["api_keys"]}
        for text, key in self.keys.items():
            if text in listed:
                key.added_acknowledged = key.added_acknowledged or at
            elif key.revoked_sent:
                key.revoked_acknowledged = key.revoked_acknowledged or at
        for tenant in tenants:
            self.caps_since[tenant["name"]][-1] = (at, tenant["cap"]["cpu"])

    # --- clients ---

    def choose_key(self, tenant, chance):
        """A key that was acknowledged for the most part, at times one that is revoked."""
        old = [key for key in self.keys.values() if key.tenant == tenant and key.revoked_sent]
        if old and chance.random() < OLD_KEY_SHARE:
            return chance.choice(old[-4:]).text
        return self.good_key(tenant)

    def good_key(self, tenant):
        known = [text for text in self.current[tenant] if self.keys[text].added_sent]
        return known[-1] if known else self.current[tenant][-1]

    def judge(self, text, exchange):
        key = self.keys[text]
        status = exchange.status
        if not status:
            return
        self.counts["refused" if status == 401 else "passed"] += 1
        if status == 401 and key.surely_good(exchange.completed_at, exchange.ended_at):
            self.ledger.fail("good_key_refused", f"{text}, acknowledged {exchange.completed_at - key.added_acknowledged:.3f} s before")
        if 200 <= status < 300 and key.surely_revoked(exchange.completed_at):
            self.ledger.fail("revoked_key_used", f"{text}, revoked {exchange.completed_at - key.revoked_acknowledged:.3f} s before")

    # --- workers ---

    def _highest_cap(self, tenant):
        """Of those that may be in force, 0 for none."""
        now = time.monotonic()
        since = self.caps_since[tenant]
        settled = [index for index, (at, _) in enumerate(since) if at < now - ORDER_ARRIVES_WITHIN_SECONDS]
        caps = [cap for _, cap in since[settled[-1] if settled else 0 :]]
        return 0 if 0 in caps else max(caps)

    def task_started(self, tenant, task, worker, attempt, cpu):
        cap = self._highest_cap(tenant)
        if cap and self.used[tenant] > cap:
            self.ledger.fail("cap_passed", f"{task} attempt {attempt} at {worker} finds {tenant} with {self.used[tenant]} of {cap}")
        if cap and self.used[tenant] + cpu > cap / 2:
            self.counts["starts_near_cap"] += 1
        self.held[(task, worker, attempt)] = (tenant, cpu)
        self.used[tenant] += cpu

    def task_ended(self, task, worker, attempt):
        held = self.held.pop((task, worker, attempt), None)
        if held:
            self.used[held[0]] -= held[1]
