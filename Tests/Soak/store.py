"""Emulates the platform's store: objects with revisions, conditional writes, paged listings and watches, with fault injection."""

import asyncio
import json

from aiohttp import web

import wire

PAGE_SIZE = 50


class StoreFault:
    """Faults currently applied to calls; set by the fault schedule."""

    def __init__(self):
        self.status = None  # Status returned for every call.
        self.delay_s = 0.0
        self.lost_reply_probability = 0.0  # Probability that a write is applied without a reply.
        self.late_write_probability = 0.0  # Probability that a write is applied 1 to 4 s later, without a reply.

    @property
    def active(self):
        return bool(self.status or self.delay_s or self.lost_reply_probability or self.late_write_probability)


class Store:
    def __init__(self, random):
        self.random = random
        self.fault = StoreFault()
        self.revision = 1
        self.kinds = {}
        self.history = []  # (revision, kind, event)
        self.oldest_revision = 1
        self.changed = asyncio.Condition()
        self.runner = None
        self.port = None

    async def start(self):
        app = web.Application(client_max_size=4 << 20)
        app.router.add_route("*", wire.OBJECTS + "{kind}", self.handle)
        app.router.add_route("*", wire.OBJECTS + "{kind}/{name}", self.handle)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0, shutdown_timeout=0.1)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self):
        await self.runner.cleanup()

    # Direct writes by the operator and by endpoints; faults do not apply to them.

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        self.revision += 1
        created = objects[name]["metadata"]["created"] if name in objects else self.revision
        objects[name] = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False},
                         "spec": spec, "status": None}
        await self._append_event(kind, objects[name], False)
        return self.revision

    async def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            await self._append_event(kind, item, True)

    async def _append_event(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"deleted": deleted, "object": json.loads(json.dumps(item))}))
        async with self.changed:
            self.changed.notify_all()

    async def drop_history(self):
        self.history = []
        self.oldest_revision = self.revision
        async with self.changed:
            self.changed.notify_all()

    # HTTP calls from daemons.

    async def handle(self, request):
        fault = self.fault
        if fault.delay_s:
            await asyncio.sleep(fault.delay_s * self.random.uniform(0.5, 1.5))
        if fault.status:
            return web.json_response({}, status=fault.status)
        kind = request.match_info["kind"]
        name = request.match_info.get("name")
        if request.method == "GET":
            return await self.read(request, kind, name)
        body = await request.json() if request.can_read_body else {}
        sample = self.random.random()
        if sample < fault.late_write_probability:
            asyncio.get_running_loop().create_task(self.write_late(request, kind, name, body))
            await asyncio.sleep(2)
            return self.abort_connection(request)
        response = await self.write(request, kind, name, body)
        if sample < fault.late_write_probability + fault.lost_reply_probability:
            return self.abort_connection(request)
        return response

    @staticmethod
    def abort_connection(request):
        request.transport.abort()
        return web.Response()

    async def write_late(self, request, kind, name, body):
        await asyncio.sleep(self.random.uniform(1, 4))
        await self.write(request, kind, name, body)

    async def write(self, request, kind, name, body):
        objects = self.kinds.setdefault(kind, {})
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return web.json_response(objects[name], status=409)
        elif name not in objects:
            return web.json_response({}, status=404)
        expected = request.query.get("revision") or body.get("metadata", {}).get("revision")
        if request.method != "POST" and expected and int(expected) != objects[name]["metadata"]["revision"]:
            return web.json_response(objects[name], status=409)
        if request.method == "DELETE":
            item = objects[name]
            await self.delete(kind, name)
            return web.json_response(item)
        await self.put(kind, name, body.get("spec"))
        return web.json_response(objects[name])

    async def read(self, request, kind, name):
        objects = self.kinds.get(kind, {})
        if name:
            return web.json_response(objects[name]) if name in objects else web.json_response({}, status=404)
        if "watch" in request.query:
            return await self.watch(kind, int(request.query["watch"]), int(request.query.get("wait-ms", 0)) / 1000)
        names = sorted(each for each in objects if each > request.query.get("after", ""))
        return web.json_response({"items": [objects[each] for each in names[:PAGE_SIZE]], "more-pages": len(names) > PAGE_SIZE,
                                  "as-of": self.revision})

    async def watch(self, kind, since, wait_s):
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            if since < self.oldest_revision:
                return web.json_response({}, status=410)
            events = [event for revision, event_kind, event in self.history if event_kind == kind and revision > since]
            remaining_s = end - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return web.json_response({"events": events, "as-of": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining_s)
                except asyncio.TimeoutError:
                    pass
