"""Callers that pipeline requests on connections that they keep open.

A caller uses a connection until the node closes it. A graceful shutdown must not
interrupt a request, so it is a breach when a node that shuts down closes a
connection without the answer to a request that was executed.
"""
import asyncio

REQUESTS_PER_BATCH = 3  # written without waiting for answers
PAUSE_SECONDS = 0.05
ANSWER_TIMEOUT_SECONDS = 10  # longer than any deadline


class PipelinedCaller:
    def __init__(self, name, address, path, is_leaving):
        self.name = name
        self.address = address
        self.path = path
        self.is_leaving = is_leaving  # function: is the node shutting down?
        self.sent = 0
        self.answered = 0
        self.pending = []  # ids of unanswered requests on the current connection
        self.unanswered = set()  # ids of requests cut off by a node that shut down
        self.problems = []

    async def run(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            try:
                await self.send_requests(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                self.on_connection_end(error)
            finally:
                writer.close()

    async def send_requests(self, reader, writer):
        self.pending = []
        while True:
            for _ in range(REQUESTS_PER_BATCH):
                self.sent += 1
                request_id = "%s-%d" % (self.name, self.sent)
                self.pending.append(request_id)
                writer.write(("GET %s HTTP/1.1\r\nHost: soak\r\nX-Request-Id: %s\r\n"
                              "Wigeonfold-Deadline-Ms: 2000\r\n\r\n" % (self.path, request_id)).encode())
            await writer.drain()
            while self.pending:
                close = await asyncio.wait_for(self.read_answer(reader), ANSWER_TIMEOUT_SECONDS)
                self.pending.pop(0)
                self.answered += 1
                if close:
                    self.on_connection_end(None)
                    return
            await asyncio.sleep(PAUSE_SECONDS)

    async def read_answer(self, reader):
        """Reads one answer; returns whether the node closes the connection after it."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        request_id = fields.get("x-request-id")
        if request_id is not None and request_id != self.pending[0]:
            self.problems.append("P4 request %s got the answer to request %s" % (self.pending[0], request_id))
        await reader.readexactly(int(fields.get("content-length", 0)))
        return fields.get("connection") == "close"

    def on_connection_end(self, error):
        if not self.is_leaving():
            return
        self.unanswered.update(self.pending)
        if isinstance(error, asyncio.IncompleteReadError) and error.partial:
            self.problems.append("P8 %s: the connection closed within the answer" % self.pending[0])
        if isinstance(error, asyncio.TimeoutError):
            self.problems.append("P8 %s: no answer within %d s" % (self.pending[0], ANSWER_TIMEOUT_SECONDS))
