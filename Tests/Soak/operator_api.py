"""Emulates the operator, who writes complete configurations to the store."""

import wire

ROUTES = (
    {"name": "stream", "host": wire.HOST, "path-prefix": wire.STREAM_PATH, "route-kind": "streaming", "resumable": True, "service": "engines",
     "timeout-ms": 10_000, "goal-ms": 600, "attempts": 2, "priority": 0, "sticky": True, "tpot-target-ms": 800},
    {"name": "order", "host": wire.HOST, "path-prefix": wire.ORDER_PATH, "route-kind": "non_idempotent", "service": "desk",
     "timeout-ms": 3_000, "goal-ms": 300, "attempts": 2, "priority": 1},
    {"name": "lookup", "host": wire.HOST, "path-prefix": wire.LOOKUP_PATH, "route-kind": "idempotent", "service": "desk",
     "timeout-ms": 3_000, "goal-ms": 300, "attempts": 2, "priority": 1},
)
ADDED = {"name": "added", "host": wire.HOST, "path-prefix": wire.ADDED_PATH, "route-kind": "idempotent", "service": "desk", "timeout-ms": 3_000,
         "goal-ms": 300, "attempts": 1, "priority": 1}
SERVICES = ({"name": "engines", "max-conns": 300, "engine": {"slots": 16, "kv-capacity": 100_000, "stride": 5}}, {"name": "desk", "max-conns": 100})
LIMITS = {"max-header-bytes": 16_384, "max-body-bytes": 1 << 20, "header-timeout-ms": 5_000, "idle-timeout-ms": 20_000}


class Operator:
    def __init__(self, store, checker, budgets, services=SERVICES):
        self.services = services
        self.store = store
        self.checker = checker
        self.version = 0
        self.has_added_route = False
        self.keys = {workspace: ["key-%s-0" % workspace] for workspace in budgets}
        self.key_count = 0
        checker.budgets = dict(budgets)
        # A separate copy: callers continue to use revoked keys.
        checker.keys = {workspace: list(keys) for workspace, keys in self.keys.items()}

    async def write(self):
        self.version += 1
        tenants = [{"name": workspace, "api-keys": keys, "reserved": self.checker.budgets[workspace]} for workspace, keys in self.keys.items()]
        routes = list(ROUTES) + ([ADDED] if self.has_added_route else [])
        await self.store.put("config", "main", {"version": self.version, "routes": routes, "services": list(self.services), "tenants": tenants, "limits": LIMITS})

    async def set_added_route(self, present):
        self.has_added_route = present
        await self.write()

    async def add_key(self, random):
        workspace = random.choice(list(self.keys))
        self.key_count += 1
        key = "key-%s-%d" % (workspace, self.key_count)
        self.keys[workspace].append(key)
        await self.write()
        self.checker.keys[workspace].append(key)

    async def revoke(self, random):
        workspace = random.choice(list(self.keys))
        if len(self.keys[workspace]) < 2:
            return
        key = self.keys[workspace].pop(random.randrange(len(self.keys[workspace])))
        await self.write()
        self.checker.key_revoked(key)

    async def top_up(self, random, workspace=None, tokens=None):
        workspace = workspace or random.choice(list(self.keys))
        # Raise the checker's budget first, since a daemon may spend the new tokens as soon as the configuration is written.
        self.checker.budgets[workspace] += tokens or random.randint(500, 5_000)
        await self.write()
