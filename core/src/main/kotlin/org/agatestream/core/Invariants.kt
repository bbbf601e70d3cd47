package org.agatestream.core

/** Thrown when an invariant is violated and [Invariants.strict] is set. */
public class InvariantViolation(
    public val invariant: String,
    message: String,
) : RuntimeException("$invariant: $message")

/** The reaction to violated invariants: tests fail, production logs and counts them. */
public object Invariants {
    /** True to throw an [InvariantViolation], false to call [onViolation] and continue. */
    @Volatile
    public var strict: Boolean = true

    /** Called with the invariant's name and a message if [strict] is false. */
    @Volatile
    public var onViolation: (String, String) -> Unit = { _, _ -> }

    /** Reports that the invariant [name] is violated. */
    public fun report(
        name: String,
        message: String,
    ) {
        if (strict) throw InvariantViolation(name, message)
        onViolation(name, message)
    }
}

/** Checks that the invariant [name] holds; [message] is built only if it does not. */
public inline fun invariant(
    name: String,
    condition: Boolean,
    message: () -> String,
) {
    if (!condition) Invariants.report(name, message())
}
