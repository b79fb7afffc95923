"""A TCP proxy on loopback that injects faults into links between processes.

The processes advertise addresses of the proxy to each other. A link is identified
by the host of the connecting side and the address that it connects to, so that
faults can affect single processes or one direction between two hosts. The
processes need no support for it.
"""
import asyncio
import collections
import socket
import struct
import threading

CHUNK_BYTES = 65536
MAX_QUEUED_CHUNKS = 64  # per direction of a held link; beyond this its sender blocks


class Link:
    """One proxied connection; faults can affect each direction separately."""

    def __init__(self, source, target):
        self.source = source
        self.target = target
        self.silenced = False  # carries no more data; new connections are not affected
        self.writers = []
        self.task = asyncio.current_task()

    def reset(self):
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                # A linger time of 0 makes abort() reset the connection.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        # Otherwise tasks with held data would wait on although the connection is gone.
        self.task.cancel()


class Rule:
    """A fault of all matching links.

    `source` is a host prefix, `target` an address, a host or a host prefix; None
    matches everything.
    """

    def __init__(self, source=None, target=None, delay=0.0, hold_outgoing=False, hold_returning=False,
                 refuse=False):
        self.source = source
        self.target = target
        self.delay = delay                    # seconds, in both directions
        self.hold_outgoing = hold_outgoing    # data from the connecting side
        self.hold_returning = hold_returning  # data to the connecting side
        self.refuse = refuse                  # resets new connections

    def matches(self, link):
        host = link.target[0]
        return (self.source is None or link.source.startswith(self.source)) and \
            (self.target is None or self.target in (link.target, host) or
             (isinstance(self.target, str) and host.startswith(self.target)))


class Proxy:
    """Runs an event loop on a thread of its own.

    Other threads may call listen, set_rules, reset, silence and stop. start_task and
    the methods under "Connections" must run on the loop.
    """

    def __init__(self):
        self.rules = {}
        self.links = set()
        self.servers = []
        self.tasks = set()
        self.counts = collections.Counter()
        self.rules_changed = asyncio.Event()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    # ---- Control ----

    def run_on_loop(self, coroutine):
        """Runs a coroutine on the loop and waits for its result, up to 30 s."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def listen(self, address, target):
        async def start():
            self.servers.append(await asyncio.start_server(
                lambda reader, writer: self.start_task(self.serve(reader, writer, target)), *address))
        self.run_on_loop(start())

    def start_task(self, coroutine):
        """Starts a task that stop() cancels."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def set_rules(self, name, rules):
        """Replaces the rules of that name; an empty list removes them."""
        async def change():
            self.rules[name] = rules
            self.notify_writers()
        self.run_on_loop(change())

    def reset(self, chosen):
        """Resets the connections for which chosen(link) is true."""
        async def run():
            for link in [link for link in self.links if chosen(link)]:
                self.counts["connections reset"] += 1
                link.reset()
        self.run_on_loop(run())

    def silence(self, chosen):
        """Stops all data for good on connections for which chosen(link) is true."""
        async def run():
            for link in [link for link in self.links if chosen(link)]:
                self.counts["connections silenced"] += 1
                link.silenced = True
        self.run_on_loop(run())

    def stop(self):
        async def run():
            for server in self.servers:
                server.close()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.run_on_loop(run())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    # ---- Connections ----

    def notify_writers(self):
        self.rules_changed.set()
        self.rules_changed = asyncio.Event()

    def matching_rules(self, link):
        return [rule for rules in self.rules.values() for rule in rules if rule.matches(link)]

    async def serve(self, reader, writer, target):
        link = Link(writer.get_extra_info("peername")[0], target)
        link.writers.append(writer)
        if any(rule.refuse for rule in self.matching_rules(link)):
            link.reset()
            return
        self.links.add(link)
        try:
            # Connect from the host of the client, so that the server sees its address.
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *target, local_addr=(link.source, 0))
            link.writers.append(upstream_writer)
            async with asyncio.TaskGroup() as group:
                self.pump(group, link, reader, upstream_writer, "hold_outgoing")
                self.pump(group, link, upstream_reader, writer, "hold_returning")
            for side in link.writers:
                side.close()
        except* OSError:
            link.reset()  # one side failed: reset the other one too
        except* asyncio.CancelledError:
            pass  # Link.reset or Proxy.stop cancelled the task
        finally:
            self.links.discard(link)

    def pump(self, group, link, reader, writer, direction):
        """Copies one direction. Reading does not wait for delayed writes, so that the
        delays of successive chunks do not add up.
        """
        queue = asyncio.Queue(MAX_QUEUED_CHUNKS)

        async def read():
            data = b"-"
            while data:
                data = await reader.read(CHUNK_BYTES)
                delay = max([rule.delay for rule in self.matching_rules(link)], default=0)
                await queue.put((self.loop.time() + delay, data))

        async def write():
            data = b"-"
            while data:
                due, data = await queue.get()
                await asyncio.sleep(max(0, due - self.loop.time()))
                while link.silenced or any(getattr(rule, direction) for rule in self.matching_rules(link)):
                    await self.rules_changed.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()

        group.create_task(read())
        group.create_task(write())
