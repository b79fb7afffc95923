"""Callers that keep their connections to nodes open and pipeline requests.

They use a connection until the node closes it. A request that was run and
whose answer was lost with a connection that a leaving node closed is a breach:
a graceful shutdown cuts no request.
"""
import asyncio

BATCH = 3          # requests written at once
PAUSE_SECONDS = 0.05
WAIT_SECONDS = 10  # longer than any deadline


class PipelinedCaller:
    def __init__(self, name, address, path, is_leaving):
        self.name = name
        self.address = address
        self.path = path
        self.is_leaving = is_leaving  # whether the node was asked to end
        self.sent = 0
        self.answered = 0
        self.open = []       # ids of requests without an answer on this connection
        self.unanswered = set()  # of connections that a leaving node closed
        self.problems = []

    async def run(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            try:
                await self.use(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                self.on_end(error)
            finally:
                writer.close()

    async def use(self, reader, writer):
        self.open = []
        while True:
            for _ in range(BATCH):
                self.sent += 1
                request = "%s-%d" % (self.name, self.sent)
                self.open.append(request)
                writer.write(("GET %s HTTP/1.1\r\nHost: soak\r\nX-Request-Id: %s\r\n"
                              "Wigeonfold-Deadline-Ms: 2000\r\n\r\n" % (self.path, request)).encode())
            await writer.drain()
            while self.open:
                close = await asyncio.wait_for(self.read_answer(reader), WAIT_SECONDS)
                self.open.pop(0)
                self.answered += 1
                if close:
                    self.on_end(None)
                    return
            await asyncio.sleep(PAUSE_SECONDS)

    async def read_answer(self, reader):
        """Whether the node closes the connection behind this answer."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        request = fields.get("x-request-id")
        if request is not None and request != self.open[0]:
            self.problems.append("P4 %s was answered with %s" % (self.open[0], request))
        await reader.readexactly(int(fields.get("content-length", 0)))
        return fields.get("connection") == "close"

    def on_end(self, error):
        if not self.is_leaving():
            return
        self.unanswered.update(self.open)
        if isinstance(error, asyncio.IncompleteReadError) and error.partial:
            self.problems.append("P8 %s: an answer was cut short" % self.open[0])
        if isinstance(error, asyncio.TimeoutError):
            self.problems.append("P8 %s: no answer within %d s" % (self.open[0], WAIT_SECONDS))
