package org.agatestream.server

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.RowName
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId

/** A VM as it lists itself in the store. */
@Serializable
internal data class VmRecord(
    val id: VmId,
    val caller: String,
    val peer: String,
    val domain: FailureDomainId,
    /** True if the coordinator has not heard it of late; the VM lists itself anew when it sees that. */
    val isSilent: Boolean = false,
)

/** The VM that the store names as coordinator. */
@Serializable
internal data class CoordinatorRecord(
    val vm: VmId,
    val name: String,
    val peer: String,
)

/** A job as the store keeps it; its bodies are an object. */
@Serializable
internal data class JobRow(
    val id: JobId,
    val workspace: WorkspaceId?,
    val host: String,
    val route: String,
    /** When the job was first received, in milliseconds of the Unix clock. */
    val receivedAtMillis: Long,
    val home: VmId,
    val items: List<JobRowItem>,
)

@Serializable
internal data class JobRowItem(
    val id: ItemId,
    val path: String,
    val tokens: Long,
)

/** A result as the store keeps it. */
@Serializable
internal data class ResultRow(
    val item: ItemId,
    /** The data of all events; null if the item was given up or the output is an object. */
    val output: String? = null,
    /** The name of the object that holds a large output. */
    val outputObject: String? = null,
)

/** Names and encodings of the system's own rows and objects. */
internal object FleetTables {
    const val FLEET = "fleet"
    const val JOBS = "jobs"
    const val RESULTS = "results"
    const val DONE = "done"
    const val VM_PREFIX = "vm/"
    private const val END_SUFFIX = "/end"
    private const val COORDINATOR_KEY = "coordinator"
    private const val POSITION_DIGITS = 5

    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes a row of the system's own. */
    fun <T> encode(
        strategy: SerializationStrategy<T>,
        row: T,
    ): ByteArray = json.encodeToString(strategy, row).encodeToByteArray()

    /** Decodes a row of the system's own; null, with a line in the log, if another writer left something else. */
    fun <T> decode(
        strategy: DeserializationStrategy<T>,
        value: ByteArray,
    ): T? =
        try {
            json.decodeFromString(strategy, value.decodeToString())
        } catch (e: SerializationException) {
            EventLog.warn("fleet_row_unreadable", "shape" to strategy.descriptor.serialName, "reason" to e.message)
            null
        }

    fun vm(name: String): RowName = RowName(FLEET, "", VM_PREFIX + name)

    val coordinator: RowName = RowName(FLEET, "", COORDINATOR_KEY)

    /** All rows of a workspace's jobs share a part, so that one transaction covers them. */
    fun part(workspace: WorkspaceId?): String = workspace?.value.orEmpty()

    fun job(
        part: String,
        job: JobId,
    ): RowName = RowName(JOBS, part, job.value)

    fun end(
        part: String,
        job: JobId,
    ): RowName = RowName(JOBS, part, job.value + END_SUFFIX)

    /** Returns the job whose end the row [key] notes, or null if the row is a job. */
    fun endedJob(key: String): JobId? = if (key.endsWith(END_SUFFIX)) JobId(key.removeSuffix(END_SUFFIX)) else null

    fun done(
        part: String,
        ref: ItemRef,
    ): RowName = RowName(DONE, part, "${ref.job}/${ref.item}")

    /** Parses the key of a row that [done] named. */
    fun doneItem(key: String): ItemRef = ItemRef(JobId(key.substringBefore('/')), ItemId(key.substringAfter('/')))

    fun result(
        part: String,
        job: JobId,
        position: Int,
    ): RowName = RowName(RESULTS, part, "$job/${position.toString().padStart(POSITION_DIGITS, '0')}")

    /** The key after all rows of [job] in the tables of results and of done items. */
    fun keyAfter(job: JobId): String = "$job/~"

    fun bodies(
        part: String,
        job: JobId,
    ): String = "job-$part-$job"

    fun output(
        part: String,
        ref: ItemRef,
    ): String = "out-$part-${ref.job}-${ref.item}"
}
