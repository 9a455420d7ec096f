"""Headers, paths and tables of the platform, as PROTOCOL.md of its operators spells them."""

REQUEST_ID = b"X-Cloverwalk-Request-Id"
DEADLINE_MS = b"X-Cloverwalk-Deadline-Ms"
EXPECT_INSTANCE = b"X-Cloverwalk-Expect-Instance"
NOT_EXECUTED = b"X-Cloverwalk-Not-Executed"
SIGNATURE = b"X-Cloverwalk-Response-Signature"
SERVER_LOAD = b"X-Cloverwalk-Server-Load"
TOKEN_USAGE = b"X-Cloverwalk-Token-Usage"
PREFIX_HASH = b"X-Cloverwalk-Prefix-Hash"
WAIT_MS = b"X-Cloverwalk-Wait-Ms"
LAST_EVENT_ID = b"Last-Event-Id"

READY_PATH = "/api/ready"
JOB_PREFIX = "/api/lots/"
ITEM_PREFIX = "/api/items/"
TRANSACTION_PATH = "/api/rows-tx"
READ_PATH = "/api/rows-get"
PARTS_PATH = "/api/rows-parts"
FEED_PATH = "/api/rows-feed"

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
REPLICA_TABLE = "servers"
EMPTY_PART_TABLES = frozenset({OPERATOR_TABLE, REPLICA_TABLE, "role", "quota"})
"""Tables whose rows all have an empty part."""

SETTINGS_VARIABLE = "CLOVERWALK_CONFIG"
SETTINGS_PATH = "/etc/cloverwalk/local.toml"
