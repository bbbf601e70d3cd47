package org.agatestream.core

import java.time.Instant

/** The keys of batch rows in the table service and the names of batch objects in the object store. */
public object BatchNames {
    /** The prefix of the rows of workspaces with open jobs. */
    public const val ACTIVE_PREFIX: String = "batch/active/"

    private const val INDEX_DIGITS = 7
    private const val MILLIS_DIGITS = 15

    /** The prefix of the job rows of [workspace]. */
    public fun jobPrefix(workspace: WorkspaceId): String = "batch/job/$workspace/"

    /** The key of the row with the [JobRecord]. */
    public fun jobKey(
        workspace: WorkspaceId,
        job: JobId,
    ): String = jobPrefix(workspace) + job

    /** The key of the row that exists once the job is cancelled. */
    public fun cancelKey(job: JobId): String = "batch/cancel/$job"

    /** The key of the row with the [RecentCancels]. */
    public const val RECENT_CANCELS: String = "batch/cancels"

    /** The key of the row that exists while [workspace] may have open jobs. */
    public fun activeKey(workspace: WorkspaceId): String = ACTIVE_PREFIX + workspace

    /** The key of the row that each accepted job of [workspace] updates and that is never deleted. */
    public fun acceptedKey(workspace: WorkspaceId): String = "batch/accepted/$workspace"

    /** The prefix of the rows of the open jobs of [workspace], which sort by deadline. */
    public fun openPrefix(workspace: WorkspaceId): String = "batch/open/$workspace/"

    /** The key of the row with the [JobSpec], which exists while the job is open. */
    public fun openKey(spec: JobSpec): String =
        openPrefix(spec.workspace) + padded(spec.deadline, MILLIS_DIGITS) + "/" + spec.id

    /** The prefix of the rows of the job's chunks, which sort by index. */
    public fun chunkPrefix(job: JobId): String = "batch/chunk/$job/"

    /** The key of the row with the [ChunkRecord]. */
    public fun chunkKey(
        job: JobId,
        index: Int,
    ): String = chunkPrefix(job) + padded(index, INDEX_DIGITS)

    /** The name of the object with the items of a chunk. */
    public fun inputName(
        job: JobId,
        upload: String,
        index: Int,
    ): String = "batch/$job/$upload/input/${padded(index, INDEX_DIGITS)}"

    /** The name of the object with the results of [part]. */
    public fun resultName(
        spec: JobSpec,
        index: Int,
        part: ResultPart,
    ): String = "batch/${spec.id}/${spec.upload}/results/${padded(index, INDEX_DIGITS)}/${part.epoch}-${part.sequence}"

    private fun padded(
        number: Int,
        length: Int,
    ): String = number.toString().padStart(length, '0')

    private fun padded(
        time: Instant,
        length: Int,
    ): String =
        time
            .toEpochMilli()
            .coerceAtLeast(0)
            .toString()
            .padStart(length, '0')
}
