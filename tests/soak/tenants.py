"""Tenants of the soak test: changes API keys and caps, and checks that they are enforced.

The operator records when the addition and the revocation of each key was sent and acknowledged; clients use valid and revoked keys; workers
report each start and end. Keys are checked without a time tolerance, because the leader checks the key after the complete request arrived.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass

TENANTS = ("north", "south", "east")
KEYS_OF_EACH = 2
CAPS = (0, 800, 1500, 3000, 6000)  # thousandths of a core; 0 means no limit
REVOKED_KEY_SHARE = 0.1  # share of the requests that use a revoked key
MAX_ORDER_DELAY_SECONDS = 2.5  # from the acknowledgement of a lower cap until all start orders made before it have arrived


@dataclass
class Key:
    tenant: str
    text: str
    added_sent: float = 0.0
    added_acknowledged: float = 0.0
    revoked_sent: float = 0.0
    revoked_acknowledged: float = 0.0

    def certainly_valid(self, since, until):
        return 0 < self.added_acknowledged < since and not 0 < self.revoked_sent < until

    def certainly_revoked(self, since):
        return 0 < self.revoked_acknowledged < since


class Tenants:
    def __init__(self, seed, ledger):
        self.rng = random.Random(f"tenants {seed}")
        self.ledger = ledger
        self.keys = {}  # text -> Key
        self.current = {name: [] for name in TENANTS}  # texts of the keys in the newest configuration
        self.caps = {name: 0 for name in TENANTS}
        self.cap_history = {
            name: [(0.0, 0)] for name in TENANTS
        }  # (acknowledged at, cap); infinity while the change is unacknowledged, when either cap may be in force
        self.running_tasks = {}  # (task, worker, attempt) -> (tenant, cpu)
        self.used = Counter()  # CPU in use by tenant
        self.counts = Counter()
        for name in TENANTS:
            for _ in range(KEYS_OF_EACH):
                self._add_key(name)

    def _add_key(self, name):
        key = Key(name, f"{name}-{len(self.keys)}-{self.rng.getrandbits(48):012x}")
        self.keys[key.text] = key
        self.current[name].append(key.text)

    # --- the operator ---

    def apply_random_change(self):
        name = self.rng.choice(TENANTS)
        draw = self.rng.random()
        if draw < 0.3:
            self._add_key(name)
        elif draw < 0.6:
            self.current[name].pop(0)
        elif draw < 0.7:
            self.current[name].clear()
        else:
            self.caps[name] = self.rng.choice(CAPS)
        if not self.current[name]:
            self._add_key(name)

    def remove_caps(self):
        self.caps = {name: 0 for name in TENANTS}

    def configuration(self):
        return [
            {"name": name, "api_keys": list(self.current[name]), "weight": 1, "cap": {"cpu": self.caps[name], "mem_mb": 0, "gpus": 0}}
            for name in TENANTS
        ]

    def record_sent_change(self, tenants, at):
        listed = {key for tenant in tenants for key in tenant["api_keys"]}
        for text, key in self.keys.items():
            if text in listed:
                key.added_sent = key.added_sent or at
            elif key.added_sent:
                key.revoked_sent = key.revoked_sent or at
        for tenant in tenants:
            self.cap_history[tenant["name"]].append((float("inf"), tenant["cap"]["cpu"]))

    def record_acknowledged_change(self, tenants, at):
        listed = {key for tenant in tenants for key in tenant["api_keys"]}
        for text, key in self.keys.items():
            if text in listed:
                key.added_acknowledged = key.added_acknowledged or at
            elif key.revoked_sent:
                key.revoked_acknowledged = key.revoked_acknowledged or at
        for tenant in tenants:
            self.cap_history[tenant["name"]][-1] = (at, tenant["cap"]["cpu"])

    # --- clients ---

    def choose_key(self, tenant, rng):
        """Returns a current key of the tenant, or with the probability REVOKED_KEY_SHARE one of those revoked last."""
        revoked = [key for key in self.keys.values() if key.tenant == tenant and key.revoked_sent]
        if revoked and rng.random() < REVOKED_KEY_SHARE:
            return rng.choice(revoked[-4:]).text
        return self.valid_key(tenant)

    def valid_key(self, tenant):
        known = [text for text in self.current[tenant] if self.keys[text].added_sent]
        return known[-1] if known else self.current[tenant][-1]

    def check_key_use(self, text, exchange):
        key = self.keys[text]
        status = exchange.status
        if not status:
            return
        self.counts["refused" if status == 401 else "passed"] += 1
        if status == 401 and key.certainly_valid(exchange.completed_at, exchange.ended_at):
            self.ledger.record_failure(
                "good_key_refused", f"{text}, acknowledged {exchange.completed_at - key.added_acknowledged:.3f} s before"
            )
        if 200 <= status < 300 and key.certainly_revoked(exchange.completed_at):
            self.ledger.record_failure(
                "revoked_key_used", f"{text}, revoked {exchange.completed_at - key.revoked_acknowledged:.3f} s before"
            )

    # --- workers ---

    def _highest_cap_in_force(self, tenant):
        """Returns the highest of the caps that may be in force, or 0 if there may be no limit."""
        now = time.monotonic()
        history = self.cap_history[tenant]
        settled = [index for index, (at, _) in enumerate(history) if at < now - MAX_ORDER_DELAY_SECONDS]
        caps = [cap for _, cap in history[settled[-1] if settled else 0 :]]
        return 0 if 0 in caps else max(caps)

    def record_task_start(self, tenant, task, worker, attempt, cpu):
        cap = self._highest_cap_in_force(tenant)
        if cap and self.used[tenant] > cap:
            self.ledger.record_failure(
                "cap_passed", f"{task} attempt {attempt} at {worker} finds {tenant} with {self.used[tenant]} of {cap}"
            )
        if cap and self.used[tenant] + cpu > cap / 2:
            self.counts["starts_near_cap"] += 1
        self.running_tasks[(task, worker, attempt)] = (tenant, cpu)
        self.used[tenant] += cpu

    def record_task_end(self, task, worker, attempt):
        ended = self.running_tasks.pop((task, worker, attempt), None)
        if ended:
            self.used[ended[0]] -= ended[1]
