package org.agatestream.cli

/** The exit status of the program. */
internal enum class ExitStatus(
    val code: Int,
) {
    /** The command succeeded. */
    DONE(0),

    /** The command was refused or failed. */
    FAILED(1),

    /** The arguments or the settings are invalid; nothing was started. */
    BAD_USE(2),
}
