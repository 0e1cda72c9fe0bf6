"""Header names, paths and status codes of the platform's protocol, as used by the emulators and callers of the soak test."""

OBJECTS = "/jujuberelay/objects/"
READY = "/jujuberelay/readyz"
ATTEMPT_ID = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
TOKEN_COUNTS = "X-Token-Counts"
PROMPT_PREFIX = "X-Prompt-Prefix"
MODEL = "X-Model"
LAST_EVENT = "Last-Event-Id"
RESUMES = "Resumes"
EXPECTED_INSTANCE = "X-Expect-Instance"
WORKSPACE = "X-Tenant"
NOT_RUN = "X-Not-Executed"
SEAL = "X-Server-Seal"
INSTANCE = "X-Instance-Id"
LEAVING = "Server-Leaving"
PAUSE = "Retry-After"

HOST = "soak.example"
STREAM_PATH = "/stream/"
ORDER_PATH = "/order/"
LOOKUP_PATH = "/lookup/"
ADDED_PATH = "/added/"

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (402, 408, 421, 429, 503)
