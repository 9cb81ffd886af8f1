"""One HTTP/1.1 connection of a simulated client, on which every complete request has exactly one outcome.

A request is complete once its last byte was handed to the kernel. The outcome is a complete response, a refusal
(the server had already announced that it closes this connection), a cut (the connection ended without a complete response) or a timeout.
"""

import asyncio
import enum
import json
import time
from dataclasses import dataclass, field

READ_LIMIT_BYTES = 4 * 1024 * 1024


class Outcome(enum.Enum):
    ANSWERED = "answered"
    REFUSED = "refused"  # never sent completely, or sent after the server announced the close
    CUT = "cut"  # sent completely, but the connection ended without a complete response
    TIMED_OUT = "timed_out"


@dataclass
class Response:
    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body or b"null")

    @property
    def announces_close(self):
        return self.headers.get("connection", "").lower() == "close"


@dataclass
class Exchange:
    """The outcome of one request. Times are in seconds of the monotonic clock."""

    outcome: Outcome
    response: Response = None
    completed_at: float = 0.0  # when the last byte was sent
    ended_at: float = 0.0
    responses_before: int = 0  # responses received earlier on this connection
    partial_bytes: int = 0  # bytes received of the response that was cut
    detail: str = ""
    local_port: int = 0

    @property
    def status(self):
        return self.response.status if self.response else 0


@dataclass
class Request:
    method: str
    target: str
    host: str
    body: bytes = b""
    headers: dict = field(default_factory=dict)

    def encoded(self):
        head_lines = [f"{self.method} {self.target} HTTP/1.1", f"Host: {self.host}", "Content-Type: application/json"]
        head_lines += [f"{name}: {value}" for name, value in self.headers.items()]
        head_lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(head_lines) + "\r\n\r\n").encode() + self.body


class ConnectionEnded(Exception):
    """Raised when the server closes or resets the connection."""


class Connection:
    """A client connection, made by `open`. Nothing more may be sent once `close_announced` is set by a `Connection: close` response."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.responses = 0
        self.close_announced = False
        self.ended = False
        self.partial_bytes = 0
        self.local_port = writer.get_extra_info("sockname")[1]

    @staticmethod
    async def open(address, source_ip, timeout):
        """Opens a connection. Raises OSError or asyncio.TimeoutError if it cannot be made within `timeout` seconds."""
        host, port = address
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port, local_addr=(source_ip, 0), limit=READ_LIMIT_BYTES), timeout
        )
        return Connection(reader, writer)

    def close(self):
        self.ended = True
        self.writer.close()

    def abort(self):
        self.ended = True
        self.writer.transport.abort()

    async def exchange(self, request, timeout, pause_before_last_bytes=0.0):
        return (await self.exchange_all([request], timeout, pause_before_last_bytes))[0]

    async def exchange_all(self, requests, timeout, pause_before_last_bytes=0.0):
        """Sends all requests at once (pipelined) and returns one Exchange for each, in order."""
        data = b"".join(request.encoded() for request in requests)
        responses_before = self.responses
        try:
            completed_at = await self._send(data, pause_before_last_bytes)
        except (OSError, ConnectionEnded) as error:
            self.abort()
            return [self._result(Outcome.REFUSED, responses_before, detail=f"not sent: {error}") for _ in requests]
        results = []
        for _ in requests:
            results.append(await self._receive(responses_before, completed_at, timeout))
        return results

    async def _send(self, data, pause):
        if pause > 0:
            held_back = max(1, min(len(data) // 3, 64))
            self.writer.write(data[:-held_back])
            await self.writer.drain()
            await asyncio.sleep(pause)
            if self.reader.at_eof() or self.writer.transport.is_closing():
                raise ConnectionEnded("the server ended the connection before the last bytes")
            data = data[-held_back:]
        if self.writer.transport.is_closing() or self.reader.at_eof():
            raise ConnectionEnded("the server ended the connection before the request")
        self.writer.write(data)
        await self.writer.drain()
        return time.monotonic()

    async def _receive(self, responses_before, completed_at, timeout):
        if self.close_announced:
            return self._result(Outcome.REFUSED, responses_before, completed_at, detail="behind an announced close")
        if self.ended:
            return self._result(Outcome.CUT, responses_before, completed_at, detail="the connection had ended")
        self.partial_bytes = 0
        left = completed_at + timeout - time.monotonic()
        try:
            response = await asyncio.wait_for(self._read_response(), max(0.01, left))
        except asyncio.TimeoutError:
            self.abort()
            return self._result(Outcome.TIMED_OUT, responses_before, completed_at)
        except (OSError, ConnectionEnded, asyncio.IncompleteReadError) as error:
            self.abort()
            return self._result(Outcome.CUT, responses_before, completed_at, detail=f"{type(error).__name__}: {error}")
        self.responses += 1
        if response.announces_close:
            self.close_announced = True
        return self._result(Outcome.ANSWERED, responses_before, completed_at, response)

    async def _read_response(self):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = await self.reader.readline()
            if not line:
                raise ConnectionEnded("end of stream")
            head += line
            self.partial_bytes += len(line)
        head_lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in head_lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return Response(int(head_lines[0].split(" ")[1]), headers, body)

    def _result(self, outcome, responses_before, completed_at=0.0, response=None, detail=""):
        return Exchange(
            outcome,
            response,
            completed_at,
            time.monotonic(),
            responses_before,
            self.partial_bytes if outcome is Outcome.CUT else 0,
            detail,
            self.local_port,
        )
