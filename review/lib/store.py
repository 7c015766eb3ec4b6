"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Each client of the store has a port of its own, so that faults can strike one machine alone. The stand-in servers and
the operator use methods of Store, or /standin-register.
"""

import asyncio
import base64
import time
import urllib.parse

from httpd import Server


class Port:
    """The store as one machine reaches it."""

    def __init__(self, store, name):
        self.store_, self.name_ = store, name
        self.mode_ = "ok"  # ok; busy: 503; silent: no answer; reset: connections are reset. Nothing is done but in ok.
        self.server_ = Server(self.handle)
        self.after_commit_ = None  # called with (port, body) after a transaction took effect; True: its answer is lost

    def set_mode(self, mode):
        self.mode_ = mode
        self.server_.accepts_ = mode != "reset"
        if mode != "ok":
            self.server_.reset()  # watches that wait are cut

    async def handle(self, request):
        mode = self.mode_
        if mode == "busy":
            return 503, {}
        if mode in ("silent", "reset"):
            return None
        answer = await self.store_.execute(self, request)
        if self.mode_ in ("silent", "reset") or answer is None:
            return None
        return answer


class Store:
    def __init__(self, answer_s=0.004, page=500):
        self.answer_s_ = answer_s  # time that an answer takes
        self.page_ = page
        self.items_ = {}  # key -> (value bytes, revision, lease)
        self.history_ = []  # (revision, key, value or None)
        self.revision_ = 1
        self.leases_ = {}  # id -> [end, ttl]
        self.next_lease_ = 100
        self.changed_ = asyncio.Event()
        self.ports_ = []
        self.internal_ = Server(self.handle_internal)  # for the stand-in servers
        self.down_ = False

    async def open_port(self, name, host="127.0.0.1"):
        port = Port(self, name)
        number = await port.server_.start(host, 0)
        self.ports_.append(port)
        return port, f"{host}:{number}"

    async def start(self):
        number = await self.internal_.start("127.0.0.1", 0)
        self.task_ = asyncio.create_task(self.expire_loop())
        return f"127.0.0.1:{number}"

    def set_down(self, mode):
        """Store down for all, or back with mode "ok". Leases pause meanwhile."""
        now = time.monotonic()
        if mode != "ok" and not self.down_:
            self.down_since_ = now
        elif mode == "ok" and self.down_:
            for lease in self.leases_.values():
                lease[0] += now - self.down_since_
        self.down_ = mode != "ok"
        for port in self.ports_:
            port.set_mode(mode)

    async def handle_internal(self, request):
        if self.down_:
            return 503, {}
        body = request.body
        if body.get("Value") is None:
            self.remove(body["Key"])
        else:
            self.write(body["Key"], body["Value"].encode())
        return 200, {}

    # ---- changes ----

    def record(self, key, value):
        self.history_.append((self.revision_, key, value))
        event, self.changed_ = self.changed_, asyncio.Event()
        event.set()

    def write(self, key, value, lease=0):
        self.revision_ += 1
        self.put(key, value, lease)

    def put(self, key, value, lease):
        self.items_[key] = (value, self.revision_, lease)
        self.record(key, value)

    def remove(self, key):
        if key in self.items_:
            self.revision_ += 1
            del self.items_[key]
            self.record(key, None)

    async def expire_loop(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down_:
                continue
            now = time.monotonic()
            for lease in [i for i, (end, _) in self.leases_.items() if end <= now]:
                del self.leases_[lease]
                for key in [k for k, item in self.items_.items() if item[2] == lease]:
                    self.remove(key)

    # ---- calls ----

    def item_json(self, key):
        value, revision, lease = self.items_[key]
        return {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": revision, "CreatedRev": revision,
                "LeaseId": lease}

    async def execute(self, port, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-watch":
            return await self.watch(query)
        answer = self.at_once(port, url.path, query, request.body)
        await asyncio.sleep(self.answer_s_)
        return answer

    def at_once(self, port, path, query, body):
        now = time.monotonic()
        if path == "/kv-key":
            if query["Key"] not in self.items_:
                return 404, {"AtRev": self.revision_}
            return 200, {**self.item_json(query["Key"]), "AtRev": self.revision_}
        if path == "/kv-range":
            after = query.get("After", "")
            keys = sorted(k for k in self.items_ if k.startswith(query["Prefix"]) and k > after)
            page = keys[: self.page_]
            return 200, {"items": [self.item_json(k) for k in page], "HasMore": len(keys) > len(page),
                         "AtRev": self.revision_}
        if path == "/kv-txn":
            return self.commit(port, body)
        if path == "/kv-lease":
            self.next_lease_ += 1
            ttl = min(max(int(body["TtlMs"]), 1000), 600_000)
            self.leases_[self.next_lease_] = [now + ttl / 1000, ttl]
            return 200, {"LeaseId": self.next_lease_, "TtlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases_:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self.leases_[lease][1]
            self.leases_[lease][0] = now + ttl / 1000
            return 200, {"LeaseId": lease, "TtlMs": ttl}
        self.leases_[lease][0] = 0
        return 200, {}

    def commit(self, port, body):
        conditions = body.get("ExpectedRev", [])
        held = all(self.items_.get(row["Key"], (b"", 0, 0))[1] == row["Revision"] for row in conditions)
        if not held:
            return 412, {"items": [self.item_json(r["Key"]) for r in conditions if r["Key"] in self.items_],
                         "AtRev": self.revision_}
        writes, removes = body.get("Writes", []), body.get("Remove", [])
        if any(row.get("LeaseId", 0) and row["LeaseId"] not in self.leases_ for row in writes):
            return 404, {}
        if any(row["Key"].startswith(("op/", "servers/")) for row in writes):
            return 403, {}
        self.revision_ += 1
        for row in writes:
            self.put(row["Key"], base64.b64decode(row["Value"]), row.get("LeaseId", 0))
        for key in removes:
            if key in self.items_:
                del self.items_[key]
                self.record(key, None)
        if port.after_commit_ is not None and port.after_commit_(port, body):
            return None
        return 200, {"Revision": self.revision_, "AtRev": self.revision_}

    async def watch(self, query):
        prefix, after = query["Prefix"], int(query["After"])
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            changed = self.changed_
            events = [
                {"Key": key, "Revision": revision, **({"Compacted": True} if value is None else
                 {"Value": base64.b64encode(value).decode(), "LeaseId": 0, "CreatedRev": revision})}
                for revision, key, value in self.history_ if revision > after and key.startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                at = self.revision_
                await asyncio.sleep(self.answer_s_)
                return 200, {"events": events, "AtRev": at}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
