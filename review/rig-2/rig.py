"""Stand-ins and helpers for the cases review/6 to review/10. Standard library only, loopback only.

A case defines `async def case(lab)`, which returns a list of breaks of its rule (empty: the rule held), and calls
run(case). The exit code is 1 if there are breaks, 0 if not, and 2 if the case could not run.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT = 115.0  # seconds that a case may take
RUN = "trap '' HUP; unset LB_DISCOVERY; exec bin/balancer serve"  # the line `run` of deploy/balancer.toml


class CannotRun(Exception):
    """The case could not be set up; says nothing on the rule."""


BLOCK = 64  # ports that a script takes for itself, so that scripts side by side share none
FIRST, LAST = 10240, 32000  # outside of the range from which the system takes the ports of connections
lock = None  # a listener at the first port of this script's block, for as long as the script runs
ports = iter(())  # the further ports of the block


def can_bind(s, port):
    try:
        s.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


def take_block():
    global lock, ports
    for first in random.sample(range(FIRST, LAST, BLOCK), 200):
        lock = socket.socket()
        if can_bind(lock, first):
            lock.listen()
            ports = iter(range(first + 1, first + BLOCK))
            return
        lock.close()
    raise CannotRun("no free block of ports")


def free_port(kind=socket.SOCK_STREAM):
    """A free port that this script has not had yet, and that no other script of this rig has."""
    if lock is None:
        take_block()
    for port in ports:
        with socket.socket(socket.AF_INET, kind) as s:
            if can_bind(s, port):
                return port
    raise CannotRun("no free port")


def free_address():
    return "127.0.0.1:%d" % free_port()


class Lab:
    def __init__(self, folder):
        self.folder = folder
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.began = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.processes = {}

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        self.out.write("%8.3f  %s\n" % (self.now(), text))
        self.out.flush()

    def path(self, name):
        return os.path.join(self.tmp, name)

    def write(self, name, text):
        with open(self.path(name), "w") as f:
            f.write(text)
        return self.path(name)

    async def start(self, name, config, operator=None):
        """Starts a balancer as the deploy file says."""
        env = dict(os.environ, LB_CONFIG=self.write(name + ".json", json.dumps(config)), OTTERSHED_LOG_LEVEL="info")
        for key in ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY"):
            env.pop(key, None)
        env.pop("OTTERSHED_OPERATOR", None)
        if operator is not None:
            env["OTTERSHED_OPERATOR"] = self.write(name + ".toml", operator)
        log = open(self.path(name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        self.record("%s started, process %d" % (name, process.pid))
        return process

    async def signal(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            self.record("%s gets %s" % (name, signal.Signals(number).name))
            process.send_signal(number)
            if number == signal.SIGKILL:
                await process.wait()

    async def kill(self, name):
        await self.signal(name, signal.SIGKILL)

    def log_of(self, name):
        try:
            with open(self.path(name + ".log"), errors="replace") as f:
                return f.read()
        except FileNotFoundError:
            return ""

    async def command(self, *args, timeout=40):
        """Runs an operator's command and returns its exit code, standard output and standard error."""
        process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "bin/balancer"), *args, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE)
        self.processes["command-%d" % process.pid] = process
        try:
            out, err = await asyncio.wait_for(process.communicate(), timeout)
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()
            return None, "", "no end within %d s" % timeout
        return process.returncode, out.decode(), err.decode()

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    await process.wait()
                except ProcessLookupError:
                    pass
        if os.environ.get("KEEP"):
            print("kept", self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


# HTTP, as little of it as the stand-ins need.

async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field.strip():
            return line.decode("latin-1").split(None, 2), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def answer(status, body=b"", **headers):
    head = "HTTP/1.1 %d x\r\nContent-Length: %d\r\n" % (status, len(body))
    for name, value in headers.items():
        head += "%s: %s\r\n" % (name.replace("_", "-"), value)
    return head.encode() + b"\r\n" + body


async def request(address, method, path, headers=None, body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns status, headers and body, or None without a whole answer."""
    host, port = address.split(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + address]
        lines += ["%s: %s" % item for item in (headers or {}).items()]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await read_head(reader)
        if head is None:
            return None
        (_, status, *_), fields = head
        if "content-length" in fields:
            text = await reader.readexactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            text = b""
            while True:
                size = int((await reader.readline()).strip(), 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                text += part[:-2]
        else:
            text = await reader.read()
        return int(status), fields, text

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def get(lab, listen, path, ident, timeout=2.0):
    """A client asks a marshal once, with one second left. What was answered is recorded."""
    got = await request(listen, "GET", path, {"X-Correlation-Id": ident, "X-Time-Left": "1.000"}, timeout=timeout)
    lab.record("client %s: %s" % (ident, got and got[0]))


async def get_json(address, path, body=None, timeout=5.0):
    """Asks an admin interface. Returns the decoded answer, or None."""
    if body is None:
        got = await request(address, "GET", path, timeout=timeout)
    else:
        got = await request(address, "POST", path, {"Content-Type": "application/json"}, body, timeout)
    if got is None or got[0] != 200:
        return None
    return json.loads(got[2])


async def until(check, timeout, pause=0.1):
    """Waits until check returns something true, and returns that; None after the timeout."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        got = check()
        if asyncio.iscoroutine(got):
            got = await got
        if got:
            return got
        await asyncio.sleep(pause)
    return None


async def ready(listen, name):
    """Waits until a marshal is ready."""
    async def up():
        got = await request(listen, "GET", "/up", timeout=1)
        return got is not None and got[0] == 200
    if not await until(up, 15):
        raise CannotRun("%s is not ready" % name)


class Node:
    """A sound server behind the balancers: answers every request, after `work` seconds, on connections that it keeps."""

    def __init__(self, lab, name, work=0.01, build=1):
        self.lab, self.name, self.work, self.build = lab, name, work, build
        self.fail = lambda method, path: False
        self.requests = []  # (time of the last byte, method, path, id)

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                (method, path, *_), headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                ident = headers.get("x-correlation-id", "")
                self.requests.append((self.lab.now(), method, path, ident))
                self.lab.record("%s got %s %s %s, %d bytes" % (self.name, method, path, ident, len(body)))
                await asyncio.sleep(self.work)
                if self.fail(method, path):
                    writer.write(answer(500))
                else:
                    writer.write(answer(200, ("%s of %s" % (ident, self.name)).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def entry(self, status="Ready", **other):
        entry = {"name": self.name, "address": self.address, "zone": "a", "type": "k", "group": 0, "status": status,
                 "weight": 1.0, "since_ms": 0, "image_id": self.build}
        entry.update(other)
        return entry


class Agent:
    """Discovery at one balancer's own machine, with whole lists. mode: ok, or refuse (503 to each call)."""

    def __init__(self, lab, name, entries):
        self.lab, self.name, self.entries, self.index = lab, name, entries, 1
        self.mode, self.changed = "ok", asyncio.Event()
        self.refused, self.on_refused = 0, None
        self.calls = []  # (time, URL)

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def change(self, entries):
        """Discovery has another list from now on."""
        self.entries, self.index = entries, self.index + 1
        self.wake()

    def set_mode(self, mode):
        self.lab.record("%s: discovery is %s" % (self.name, mode))
        self.mode = mode
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                url = head[0][1]
                self.calls.append((self.lab.now(), url))
                await self.answer_call(url, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def answer_call(self, url, writer):
        query = dict(part.split("=") for part in url.partition("?")[2].split("&") if part)
        end = time.monotonic() + int(query.get("timeout_ms", 0)) / 1000
        since = int(query["since"]) if "since" in query else None
        while True:
            if self.mode == "refuse":
                self.refused += 1
                self.lab.record("%s refuses %s" % (self.name, url))
                writer.write(answer(503))
                if self.on_refused:
                    self.on_refused()
                return
            left = end - time.monotonic()
            if since is None or self.index > since or left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.01, left))
            except asyncio.TimeoutError:
                pass
        body = {"index": self.index, "snapshot": True, "endpoints": self.entries}
        if since is not None and self.index <= since:
            body = {"index": self.index, "snapshot": False, "endpoints": []}
        writer.write(answer(200, json.dumps(body).encode(), Content_Type="application/json"))
        if self.index > (since or 0):
            self.lab.record("%s answers %s with list %d" % (self.name, url, self.index))


class Desk:
    """The rollout controller. It keeps its stage, whatever the votes, and rejects votes under an older token of a lease."""

    def __init__(self, lab, stage=None):
        self.lab = lab
        self.stage = stage or {"image": 1, "ring": 0, "progress": "live", "ceiling": 1.0}
        self.since = time.monotonic()
        self.followers = set()
        self.votes = []  # (time, params, error or None)
        self.tokens = {}  # highest fencing token of each lease that a vote has named

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.pinging = asyncio.ensure_future(self.ping())
        return self

    def state(self):
        return dict(self.stage, lag_ms=int((time.monotonic() - self.since) * 1000))

    def tell(self, writer, message):
        writer.write((json.dumps(dict({"jsonrpc": "2.0"}, **message)) + "\n").encode())

    def set_stage(self, **stage):
        self.stage, self.since = stage, time.monotonic()
        self.lab.record("desk: %s" % json.dumps(stage))
        for writer in list(self.followers):
            self.tell(writer, {"method": "stage", "params": self.state()})

    def judge(self, vote):
        """Rejects a vote on another build or stage, and one with a token below the highest that was seen for its lease."""
        stale = False
        for fence in vote.get("fences", []):
            stale = stale or fence["token"] < self.tokens.get(fence["work"], 0)
            self.tokens[fence["work"]] = max(fence["token"], self.tokens.get(fence["work"], 0))
        if stale or vote["image"] != self.stage["image"]:
            return "ConditionFailed"
        if vote["opinion"] in ("on", "hold") and vote["ring"] != self.stage["ring"]:
            return "ConditionFailed"
        return None

    async def ping(self):
        while True:
            await asyncio.sleep(1)
            for writer in list(self.followers):
                self.tell(writer, {"method": "ping"})

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                call = json.loads(line)
                if call["method"] == "follow":
                    self.tell(writer, {"id": call["id"], "result": True})
                    self.followers.add(writer)
                    self.tell(writer, {"method": "stage", "params": self.state()})
                elif call["method"] == "castBallot":
                    error = self.judge(call["params"])
                    self.votes.append((self.lab.now(), call["params"], error))
                    self.lab.record("desk: vote %s: %s" % (json.dumps(call["params"]), error or "taken"))
                    if error:
                        self.tell(writer, {"id": call["id"], "error": {"code": -32602, "message": error}})
                    else:
                        self.tell(writer, {"id": call["id"], "result": self.state()})
        except (OSError, ValueError):
            pass
        finally:
            self.followers.discard(writer)
            writer.close()


class Relay:
    """A TCP relay to one address. While it is cut, it passes nothing and takes nothing; connections stay silent."""

    def __init__(self, target):
        self.target, self.healed = target, asyncio.Event()
        self.healed.set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.healed.clear()

    def heal(self):
        self.healed.set()

    async def serve(self, reader, writer):
        await self.healed.wait()
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))

    async def copy(self, reader, writer):
        try:
            while True:
                part = await reader.read(65536)
                await self.healed.wait()
                if not part:
                    break
                writer.write(part)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def settings(site, instances):
    """Settings of a site at its present size. The pages' figures, or one in their range."""
    limits = {"most-tries": 5, "cancel": True, "second-copies": False, "retry-after": True, "max-retry-after-ms": 500,
              "conn-idle-ms": 30000, "connect-timeout-ms": 250}
    rules = {"cold-from": 0.35, "warm-after-ms": 4500, "overload-factor": 3, "overload-for-ms": 1000,
             "answer-slack-ms": 20, "drain-grace-ms": 250, "ask-within-ms": 10000}
    domain = {"swap": "rolling", "keys-stay": False, "guarded-stages": 0, "vote-wait-ms": 800, "per": "all"}
    if site == "vesiraja-levels":
        domain.update({"caps": [0.112, 0.35, 0.84, 1], "waves": [0.08, 0.25, 0.6, 1], "uncounted": 1,
                       "exposure-window-ms": 4000, "vote-mode": "majority", "on-votes": 2, "votes-to-revert": 1,
                       "soak-ms": 1500, "vote-ttl-ms": 6000})
        services = [
            {"name": "level-read", "aim-ms": 400, "give-up-ms": 1500, "idempotency": "safe"},
            {"name": "subscribe", "aim-ms": 500, "give-up-ms": 2000, "idempotency": "keyed", "group": "zone",
             "window-ms": 1200},
            {"name": "send-text", "aim-ms": 500, "give-up-ms": 1500, "idempotency": "unsafe"}]
    elif site == "tanger-port":
        limits.update({"most-tries": 6, "second-copies": True, "max-retry-after-ms": 1000, "conn-idle-ms": 15000})
        rules.update({"cold-from": 0.31, "warm-after-ms": 4600, "overload-factor": 4, "overload-for-ms": 1500})
        domain.update({"caps": [0.06, 0.24, 0.8, 1], "waves": [0.03, 0.12, 0.4, 1], "uncounted": 3,
                       "exposure-window-ms": 3000, "vote-mode": "clocked", "auto-after-ms": 2500, "on-votes": 0,
                       "to-pause": 1, "votes-to-revert": 1, "vote-ttl-ms": 4000})
        services = [
            {"name": "seat-lookup", "aim-ms": 800, "give-up-ms": 2000, "idempotency": "safe"},
            {"name": "booking", "aim-ms": 750, "give-up-ms": 2000, "idempotency": "keyed", "group": "all",
             "window-ms": 4000},
            {"name": "gate-scan", "aim-ms": 500, "give-up-ms": 1500, "idempotency": "unsafe"}]
    else:
        raise CannotRun("no such site: " + site)
    return {"n-instances": instances, "zone": "a", "granularity-ms": 5, "limits": limits, "rules": rules,
            "domain": domain, "services": services,
            "discovery": "ask" if site == "tanger-port" else "push"}


def config(name, agent, desk, values, **other):
    out = {"name": name, "listen": free_address(), "discovery": agent.address, "seed": "%x" % random.getrandbits(60),
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "platform": {"address": desk.address},
           "settings": values}
    out.update(other)
    return out


class Fleet:
    """Marshals that share membership, one policy and leases, as on the operators' pages. Each has its own agent."""

    def __init__(self, lab, names, servers, nodes, desk, values, elect="200ms", lease="600ms", pause="2s", detect="5s"):
        self.lab, self.names, self.servers, self.nodes, self.desk = lab, names, servers, nodes, desk
        self.values, self.elect, self.lease, self.pause, self.detect = values, elect, lease, pause, detect
        self.member = {n: "127.0.0.1:%d" % free_port(socket.SOCK_DGRAM) for n in names}
        self.log = {n: free_address() for n in servers}
        self.admin = {n: free_address() for n in names}
        self.listen, self.configs, self.agents = {}, {}, {}
        self.route = {}  # (from, to): address at which one reaches the log's port of the other, where not directly

    async def prepare(self):
        for name in self.names:
            self.agents[name] = await Agent(self.lab, "agent-" + name, [n.entry() for n in self.nodes]).open()
            self.configs[name] = config(name, self.agents[name], self.desk, self.values)
            self.listen[name] = self.configs[name]["listen"]

    def operator(self, name):
        lines = ["[admin]", 'listen = "%s"' % self.admin[name], "[membership]", "enabled = true", 'cluster = "review"',
                 'bind = "%s"' % self.member[name], 'bear-pause = "%s"' % self.pause,
                 'detect-within = "%s"' % self.detect]
        for other in self.names[:3]:
            lines += ["[[membership.seeds]]", 'name = "%s"' % other, 'address = "%s"' % self.member[other]]
        lines += ["[policy]", "enabled = true", 'dir = "%s.store"' % name, 'elect-within = "%s"' % self.elect]
        if name in self.log:
            lines.append('bind = "%s"' % self.log[name])
        for server in self.servers:
            address = self.route.get((name, server), self.log[server])
            lines += ["[[policy.servers]]", 'name = "%s"' % server, 'address = "%s"' % address]
        if self.lease:
            lines += ["[takeover]", "enabled = true", 'lease = "%s"' % self.lease]
        return "\n".join(lines) + "\n"

    async def start(self, name):
        """Starts a marshal. Its file holds the present list and the present stage, as at each start on the platform."""
        cfg = self.configs[name]
        agent = self.agents[name]
        cfg["known"] = {"index": agent.index, "snapshot": True, "endpoints": agent.entries}
        cfg["platform"]["news"] = self.desk.state()
        await self.lab.start(name, cfg, self.operator(name))

    async def ready(self, name):
        await ready(self.listen[name], name)

    async def start_all(self):
        """Starts the servers of the log, then the other marshals, and waits until each admits trials.

        So every other marshal's first question finds its first server with a log, however slow the machine is.
        """
        await self.prepare()
        for group in self.servers, [name for name in self.names if name not in self.servers]:
            for name in group:
                await self.start(name)
            for name in group:
                await self.ready(name)
                if not await until(lambda: self.open(name), 20):
                    raise CannotRun("%s does not admit trials" % name)

    async def ask_all(self, path, seconds):
        """At each marshal a client asks again and again for some seconds. Returns the marshal's name by id."""
        sent = {}
        end = time.monotonic() + seconds

        async def client(name):
            while time.monotonic() < end:
                ident = "%s-%06d" % (name, len(sent))
                sent[ident] = name
                await get(self.lab, self.listen[name], path, ident)
                await asyncio.sleep(0.05)

        await asyncio.gather(*(client(name) for name in self.names))
        return sent

    async def self_status(self, name):
        return await get_json(self.admin[name], "/policy/self", timeout=2)

    async def open(self, name, version=None):
        """Whether this marshal admits trials, at this version."""
        status = await self.self_status(name)
        return bool(status and status["open"] and (version is None or status["version"] == version))

    async def propose(self, name, policy, *more, timeout=30):
        """`balancer policy propose` at this marshal. Returns exit code and all output."""
        path = self.lab.write("policy-%d.json" % random.getrandbits(30), json.dumps(policy))
        self.lab.record("operator: policy propose at %s: %s" % (name, json.dumps(policy)))
        code, out, err = await self.lab.command(
            "policy", "propose", path, "--at", self.admin[name], *more, timeout=timeout)
        self.lab.record("operator: exit code %s: %s" % (code, (out + err).strip()))
        return code, out + err


def run(case):
    """Runs a case and ends the process with its exit code."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    lab = Lab(folder)

    async def main():
        if not os.access(os.path.join(ROOT, "bin/balancer"), os.X_OK):
            raise CannotRun("bin/balancer is not built")
        lab.record("trouble: %s" % ("yes" if TROUBLE else "no"))
        try:
            return await asyncio.wait_for(case(lab), LIMIT)
        finally:
            await lab.close()

    code = 2
    try:
        breaks = asyncio.run(main())
        for text in breaks:
            lab.record("BREAK " + text)
            print("BREAK", text)
        code = 1 if breaks else 0
        verdict = "the rule was broken" if breaks else "the rule held"
    except CannotRun as e:
        verdict = "could not run: %s" % e
    except asyncio.TimeoutError:
        verdict = "could not run: not done within %.0f s" % LIMIT
    except Exception:
        verdict = "could not run: " + traceback.format_exc()
    lab.record(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(code)
