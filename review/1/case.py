"""Endpoints hang through a shutdown and the instance is held up for 0.14 s: it ends without answering what it had taken."""

import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import lab as stand  # noqa: E402

CAPS, WAVES = [0.14, 0.49, 1.0], [0.1, 0.35, 1.0]
CLIENTS = 10
SENT_AFTER = 0.53  # seconds after SIGTERM; what comes later than 0.7 s is not counted by the pages
TIME_LEFT = 2.0  # seconds; the client timeout of the class
HELD_UP = 0.14  # seconds; the pages have up to 0.15
SLACK = 0.5  # seconds after its time in which an answer still comes; later, or never, the request is lost


def site():
    """Settings after home-campus, in one building."""
    values = stand.settings(1, 0, CAPS, WAVES, "clocked")
    values["domain"].update({"auto-after-ms": 2500.0, "to-pause": 1, "per": "per_lane", "swap": "rolling"})
    values["services"] = [
        {"name": "sheet-view", "aim-ms": 250.0, "give-up-ms": 1000.0, "idempotency": "safe", "group": "all",
         "window-ms": 5000.0},
        {"name": "print-order", "aim-ms": 400.0, "give-up-ms": 1000.0, "idempotency": "keyed", "group": "all",
         "window-ms": 4000.0},
        {"name": "accession", "aim-ms": 600.0, "give-up-ms": 2000.0, "idempotency": "unsafe", "group": "all",
         "window-ms": 5000.0},
    ]
    return values


class Client:
    """A client that keeps its connection. It reads one answer, or the connection's end."""

    def __init__(self, lab, instance, name):
        self.lab, self.name = lab, name
        self.conn = socket.create_connection(stand.split(instance.listen))
        self.outcome, self.took = None, 0.0

    def ask(self, method, target, identity, time_left, body=b""):
        head = (f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {identity}\r\nX-Account: acme\r\n"
                f"X-Time-Left: {time_left:.3f}\r\n" + (f"Content-Length: {len(body)}\r\n" if body else "") + "\r\n")
        sent = self.lab.record.now()
        self.lab.record(f"{self.name}: sends {method} {target} {identity}")
        try:
            self.conn.sendall(head.encode() + body)
            self.conn.settimeout(time_left + SLACK)
            answer = self.conn.recv(65536)
            self.outcome = answer.split(b"\r\n")[0].decode() if answer else "closed without an answer"
        except OSError as error:
            self.outcome = f"no answer: {error!r}"
        self.took = self.lab.record.now() - sent
        self.lab.record(f"{self.name}: {identity} after {self.took:.3f} s: {self.outcome}")


def case(lab):
    controller = stand.Controller(lab.record, CAPS, build=41)
    controller.progress = "live"
    endpoints = [stand.Endpoint(f"s-{i}", 41, lab.record) for i in range(6)]
    discovery = stand.Discovery(endpoints)
    instance = lab.instance("n0", "n0", controller, discovery, site())
    instance.start()
    lab.wait("ready", instance.ready, 20)
    load = stand.Load(instance, 50, "sheet-view")
    time.sleep(2)
    load.stop()
    time.sleep(0.3)
    clients = [Client(lab, instance, f"client {i}") for i in range(CLIENTS)]
    for i, client in enumerate(clients):
        client.ask("GET", "/sheet-view", f"first-{i}", 0.9)
        if not client.outcome.startswith("HTTP/1.1 200"):
            raise stand.CannotRun("a calm request was not served")

    for endpoint in endpoints:
        endpoint.service_time = 60.0
    lab.record("all endpoints hang from now on")
    terminated = time.monotonic()
    instance.signal(signal.SIGTERM, "planned restart")
    time.sleep(terminated + SENT_AFTER - time.monotonic())
    sent = time.monotonic()
    threads = [threading.Thread(target=client.ask, args=("POST", "/accession", f"last-{i}", TIME_LEFT, b"sheet"))
               for i, client in enumerate(clients)]
    for thread in threads:
        thread.start()
    if lab.trouble:
        time.sleep(sent + TIME_LEFT - 0.005 - time.monotonic())
        instance.signal(signal.SIGSTOP, "held up")
        stopped = time.monotonic()
        time.sleep(HELD_UP)
        instance.signal(signal.SIGCONT)
        held = time.monotonic() - stopped
        lab.record(f"held up for {held:.3f} s")
        if held > 0.15:
            raise stand.CannotRun(f"the instance was held up for {held:.3f} s")
    for thread in threads:
        thread.join()
    instance.process.wait()
    lab.record(f"n0 ended with exit code {instance.process.returncode}")

    lost = []
    for i, client in enumerate(clients):
        runs = sum(endpoint.runs.get(f"last-{i}", 0) for endpoint in endpoints)
        if runs and not client.outcome.startswith("HTTP/1.1 "):
            lost.append(f"last-{i}")
    if lost:
        return f"{len(lost)} of {CLIENTS} requests that the instance had taken and sent to an endpoint got no answer: {lost}"
    return None


stand.main(case, FOLDER)
