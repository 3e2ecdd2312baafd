"""Drains are kept where the list is asked for: an outage of discovery ends, and the marshals ask again too late."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig import *


MARSHALS = 6
# A change counts as told 6 s after discovery had it and could be reached; the grace of drains is 250 ms, time limits on
# sockets are 50 ms longer, and a marshal may be held up for 0.15 s.
LIMIT_AFTER_RETURN = 6.0 + 0.25 + 0.05 + 0.15
REFUSALS = 3  # calls of a marshal that are refused in the outage, which lasts 7.5 to 15.3 s so (the pages: 5.6 to 21 s)


async def case(lab):
    nodes = [await Node(lab, "s-%d" % i).open() for i in range(3)]
    desk = await Desk(lab).open()
    before = [node.entry() for node in nodes]
    after = [nodes[0].entry("Terminating")] + before[1:]
    agents, listens = [], []
    for i in range(MARSHALS):
        agent = await Agent(lab, "agent-n%d" % i, before).open()
        cfg = config("n%d" % i, agent, desk, settings("tanger-port", MARSHALS),
                     known={"index": 1, "snapshot": True, "endpoints": before})
        cfg["platform"]["news"] = desk.state()
        await lab.start("n%d" % i, cfg)
        agents.append(agent)
        listens.append(cfg["listen"])
    for i, listen in enumerate(listens):
        await ready(listen, "n%d" % i)
    if not await until(lambda: all(len(agent.calls) > 1 for agent in agents), 20):
        raise CannotRun("a marshal does not watch the list")

    told = {}  # by marshal: when discovery had the change and could be reached

    def come_back(i):
        agents[i].set_mode("ok")
        told[i] = lab.now()

    def refused(i):
        if agents[i].refused == REFUSALS:
            agents[i].on_refused = None
            asyncio.get_running_loop().call_later(0.2, come_back, i)

    lab.record("s-0 is Terminating from now on")
    for i, agent in enumerate(agents):
        if TROUBLE:
            agent.on_refused = lambda i=i: refused(i)
            agent.set_mode("refuse")
        else:
            told[i] = lab.now()
        agent.change(after)

    sent = {}  # by id: the marshal that the client asked
    running = True

    async def client(i):
        while running:
            ident = "n%d-%06d" % (i, len(sent))
            sent[ident] = i
            await get(lab, listens[i], "/seat-lookup", ident, timeout=5.0)
            await asyncio.sleep(0.05)

    clients = [asyncio.ensure_future(client(i)) for i in range(MARSHALS)]
    if not await until(lambda: len(told) == MARSHALS, 50):
        raise CannotRun("a marshal did not call discovery during the outage")
    await asyncio.sleep(12)
    running = False
    await asyncio.gather(*clients)

    breaks = []
    for i in range(MARSHALS):
        at = [t for t, _, _, ident in nodes[0].requests if sent.get(ident) == i]
        late = [t - told[i] for t in at if t - told[i] > LIMIT_AFTER_RETURN]
        lab.record("n%d: discovery could be reached at %.3f; last request to s-0 at %.3f" % (i, told[i], max(at, default=0)))
        if late:
            breaks.append("n%d sent %d requests to s-0, which drains, the last %.2f s after discovery could be reached"
                          % (i, len(late), max(late)))
    return breaks


run(case)
