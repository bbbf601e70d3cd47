package org.agatestream.cli

import java.io.File
import org.agatestream.cli.main as runProgram

/**
 * Loads the classes listed one per line in the file of the first argument, then runs the program with the rest.
 *
 * The build uses it to add classes that a VM loads only while serving to the class data archive, so that a start does
 * not read them from the jar. Unknown class names are skipped: an outdated list only slows down startup.
 */
internal object ArchiveMain {
    @JvmStatic
    fun main(args: Array<String>) {
        File(args.first()).forEachLine { load(it) }
        runProgram(args.drop(1).toTypedArray())
    }

    private fun load(name: String) {
        try {
            Class.forName(name, false, ArchiveMain::class.java.classLoader)
        } catch (e: ClassNotFoundException) {
            System.err.println("skipping unknown class ${e.message}")
        } catch (e: LinkageError) {
            System.err.println("skipping class $name: ${e.message}")
        }
    }
}
