"""A TCP proxy on loopback that harms the links between processes.

It stands in front of the addresses that processes give to each other. A link
is named by the host of the side that connects and the address that it wants,
so that the two directions and single processes can be harmed apart. The
processes themselves know nothing of it.
"""
import asyncio
import collections
import socket
import struct
import threading

CHUNK_BYTES = 65536
HELD_CHUNKS = 64  # of one direction while it is held back; then its sender waits


class Link:
    """State of one connection; each direction is held back or delayed by itself."""

    def __init__(self, source, target):
        self.source = source
        self.target = target
        self.frozen = False  # silent for good, while new connections work
        self.writers = []
        self.task = asyncio.current_task()

    def reset(self):
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                # With a linger time of 0 the connection ends by a reset.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        # Held bytes of a connection that is gone must not wait for the link.
        self.task.cancel()


class Rule:
    """Harm to the links that match; None matches every host or address."""

    def __init__(self, source=None, target=None, delay=0.0, hold_out=False, hold_back=False,
                 refuse=False):
        self.source = source
        self.target = target
        self.delay = delay          # seconds, in both directions
        self.hold_out = hold_out    # from the side that connected
        self.hold_back = hold_back  # towards it
        self.refuse = refuse        # new connections are reset

    def matches(self, link):
        host = link.target[0]
        return (self.source is None or link.source.startswith(self.source)) and \
            (self.target is None or self.target in (link.target, host) or
             (isinstance(self.target, str) and host.startswith(self.target)))


class Proxy:
    """Runs on a thread of its own; the public methods are thread safe."""

    def __init__(self):
        self.rules = {}
        self.links = set()
        self.servers = []
        self.tasks = set()
        self.counts = collections.Counter()
        self.changed = asyncio.Event()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    # ---- Control ----

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def listen(self, address, target):
        async def start():
            self.servers.append(await asyncio.start_server(
                lambda reader, writer: self.start(self.serve(reader, writer, target)), *address))
        self.call(start())

    def start(self, coroutine):
        """A task that ends with the proxy; for calls on its thread."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def set_rules(self, name, rules):
        """Replaces the rules of that name; an empty list heals them."""
        async def change():
            self.rules[name] = rules
            self.wake()
        self.call(change())

    def reset(self, chosen):
        """Resets the connections for which chosen(link) holds."""
        async def run():
            for link in [link for link in self.links if chosen(link)]:
                self.counts["connections reset"] += 1
                link.reset()
        self.call(run())

    def freeze(self, chosen):
        """The connections that exist now fall silent for good."""
        async def run():
            for link in [link for link in self.links if chosen(link)]:
                self.counts["connections silenced"] += 1
                link.frozen = True
        self.call(run())

    def stop(self):
        async def run():
            for server in self.servers:
                server.close()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        self.call(run())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    # ---- Connections ----

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def matching(self, link):
        return [rule for rules in self.rules.values() for rule in rules if rule.matches(link)]

    async def serve(self, reader, writer, target):
        link = Link(writer.get_extra_info("peername")[0], target)
        link.writers.append(writer)
        if any(rule.refuse for rule in self.matching(link)):
            link.reset()
            return
        self.links.add(link)
        try:
            # The proxy connects from the same host, so that a listener sees it.
            far_reader, far_writer = await asyncio.open_connection(
                *target, local_addr=(link.source, 0))
            link.writers.append(far_writer)
            async with asyncio.TaskGroup() as group:
                self.pump(group, link, reader, far_writer, "hold_out")
                self.pump(group, link, far_reader, writer, "hold_back")
            for one in link.writers:
                one.close()
        except* OSError:
            link.reset()  # one side is gone, so the other one is told
        except* asyncio.CancelledError:
            pass  # reset from outside
        finally:
            self.links.discard(link)

    def pump(self, group, link, reader, writer, direction):
        """Reads at once and writes late, so that delays do not add up."""
        queue = asyncio.Queue(HELD_CHUNKS)

        async def read():
            data = b"-"
            while data:
                data = await reader.read(CHUNK_BYTES)
                delay = max([rule.delay for rule in self.matching(link)], default=0)
                await queue.put((self.loop.time() + delay, data))

        async def write():
            data = b"-"
            while data:
                due, data = await queue.get()
                await asyncio.sleep(max(0, due - self.loop.time()))
                while link.frozen or any(getattr(rule, direction) for rule in self.matching(link)):
                    await self.changed.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()

        group.create_task(read())
        group.create_task(write())
