package org.agatestream.core

/** Whether the request that failed was executed. */
public enum class RunState(
    /** The value of the `run` field and the `x-agatestream-run` header of an error response. */
    public val wireName: String,
) {
    /** The request was not executed and will not be because of this call; a retry may execute it. */
    NOT_RUN("no"),

    /** The request may have been executed; a retry may execute it again. */
    UNKNOWN("unknown"),

    /** The request was executed; the error is the backend server's. */
    RAN("yes"),
}

/** Whether and when a caller should retry a request. */
public enum class RetryAdvice {
    /** A retry gets the same error. */
    NEVER,

    /** A retry through another entry address may succeed immediately. */
    OTHER_ADDRESS,

    /** A retry may succeed after the time in the `retry-after` header. */
    LATER,
}

/** The closed list of error kinds, each with its HTTP status, error code, run state and retry advice. */
public enum class ErrorKind(
    public val status: Int,
    public val code: String,
    public val run: RunState,
    public val retry: RetryAdvice,
) {
    MALFORMED_REQUEST(400, "malformed_request", RunState.NOT_RUN, RetryAdvice.NEVER),
    INVALID_SETTING(400, "invalid_setting", RunState.NOT_RUN, RetryAdvice.NEVER),
    PROMPT_REFUSED(400, "prompt_refused", RunState.NOT_RUN, RetryAdvice.NEVER),
    PROMPT_FAILED(400, "prompt_failed", RunState.UNKNOWN, RetryAdvice.NEVER),
    DUPLICATE_ITEM(400, "duplicate_item", RunState.NOT_RUN, RetryAdvice.NEVER),
    UNKNOWN_KEY(401, "unknown_key", RunState.NOT_RUN, RetryAdvice.NEVER),
    KEY_WITHDRAWN(401, "key_withdrawn", RunState.UNKNOWN, RetryAdvice.NEVER),
    FORBIDDEN(403, "forbidden", RunState.NOT_RUN, RetryAdvice.NEVER),
    UNKNOWN_ROUTE(404, "unknown_route", RunState.NOT_RUN, RetryAdvice.NEVER),
    UNKNOWN_MODEL(404, "unknown_model", RunState.NOT_RUN, RetryAdvice.NEVER),
    UNKNOWN_JOB(404, "unknown_job", RunState.NOT_RUN, RetryAdvice.NEVER),
    METHOD_NOT_ALLOWED(405, "method_not_allowed", RunState.NOT_RUN, RetryAdvice.NEVER),
    REQUEST_TIMEOUT(408, "request_timeout", RunState.NOT_RUN, RetryAdvice.LATER),
    REVISION_CONFLICT(409, "revision_conflict", RunState.NOT_RUN, RetryAdvice.NEVER),
    KEY_REUSED(409, "idempotency_key_reused", RunState.NOT_RUN, RetryAdvice.NEVER),
    IN_PROGRESS(409, "in_progress", RunState.UNKNOWN, RetryAdvice.LATER),
    BODY_TOO_LARGE(413, "body_too_large", RunState.NOT_RUN, RetryAdvice.NEVER),
    RATE_EXCEEDED(429, "rate_exceeded", RunState.NOT_RUN, RetryAdvice.LATER),
    HEAD_TOO_LARGE(431, "head_too_large", RunState.NOT_RUN, RetryAdvice.NEVER),
    OUTCOME_UNKNOWN(502, "outcome_unknown", RunState.UNKNOWN, RetryAdvice.NEVER),
    BACKEND_FAILED(502, "backend_failed", RunState.UNKNOWN, RetryAdvice.LATER),
    NO_CAPACITY(503, "no_capacity", RunState.NOT_RUN, RetryAdvice.LATER),
    LIMIT_UNAVAILABLE(503, "limit_unavailable", RunState.NOT_RUN, RetryAdvice.OTHER_ADDRESS),
    NOT_CURRENT(503, "not_current", RunState.NOT_RUN, RetryAdvice.OTHER_ADDRESS),
    SHUTTING_DOWN(503, "shutting_down", RunState.NOT_RUN, RetryAdvice.OTHER_ADDRESS),
    PLATFORM_UNAVAILABLE(503, "platform_unavailable", RunState.NOT_RUN, RetryAdvice.LATER),
    CHANGE_PENDING(503, "change_pending", RunState.UNKNOWN, RetryAdvice.LATER),
    DEADLINE_EXCEEDED(504, "deadline_exceeded", RunState.UNKNOWN, RetryAdvice.NEVER),
    INTERNAL(500, "internal", RunState.UNKNOWN, RetryAdvice.NEVER),
}
