package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The version of a row in the table service; it grows with each write of the row. */
@Serializable
@JvmInline
public value class RowVersion(
    public val value: Long,
) {
    public companion object {
        /** The version of a row that doesn't exist. */
        public val ABSENT: RowVersion = RowVersion(0)
    }
}

/** A row of the table service; [value] is JSON text. */
@Serializable
public data class Row(
    val key: String,
    val value: String,
    val version: RowVersion,
)

/** Requires the row [key] to be at [version] when a transaction commits. */
@Serializable
public data class RowCondition(
    val key: String,
    val version: RowVersion,
)

/** Writes [value] to the row [key], or deletes the row if [value] is null. */
@Serializable
public data class RowWrite(
    val key: String,
    val value: String?,
)

/** A set of writes that take effect together if all conditions hold, or not at all. */
@Serializable
public data class Transaction(
    val conditions: List<RowCondition>,
    val writes: List<RowWrite>,
)

/** The answer of the table service to a transaction. */
public sealed interface CommitResult {
    /** All writes took effect. */
    public data object Committed : CommitResult

    /** A condition did not hold and nothing was written; [current] holds the rows of the conditions that failed. */
    public data class Conflict(
        public val current: List<Row>,
    ) : CommitResult

    /** The service did not take the transaction; nothing was written. */
    public data object Unavailable : CommitResult

    /** The answer was lost; the writes may have taken effect. */
    public data object Unknown : CommitResult
}

/** The answer of the platform to a read. */
public sealed interface ReadResult<out T> {
    /** The read succeeded. */
    public data class Found<out T>(
        public val value: T,
    ) : ReadResult<T>

    /** There is nothing under that name. */
    public data object Absent : ReadResult<Nothing>

    /** The platform did not answer. */
    public data object Unavailable : ReadResult<Nothing>
}

/** The platform's transactional table service. */
public interface TableService {
    public suspend fun read(key: String): ReadResult<Row>

    /** Reads up to [limit] rows whose keys start with [prefix] and come after [after], in key order. */
    public suspend fun scan(
        prefix: String,
        after: String = "",
        limit: Int = 1000,
    ): ReadResult<List<Row>>

    public suspend fun commit(transaction: Transaction): CommitResult
}

/** The platform's object store; objects are written whole. */
public interface ObjectStore {
    /** Returns true once the object is stored, false if the store did not answer. Repeats are harmless. */
    public suspend fun put(
        name: String,
        bytes: ByteArray,
    ): Boolean

    public suspend fun get(name: String): ReadResult<ByteArray>
}

/** An entry VM as the platform's VM list shows it. */
@Serializable
public data class ListedVm(
    val id: VmId,
    val failureDomain: FailureDomainId,
    /** Host and port where callers connect. */
    val callerAddress: String,
    /** Host and port where other VMs connect. */
    val peerAddress: String,
    val leaving: Boolean = false,
)

/** The platform's list of live and leaving VMs; it lags, but a VM it no longer shows is gone for good. */
public interface VmList {
    public suspend fun list(): ReadResult<List<ListedVm>>
}
