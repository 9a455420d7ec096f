"""Names of headers, paths and tables of the platform, as in PROTOCOL.md of its operators."""

REQUEST_ID = b"X-Cloverwalk-Request-Id"
DEADLINE_MS = b"X-Cloverwalk-Deadline-Ms"
EXPECT_INSTANCE = b"X-Cloverwalk-Expect-Instance"
NOT_EXECUTED = b"X-Cloverwalk-Not-Executed"
SIGNATURE = b"X-Cloverwalk-Response-Signature"
SERVER_LOAD = b"X-Cloverwalk-Server-Load"
LENGTH_HINT = b"X-Cloverwalk-Length-Hint"
TOKEN_USAGE = b"X-Cloverwalk-Token-Usage"
PREFIX_HASH = b"X-Cloverwalk-Prefix-Hash"
WAIT_MS = b"X-Cloverwalk-Wait-Ms"
LAST_EVENT_ID = b"Last-Event-Id"
RESUMES = b"Resumes"
TENANT = b"X-Cloverwalk-Tenant"
AUTHORIZATION = b"Authorization"
KEY_SCHEME = "bearer"

READY_PATH = "/api/ready"
JOB_PREFIX = "/api/lots/"
ITEM_PREFIX = "/api/items/"
TRANSACTION_PATH = "/api/rows-tx"
READ_PATH = "/api/rows-get"
PARTS_PATH = "/api/rows-parts"
FEED_PATH = "/api/rows-feed"

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
ZONE_DRAIN_KEY_PREFIX = "evacuate/"
REPLICA_TABLE = "servers"
EMPTY_PART_TABLES = frozenset(
    {OPERATOR_TABLE, REPLICA_TABLE, "role", "quota", "software", "stream"}
)
"""Tables in which the part of every row key is empty."""

SETTINGS_VARIABLE = "CLOVERWALK_CONFIG"
SETTINGS_PATH = "/etc/cloverwalk/local.toml"
