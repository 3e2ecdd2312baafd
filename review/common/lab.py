"""Stand-ins and helpers for the cases of the review. Standard library only.

A case starts real balancer processes with the command `run` of deploy/balancer.toml. Clients, endpoints, the discovery
agent, the rollout controller and the links between instances are small stand-ins in this file. All addresses are
loopback addresses, and all ports are free ones.
"""

import json
import os
import pathlib
import queue
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be brought to the point at which the rule is checked."""


class Record:
    """The file record.txt of a case: one line for each thing sent, answered or run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


def free_port(kind=socket.SOCK_STREAM, used=set()):
    """A port that is free now and that this function has not returned before."""
    while True:
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in used:
            used.add(port)
            return port


def free_address(kind=socket.SOCK_STREAM):
    return f"{HOST}:{free_port(kind)}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def listen(address, serve):
    """Accepts connections at an address, and serves each one on a thread of its own."""
    listener = socket.create_server(split(address), backlog=128)

    def accept():
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(conn,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


def read_request(reader):
    """Reads one HTTP request. It returns the request line, the headers in lower case and the body, or None at the end."""
    line = reader.readline().decode("latin-1").rstrip("\r\n")
    if not line:
        return None
    headers = {}
    while True:
        header = reader.readline().decode("latin-1")
        if not header.endswith("\n"):
            return None
        header = header.rstrip("\r\n")
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", "0")))
    return line, headers, body


def response(status, body, extra=""):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nContent-Type: application/json\r\n{extra}\r\n"
    return head.encode("latin-1") + body


class Endpoint:
    """A sound server: it runs a request when its last byte has come, and answers 200 after its service time."""

    def __init__(self, name, build, record=None, service_time=0.02):
        self.name, self.build, self.record, self.service_time = name, build, record, service_time
        self.address = free_address()
        self.runs = {}
        self.lock = threading.Lock()
        listen(self.address, self.serve)

    def serve(self, conn):
        reader = conn.makefile("rb")
        try:
            while request := read_request(reader):
                identity = request[1].get("x-correlation-id", "-")
                with self.lock:
                    self.runs[identity] = self.runs.get(identity, 0) + 1
                if self.record:
                    self.record(f"endpoint {self.name} runs {identity}: {request[0]}")
                time.sleep(self.service_time)
                conn.sendall(response("200 OK", f"{identity} of {self.name}".encode()))
        except OSError:
            pass
        finally:
            conn.close()


class Discovery:
    """The discovery agent: the whole list, and watches that end at a change or after their time."""

    def __init__(self, endpoints):
        self.address = free_address()
        self.endpoints = endpoints
        self.index = 41
        self.changed = threading.Condition()
        listen(self.address, self.serve)

    def entries(self):
        return [{
            "name": e.name, "address": e.address, "zone": "a", "type": "m2", "group": 1, "status": "Ready", "weight": 1.0,
            "since_ms": 0, "image_id": e.build,
        } for e in self.endpoints]

    def serve(self, conn):
        reader = conn.makefile("rb")
        try:
            while request := read_request(reader):
                target = request[0].split(" ")[1]
                query = dict(p.split("=", 1) for p in target.partition("?")[2].split("&") if "=" in p)
                body = {"index": self.index, "snapshot": True, "endpoints": self.entries()}
                if "since" in query and int(query["since"]) >= self.index:
                    with self.changed:
                        self.changed.wait(min(60.0, int(query.get("timeout_ms", "0")) / 1000))
                    body = {"index": self.index, "snapshot": False, "endpoints": []}
                conn.sendall(response("200 OK", json.dumps(body).encode()))
        except OSError:
            pass
        finally:
            conn.close()


class Controller:
    """The rollout controller. Each instance has a port of its own here, so that each vote can be told by its sender.

    With fences it rejects a vote under a token that is older than one that it has seen for that lease. With on_votes,
    that many standing votes to advance move the stage on, once it has lasted for soak seconds. With step, a clock moves it on
    after so many seconds, without the time during which hold_votes votes to hold stand.
    """

    def __init__(self, record, caps, build=42, on_votes=0, soak=1.5, vote_life=6.0, step=0.0, hold_votes=1):
        self.record, self.caps, self.on_votes, self.soak, self.vote_life = record, caps, on_votes, soak, vote_life
        self.step, self.hold_votes, self.ran = step, hold_votes, 0.0
        self.build, self.ring, self.progress = build, 0, "testing"
        self.since = time.monotonic()
        self.lock = threading.RLock()
        self.followers = {}
        self.votes = []  # (seconds, sender, ring, opinion, fences, counted)
        self.standing = {}
        self.tokens = {}
        threading.Thread(target=self.ping, daemon=True).start()
        if step:
            threading.Thread(target=self.run_clock, daemon=True).start()

    def port_for(self, sender):
        address = free_address()
        listen(address, lambda conn: self.serve(conn, sender))
        return address

    def news(self):
        ceiling = {"testing": self.caps[min(self.ring, len(self.caps) - 1)], "live": 1.0}.get(self.progress, 0.0)
        return {"image": self.build, "ring": self.ring, "progress": self.progress, "ceiling": ceiling,
                "lag_ms": round((time.monotonic() - self.since) * 1000)}

    def send(self, conn, message):
        try:
            conn.sendall(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")
        except OSError:
            self.followers.pop(conn, None)

    def tell(self):
        for conn in list(self.followers):
            self.send(conn, {"method": "stage", "params": self.news()})

    def ping(self):
        while True:
            time.sleep(1)
            with self.lock:
                for conn in list(self.followers):
                    self.send(conn, {"method": "ping"})

    def serve(self, conn, sender):
        try:
            for line in conn.makefile("rb"):
                call = json.loads(line)
                with self.lock:
                    if call["method"] == "follow":
                        self.send(conn, {"id": call["id"], "result": True})
                        self.followers[conn] = sender
                        self.send(conn, {"method": "stage", "params": self.news()})
                    else:
                        self.vote(conn, sender, call)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.followers.pop(conn, None)
            conn.close()

    def vote(self, conn, sender, call):
        params = call["params"]
        fences = {f["work"]: f["token"] for f in params.get("fences", [])}
        stale = any(token < self.tokens.get(work, 0) for work, token in fences.items())
        for work, token in fences.items():
            self.tokens[work] = max(token, self.tokens.get(work, 0))
        counted = not stale and self.progress == "testing" and (params["image"], params["ring"]) == (self.build, self.ring)
        now = self.record.now()
        self.votes.append((now, sender, params["ring"], params["opinion"], fences, counted))
        self.record(f"controller: vote of {sender}: {json.dumps(params)} -> {'counted' if counted else 'ConditionFailed'}")
        if not counted:
            self.send(conn, {"id": call["id"], "error": {"code": -32602, "message": "ConditionFailed"}})
            return
        self.standing[sender] = (now, params["opinion"])
        self.advance()
        self.send(conn, {"id": call["id"], "result": self.news()})

    def count(self, opinion):
        now = self.record.now()
        return sum(kind == opinion and now - at < self.vote_life for at, kind in self.standing.values())

    def advance(self):
        if self.on_votes and self.count("on") >= self.on_votes and time.monotonic() - self.since >= self.soak:
            self.move_on()

    def run_clock(self):
        last, held = time.monotonic(), False
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                passed, last = now - last, now
                if self.progress != "testing":
                    continue
                if held != (self.count("hold") >= self.hold_votes):
                    held = not held
                    self.record(f"controller: the clock {'stands' if held else 'runs'}, {self.count('hold')} votes to hold stand")
                self.ran += 0.0 if held else passed
                if self.ran >= self.step:
                    self.move_on()

    def offer(self, build):
        """Offers a new build, in its first stage."""
        with self.lock:
            self.build, self.ring, self.progress, self.since, self.ran = build, 0, "testing", time.monotonic(), 0.0
            self.record(f"controller: a new build: {json.dumps(self.news())}")
            self.tell()

    def move_on(self):
        self.ran = 0.0
        self.ring, self.progress = (self.ring + 1, "testing") if self.ring + 1 < len(self.caps) else (self.ring, "live")
        self.since = time.monotonic()
        self.standing.clear()
        self.record(f"controller: stage moves on: {json.dumps(self.news())}")
        self.tell()


def settings(instances, on_votes, caps, waves, vote_mode="majority"):
    """Settings of a small deployment: the figures of the wire page's example, in one zone."""
    return {
        "n-instances": instances, "zone": "a", "granularity-ms": 5.0, "areas": ["a"], "kinds": ["m2"], "discovery": "push",
        "limits": {"cancel": True, "conn-idle-ms": 30000.0, "connect-timeout-ms": 250.0, "max-retry-after-ms": 500.0,
                   "most-tries": 5, "probing": False, "retry-after": True, "second-copies": False},
        "rules": {"answer-slack-ms": 20.0, "ask-within-ms": 10000.0, "cold-from": 0.35, "drain-grace-ms": 250.0,
                  "overload-factor": 3.0, "overload-for-ms": 1000.0, "warm-after-ms": 4500.0},
        "domain": {"caps": caps, "waves": waves, "exposure-window-ms": 4000.0, "guarded-stages": 0, "keys-stay": False,
                   "on-votes": on_votes, "votes-to-revert": 1, "per": "all", "reported-share": 0.3, "soak-ms": 1500.0,
                   "swap": "side_by_side", "uncounted": 1.0, "vote-mode": vote_mode, "vote-ttl-ms": 6000.0,
                   "vote-wait-ms": 800.0, "tally-every-ms": 0.0, "to-pause": 0, "auto-after-ms": 0.0},
        "services": [
            {"name": "level-read", "aim-ms": 400.0, "give-up-ms": 1500.0, "idempotency": "safe", "group": "all",
             "window-ms": 5000.0},
            {"name": "send-text", "aim-ms": 500.0, "give-up-ms": 1500.0, "idempotency": "unsafe", "group": "all",
             "window-ms": 5000.0},
        ],
        "tenants": [{"name": "acme", "quota-per-s": 1000.0, "share": 1.0}],
    }


class Relay:
    """A relay of TCP connections, for one link. It passes bytes on unchanged, and shows each piece to look.

    vanish makes the far side silent, as a machine that has vanished: open connections stay open and carry nothing more,
    also after restore, and new ones carry nothing until then.
    """

    def __init__(self, target, look=None):
        self.target, self.look = target, look
        self.address = free_address()
        self.lock = threading.Lock()
        self.silent = threading.Event()
        self.generation = 0
        listen(self.address, self.serve)

    def vanish(self):
        with self.lock:
            self.generation += 1
            self.silent.set()

    def restore(self):
        with self.lock:
            self.generation += 1
            self.silent.clear()

    def serve(self, conn):
        with self.lock:
            generation, silent = self.generation, self.silent.is_set()
        if silent:
            self.hold(conn)
            return
        try:
            far = socket.create_connection(split(self.target), timeout=2)
            far.settimeout(None)
        except OSError:
            conn.close()
            return
        threading.Thread(target=self.pump, args=(conn, far, generation, True), daemon=True).start()
        self.pump(far, conn, generation, False)

    def pump(self, source, sink, generation, forward):
        while True:
            try:
                piece = source.recv(65536)
            except OSError:
                piece = b""
            if generation != self.generation:
                self.hold(source)
                return
            if not piece:
                for end in (source, sink):
                    try:
                        end.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass
                return
            if self.look and forward:
                self.look(piece)
            try:
                sink.sendall(piece)
            except OSError:
                pass

    held = []

    def hold(self, conn):
        """Keeps a connection open, and reads and writes nothing more on it."""
        self.held.append(conn)


def policy_section(servers, folder, bind=None):
    """The section [policy] of an operator's file. servers maps names to the addresses at which they are reached."""
    text = f'[policy]\nenabled = true\ndir = "{folder}"\n'
    if bind:
        text += f'bind = "{bind}"\n'
    return text + "".join(f'[[policy.servers]]\nname = "{n}"\naddress = "{a}"\n' for n, a in servers.items())


def membership_section(seeds, own=None, reached_at=None):
    """The section [membership] with the times of deploy/operator.toml."""
    text = '[membership]\nenabled = true\ncluster = "town"\nbear-pause = "4s"\ndetect-within = "12s"\n'
    if own:
        text += f'bind = "{own}"\n'
    if reached_at:
        text += f'advertise = "{reached_at}"\n'
    return text + "".join(f'[[membership.seeds]]\nname = "{n}"\naddress = "{a}"\n' for n, a in seeds.items())


class PacketRelay:
    """A relay of UDP packets to one instance. While silent is set, all packets are lost."""

    def __init__(self, target):
        self.target = target
        self.address = free_address(socket.SOCK_DGRAM)
        self.silent = threading.Event()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(split(self.address))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            packet, _ = self.socket.recvfrom(65536)
            if not self.silent.is_set():
                self.socket.sendto(packet, split(self.target))

    def vanish(self):
        self.silent.set()

    def restore(self):
        self.silent.clear()


class Instance:
    """One balancer process, started as the deploy file says."""

    def __init__(self, lab, label, name, controller, discovery, values, operator=None, listen_at=None):
        self.lab, self.label, self.name = lab, label, name
        self.listen = listen_at or free_address()
        self.admin = free_address()
        self.folder = lab.folder / label
        self.folder.mkdir()
        self.config = self.folder / "config.json"
        self.operator = self.folder / "operator.toml"
        self.log = self.folder / "log"
        self.starts = 0
        self.process = None
        self.values = {
            "name": name, "listen": self.listen, "discovery": discovery.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "platform": {"address": controller.port_for(label)}, "settings": values,
        }
        self.controller = controller
        self.operator_text = operator or ""

    def write(self):
        self.values["seed"] = f"{1000 * self.starts + zlib.crc32(self.label.encode()) % 997 + 1:x}"
        self.values["platform"]["news"] = self.controller.news()
        self.config.write_text(json.dumps(self.values))
        text = f'[admin]\nlisten = "{self.admin}"\n{self.operator_text}'
        self.operator.write_text(text)

    def start(self):
        self.starts += 1
        self.write()
        with open(ROOT / "deploy" / "balancer.toml", "rb") as deploy:
            command = tomllib.load(deploy)["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "OTTERSHED_"))}
        env.update({
            "LB_NAME": self.name, "LB_LISTEN": self.listen, "LB_DISCOVERY": self.values["discovery"],
            "LB_CONFIG": str(self.config), "OTTERSHED_OPERATOR": str(self.operator), "TMPDIR": str(self.folder),
            "OTTERSHED_LOG_LEVEL": "info",
        })
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL, stderr=open(self.log, "ab"))
        self.lab.record(f"{self.label}: started (process {self.process.pid})")

    def signal(self, number, note=""):
        self.lab.record(f"{self.label}: {signal.Signals(number).name} {note}")
        self.process.send_signal(number)

    def kill(self, note=""):
        self.signal(signal.SIGKILL, note)
        self.process.wait()

    def ready(self):
        try:
            status, _ = http(self.listen, "GET", "/up", timeout=1)
            return status == 200
        except OSError:
            return False

    def command(self, *words, timeout=40):
        """Runs an operator's command at this instance, and returns its exit code, output and error output."""
        line = [str(ROOT / "bin" / "balancer"), *words, "--at", self.admin]
        done = subprocess.run(line, cwd=ROOT, capture_output=True, text=True, timeout=timeout)
        return done.returncode, done.stdout, done.stderr

    def json(self, *words):
        code, out, _ = self.command(*words, "--json")
        return json.loads(out) if code == 0 else None

    def lines(self, text):
        return [line for line in self.log.read_text(errors="replace").splitlines() if text in line] if self.log.exists() else []


def http(address, method, target, headers=(), body=b"", timeout=3.0):
    with socket.create_connection(split(address), timeout=timeout) as conn:
        head = f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        conn.sendall(head.encode() + b"Connection: close\r\n\r\n" + body)
        raw = b""
        while piece := conn.recv(65536):
            raw += piece
    if not raw:
        raise OSError("closed without an answer")
    return int(raw.split(b" ", 2)[1]), raw.partition(b"\r\n\r\n")[2]


class Load:
    """Clients that send GET requests of one class at a steady rate to one instance, each on a connection of its own."""

    count = 0

    def __init__(self, instance, rate, name="level-read", keys=0):
        self.instance, self.rate, self.name, self.keys = instance, rate, name, keys
        self.stopped = threading.Event()
        self.answers = {}
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.stopped.wait(1 / self.rate):
            threading.Thread(target=self.one, daemon=True).start()

    def one(self):
        Load.count += 1
        identity = f"{Load.count:016x}"
        target = f"/{self.name}" + (f"?key=k{Load.count % self.keys}" if self.keys else "")
        try:
            status, _ = http(self.instance.listen, "GET", target, [
                ("X-Correlation-Id", identity), ("X-Account", "acme"), ("X-Time-Left", "1.400")])
        except OSError as error:
            status = type(error).__name__
        self.answers[status] = self.answers.get(status, 0) + 1

    def stop(self):
        self.stopped.set()


class Lab:
    """The temporary folder and the processes of a case."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ottershed-review-"))
        self.instances = []
        self.children = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def instance(self, *args, **kwargs):
        made = Instance(self, *args, **kwargs)
        self.instances.append(made)
        return made

    def wait(self, what, done, limit):
        """Waits until done returns a true value, and returns that value."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if value := done():
                return value
            time.sleep(0.05)
        raise CannotRun(f"{what}: not within {limit} s")

    def close(self, code):
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGKILL)
                instance.process.send_signal(signal.SIGCONT)
                instance.process.wait()
        for child in self.children:
            if child.poll() is None:
                child.kill()
                child.wait()
        for instance in self.instances:
            if instance.log.exists():
                self.record(f"--- log of {instance.label}")
                for line in instance.log.read_text(errors="replace").splitlines()[-60:]:
                    self.record(f"    {line}")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record(f"exit code {code}")


def main(case, case_folder, limit=110):
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    lab = Lab(case_folder)
    result = queue.Queue()

    def run():
        try:
            result.put(case(lab))
        except CannotRun as error:
            result.put(error)
        except BaseException as error:  # whatever else happens, the case could not run
            result.put(CannotRun(repr(error)))

    threading.Thread(target=run, daemon=True).start()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # a case that is ended early ends its processes too
    code = 2
    try:
        outcome = result.get(timeout=limit)
        if isinstance(outcome, CannotRun):
            lab.record(f"could not run: {outcome}")
        else:
            code = 1 if outcome else 0
            lab.record(f"RULE BROKEN: {outcome}" if outcome else "rule held")
    except queue.Empty:
        lab.record(f"could not run: not over after {limit} s")
    except KeyboardInterrupt:
        lab.record("could not run: interrupted")
    lab.close(code)
    sys.stdout.flush()
    os._exit(code)
