package org.agatestream.core

/** Thrown where a promise that must always hold is found broken, if [Invariants.strict] is set. */
public class InvariantViolation(
    public val invariant: String,
    message: String,
) : RuntimeException("$invariant: $message")

/** How the program reacts to a broken invariant: tests stop, production logs and counts. */
public object Invariants {
    /** True to throw an [InvariantViolation], false to call [onViolation] and go on. */
    @Volatile
    public var strict: Boolean = true

    /** Called with the invariant's name and a message if [strict] is false. */
    @Volatile
    public var onViolation: (String, String) -> Unit = { _, _ -> }

    /** Reports that the invariant [name] is broken. */
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
