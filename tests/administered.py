"""In-memory daemons with the administration API, for tests."""

import json
from urllib import parse

from mimosastile_core import access
from mimosastile_core import config
from mimosastile_entry import _access
from mimosastile_entry import _audit
from mimosastile_entry import _operations
from mimosastile_standins import world

ALL = (config.ALL,)
KEYED = config.Service(
    key=config.KeySource(config.KeyPlace.PATH), slices=4, checks_orders=True
)


def _operator(token, roles, services, members=()):
    return config.Operator((access.digest(token),), roles, services, members)


def document():
    """Returns a document of operators with different roles and scopes."""
    role = config.Role
    return config.Document(
        services={"desk": KEYED, "archive": config.Service()},
        members={"m": config.Member(), "n": config.Member()},
        operators={
            "admin": _operator("admin", (role.APPROVE,), ALL, ALL),
            "team": _operator("team", (role.APPROVE,), ("desk",), ("m",)),
            "shift": _operator("shift", (role.OPERATE,), ("desk",)),
            "junior": _operator("junior", (role.PROPOSE,), ("desk",)),
            "guest": _operator("guest", (role.READ,), ("desk",)),
            "nobody": _operator("none", (), ("desk",)),
        },
    )


async def _forward(scope, receive, send):
    raise AssertionError("nothing is forwarded here")


class Api:
    """One in-memory daemon and its internal application."""

    def __init__(self, cluster, vm="e0"):
        self.world = cluster
        self.app = _operations.application(cluster.daemons[vm], _forward)

    async def call(self, method, url, token="admin", body=None, raw=False):
        """Calls the application; returns status and body, decoded or raw."""
        path, _, query = url.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": parse.unquote(path),
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": [(b"authorization", f"Bearer {token}".encode())],
            "server": ("127.0.0.1", 8081),
        }
        messages = []
        data = body if isinstance(body, bytes) else json.dumps(body).encode()

        async def receive():
            return {"type": "http.request", "body": data, "more_body": False}

        async def send(message):
            messages.append(message)

        await self.app(scope, receive, send)
        text = b"".join(m.get("body", b"") for m in messages)
        return messages[0]["status"], text if raw else json.loads(text)

    async def apply(self, patch, token="admin", action="apply"):
        """Submits a patch; `action` is "apply" or "propose"."""
        return await self.call("POST", f"/v1/config/{action}", token, patch)


async def start(vms=1):
    """Starts daemons with the document; returns the API of the first."""
    cluster = world.World()
    await cluster.configure(document())
    cluster.add_target("t0", "desk", "kontinent", "zagreb-a")
    for i in range(vms):
        kernel = await cluster.add_daemon(f"e{i}", "kontinent", "zagreb-a")
        for service in (
            _access.AccessService(""),
            _audit.AuditService(f"e{i}", "zagreb-a"),
        ):
            kernel.register(service)
            await service.start(kernel)
    await cluster.settle("desk")
    return Api(cluster)
