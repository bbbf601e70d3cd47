package org.agatestream.server

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import org.agatestream.core.FailureDomainId
import org.agatestream.core.ItemId
import org.agatestream.core.ItemRef
import org.agatestream.core.JobId
import org.agatestream.core.JobRef
import org.agatestream.core.JobRules
import org.agatestream.core.RowName
import org.agatestream.core.ServiceId
import org.agatestream.core.StoreTime
import org.agatestream.core.VmId
import org.agatestream.core.WorkspaceId

/** A VM's entry in the store. */
@Serializable
internal data class VmRecord(
    val id: VmId,
    val caller: String,
    val peer: String,
    val domain: FailureDomainId,
    /** True if the coordinator stopped receiving the VM's reports; the VM rewrites its entry when it sees this. */
    val isSilent: Boolean = false,
)

/** The VM that the store names as coordinator. */
@Serializable
internal data class CoordinatorRecord(
    val vm: VmId,
    val name: String,
    val peer: String,
)

/** A job's row in the store; the bodies are stored as an object. */
@Serializable
internal data class JobRow(
    val id: JobId,
    val workspace: WorkspaceId?,
    val host: String,
    val route: String,
    /** When the accepting VM received the job by its time of day, in Unix milliseconds; VMs' clocks differ. */
    val receivedAtMillis: Long,
    /** The VM that accepted the job. */
    @SerialName("home")
    val acceptedBy: VmId,
    val items: List<JobRowItem>,
    /** When the job was accepted; null in rows of builds that recorded only a time of day. */
    val acceptedAt: StoreTime? = null,
    /** The version of the manifest under which the job was accepted; 0 in rows of builds that did not record it. */
    val manifestVersion: Long = 0,
    /** The limits of its route in that manifest; null in rows of builds that did not record them. */
    val rules: JobRules? = null,
    /** The name of the object with the bodies; null in rows of builds that did not record it. */
    val bodies: String? = null,
) {
    val ref: JobRef get() = JobRef(workspace, id)
}

@Serializable
internal data class JobRowItem(
    val id: ItemId,
    val path: String,
    val tokens: Long,
)

/** A result's row in the store. */
@Serializable
internal data class ResultRow(
    val item: ItemId,
    /** The data of all events; null if the item was given up or [outputObject] holds the output. */
    val output: String? = null,
    /** The name of the object that holds a large output. */
    val outputObject: String? = null,
)

/** Names and encodings of the rows and objects that the fleet itself writes. */
internal object FleetTables {
    const val FLEET = "fleet"
    const val JOBS = "jobs"
    const val RESULTS = "results"
    const val DONE = "done"
    const val ROLLOUTS = "rollouts"
    const val VM_PREFIX = "vm/"
    private const val END_SUFFIX = "/end"
    private const val COORDINATOR_KEY = "coordinator"
    private const val POSITION_DIGITS = 5

    /** Follows the slash that ends a job's id in the keys of its rows. */
    private const val AFTER_SEPARATOR = '/' + 1
    private val PLAIN_CHARS = (('a'..'z') + ('A'..'Z') + ('0'..'9') + '-').toSet()

    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes the value of a row. */
    fun <T> encode(
        strategy: SerializationStrategy<T>,
        row: T,
    ): ByteArray = json.encodeToString(strategy, row).encodeToByteArray()

    /** Decodes the value of a row; logs and returns null if it is malformed. */
    fun <T> decode(
        strategy: DeserializationStrategy<T>,
        value: ByteArray,
    ): T? =
        try {
            json.decodeFromString(strategy, value.decodeToString())
        } catch (e: IllegalArgumentException) {
            // Malformed JSON, or a value that its type refuses.
            EventLog.warn("fleet_row_unreadable", "shape" to strategy.descriptor.serialName, "reason" to e.message)
            null
        }

    fun vm(name: String): RowName = RowName(FLEET, "", VM_PREFIX + name)

    val coordinator: RowName = RowName(FLEET, "", COORDINATOR_KEY)

    /** Returns the name of the record of the latest roll-out of [service]. */
    fun rollout(service: ServiceId): RowName = RowName(ROLLOUTS, "", service.value)

    /** Returns the partition of a workspace's rows; all share one, so that a transaction can cover them. */
    fun partitionOf(workspace: WorkspaceId?): String = workspace?.value.orEmpty()

    fun job(job: JobRef): RowName = RowName(JOBS, partitionOf(job.workspace), job.id.value)

    fun end(job: JobRef): RowName = RowName(JOBS, partitionOf(job.workspace), job.id.value + END_SUFFIX)

    /** Returns the job that the row [name] marks as ended, or null if the row is a job. */
    fun endedJob(name: RowName): JobRef? {
        if (!name.key.endsWith(END_SUFFIX)) return null
        val workspace = name.partition.takeIf { it.isNotEmpty() }?.let { WorkspaceId(it) }
        return JobRef(workspace, JobId(name.key.removeSuffix(END_SUFFIX)))
    }

    fun done(ref: ItemRef): RowName = RowName(DONE, partitionOf(ref.job.workspace), "${ref.job.id}/${ref.item}")

    /** Returns the job and the item that the row [key], named by [done], marks as finished in its partition. */
    fun doneItem(key: String): Pair<JobId, ItemId> = JobId(key.substringBefore('/')) to ItemId(key.substringAfter('/'))

    fun result(
        job: JobRef,
        position: Int,
    ): RowName {
        val key = "${job.id}/${position.toString().padStart(POSITION_DIGITS, '0')}"
        return RowName(RESULTS, partitionOf(job.workspace), key)
    }

    /** Returns the exclusive end of the keys of [job] in the tables of results and finished items. */
    fun endKey(job: JobId): String = job.value + AFTER_SEPARATOR

    /** Returns the name of the object with the bodies of [job]. */
    fun bodies(job: JobRef): String = objectName("bodies", partitionOf(job.workspace), job.id.value)

    /** Returns the name that builds gave to the object with the bodies of [job] before they recorded it in its row. */
    fun unrecordedBodies(job: JobRef): String = "job-${partitionOf(job.workspace)}-${job.id}"

    /** Returns the name of the object with the output of the item [ref]. */
    fun output(ref: ItemRef): String =
        objectName("output", partitionOf(ref.job.workspace), ref.job.id.value, ref.item.value)

    /** Joins [parts] to a name that no other parts have and that needs no escapes in the store's calls. */
    private fun objectName(vararg parts: String): String = parts.joinToString(".") { escape(it) }

    /** Replaces all but letters, digits and hyphens by `_` and the two hexadecimal digits of each byte. */
    private fun escape(part: String): String =
        buildString {
            for (byte in part.encodeToByteArray()) {
                val char = byte.toInt().toChar()
                if (char in PLAIN_CHARS) append(char) else append('_').append(byte.toHexString())
            }
        }
}
