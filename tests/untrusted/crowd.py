"""A small crowd of clients that send without regard to limits, all on one thread."""

import itertools
import selectors
import socket
import time

BLOCK_BYTES = 65_536
STALL_SECONDS = 3.0  # a client whose connection takes no bytes for this long stops sending


class Client:
    """Sends `opening`, then `filler` again and again up to `total` bytes, and keeps its connection open."""

    def __init__(self, address, opening, filler=b"", total=0):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=5)
        self.socket.setblocking(False)
        self.filler = filler * max(1, BLOCK_BYTES // len(filler)) if filler else b""
        self.pending = memoryview(opening)
        self.left = max(total - len(opening), 0) if filler else 0
        self.last_progress = time.monotonic()
        self.closed = False

    def send(self):
        """Sends what the connection takes; returns True when the client has nothing more to send."""
        try:
            while True:
                if not self.pending:
                    if self.left <= 0:
                        return True
                    self.pending = memoryview(self.filler)[: self.left]
                    self.left -= len(self.pending)
                self.pending = self.pending[self.socket.send(self.pending):]
                self.last_progress = time.monotonic()
        except BlockingIOError:
            return time.monotonic() - self.last_progress > STALL_SECONDS
        except OSError:
            self.closed = True  # refused by the server
            return True


class Crowd:
    """Clients of one kind. Reads nothing of what the server sends."""

    def __init__(self, address, count, opening, filler=b"", total=0):
        self.clients = []
        for _ in range(count):
            try:
                self.clients.append(Client(address, opening, filler, total))
            except OSError:
                pass  # the server accepts no more

    def run(self, seconds):
        """Sends until all clients have finished, are refused or are stalled."""
        sending = list(self.clients)
        deadline = time.monotonic() + seconds
        while sending and time.monotonic() < deadline:
            with selectors.DefaultSelector() as selector:
                for client in sending:
                    selector.register(client.socket, selectors.EVENT_WRITE)
                selector.select(0.1)
            sending = [client for client in sending if not client.send()]

    def trickle(self, data, pause):
        """Sends `data` one byte at a time on all connections, with a pause after each."""
        for byte in data:
            for client in itertools.filterfalse(lambda item: item.closed, self.clients):
                client.pending = memoryview(bytes([byte]))
                client.send()
            time.sleep(pause)

    def close(self):
        for client in self.clients:
            client.socket.close()
