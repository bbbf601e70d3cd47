package org.agatestream.core

import kotlin.time.Duration

/** An error with its kind and a message for the caller; the message contains no keys and no request bodies. */
public data class Failure(
    public val kind: ErrorKind,
    public val message: String,
    /** How long the caller should wait before a retry, or null if not known. */
    public val retryAfter: Duration? = null,
)

/** The result of an operation whose failures its caller handles. */
public sealed interface Outcome<out T> {
    /** The operation succeeded with [value]. */
    public data class Ok<out T>(
        public val value: T,
    ) : Outcome<T>

    /** The operation failed with [failure]. */
    public data class Failed(
        public val failure: Failure,
    ) : Outcome<Nothing>
}

/** Wraps a value as a success. */
public fun <T> T.toOk(): Outcome<T> = Outcome.Ok(this)

/** Returns a failed outcome of this kind with [message]. */
public fun ErrorKind.toFailed(
    message: String,
    retryAfter: Duration? = null,
): Outcome.Failed = Outcome.Failed(Failure(this, message, retryAfter))

/** Applies [transform] to the value of a success. */
public inline fun <T, R> Outcome<T>.map(transform: (T) -> R): Outcome<R> =
    when (this) {
        is Outcome.Ok -> Outcome.Ok(transform(value))
        is Outcome.Failed -> this
    }

/** Returns the value of a success, or the result of [onFailure], which may also return from the caller. */
public inline fun <T> Outcome<T>.getOrElse(onFailure: (Failure) -> T): T =
    when (this) {
        is Outcome.Ok -> value
        is Outcome.Failed -> onFailure(failure)
    }
