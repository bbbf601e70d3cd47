package org.agatestream.core

/** The prefix of every caller's key. */
public const val CALLER_KEY_PREFIX: String = "agk_"

/** The prefix of every operator's key. */
public const val OPERATOR_KEY_PREFIX: String = "ago_"

/** An authenticated caller. */
public data class Caller(
    val key: CallerKey,
    val keyHash: KeyHash,
    val workspace: Workspace,
)

/** Returns the bearer token of an `authorization` header, or null if there is none. */
public fun parseBearerKey(authorization: String?): String? {
    val scheme = authorization?.substringBefore(' ') ?: return null
    if (!scheme.equals("bearer", ignoreCase = true)) return null
    return authorization.substringAfter(' ', "").trim().ifEmpty { null }
}

/** Authenticates a caller by the `authorization` header; fails with `UNKNOWN_KEY` or `FORBIDDEN`. */
public fun FleetView.authenticate(
    authorization: String?,
    hasher: KeyHasher,
): Outcome<Caller> {
    val hash = hashKey(authorization, CALLER_KEY_PREFIX, hasher) ?: return UNKNOWN_CALLER_KEY
    val key = callerKeys[hash] ?: return UNKNOWN_CALLER_KEY
    val workspace = workspaces[key.workspace] ?: return ErrorKind.FORBIDDEN.toFailed("the key's workspace is gone")
    return Caller(key, hash, workspace).toOk()
}

/** Authenticates an operator by the `authorization` header; fails with `UNKNOWN_KEY`. */
public fun FleetView.authenticateOperator(
    authorization: String?,
    hasher: KeyHasher,
): Outcome<OperatorKey> {
    val hash = hashKey(authorization, OPERATOR_KEY_PREFIX, hasher) ?: return UNKNOWN_OPERATOR_KEY
    return operatorKeys[hash]?.toOk() ?: UNKNOWN_OPERATOR_KEY
}

/** Returns whether the key and the workspace of [caller] are still valid. */
public fun FleetView.isStillAuthorized(caller: Caller): Boolean =
    callerKeys[caller.keyHash]?.workspace == caller.workspace.id && caller.workspace.id in workspaces

private fun hashKey(
    authorization: String?,
    prefix: String,
    hasher: KeyHasher,
): KeyHash? = parseBearerKey(authorization)?.takeIf { it.startsWith(prefix) }?.let(hasher::hash)

private val UNKNOWN_CALLER_KEY = ErrorKind.UNKNOWN_KEY.toFailed("the key is missing or not in force")
private val UNKNOWN_OPERATOR_KEY = ErrorKind.UNKNOWN_KEY.toFailed("the operator's key is missing or not in force")
