package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** The version of a row in the table service; it increases with each write of the row. */
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

/** A set of writes that take effect atomically if all conditions hold, or not at all. */
@Serializable
public data class Transaction(
    val conditions: List<RowCondition>,
    val writes: List<RowWrite>,
)

/** The response of the table service to a transaction. */
public sealed interface CommitResult {
    /** All writes took effect. */
    public data object Committed : CommitResult

    /** A condition did not hold and nothing was written; [current] lists the rows of the failed conditions. */
    public data class Conflict(
        public val current: List<Row>,
    ) : CommitResult

    /** The service did not accept the transaction; nothing was written. */
    public data object Unavailable : CommitResult

    /** The response was lost; the writes may have taken effect. */
    public data object Unknown : CommitResult
}

/** The response of the platform to a read. */
public sealed interface ReadResult<out T> {
    /** The read succeeded. */
    public data class Found<out T>(
        public val value: T,
    ) : ReadResult<T>

    /** There is no such row or object. */
    public data object Absent : ReadResult<Nothing>

    /** The platform did not respond. */
    public data object Unavailable : ReadResult<Nothing>
}

/** The platform's transactional table service. */
public interface TableService {
    /** Reads the row [key]. */
    public suspend fun read(key: String): ReadResult<Row>

    /** Reads up to [limit] rows whose keys start with [prefix] and come after [after], in key order. */
    public suspend fun scan(
        prefix: String,
        after: String = "",
        limit: Int = 1000,
    ): ReadResult<List<Row>>

    /** Commits [transaction] atomically. */
    public suspend fun commit(transaction: Transaction): CommitResult
}

/** The platform's object store; objects are written as a whole. */
public interface ObjectStore {
    /** Stores an object; returns false if the store did not respond. Idempotent for the same content. */
    public suspend fun put(
        name: String,
        bytes: ByteArray,
    ): Boolean

    /** Reads the object [name]. */
    public suspend fun get(name: String): ReadResult<ByteArray>
}

/** An entry VM in the platform's VM list. */
@Serializable
public data class ListedVm(
    val id: VmId,
    val failureDomain: FailureDomainId,
    /** Host and port for callers. */
    val callerAddress: String,
    /** Host and port for other VMs. */
    val peerAddress: String,
    /** True if the VM is leaving the fleet. */
    val leaving: Boolean = false,
)

/** The platform's list of live and leaving VMs; it may lag, but a VM that it no longer shows is gone for good. */
public interface VmList {
    /** Reads the list. */
    public suspend fun list(): ReadResult<List<ListedVm>>
}
