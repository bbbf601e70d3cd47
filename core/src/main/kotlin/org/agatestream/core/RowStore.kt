package org.agatestream.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlin.time.Duration

/** The name of a row: table, partition and key. */
@Serializable
public data class RowName(
    val table: String,
    /** The partition; rows of one partition can be written in one transaction. May be empty. */
    @SerialName("part")
    val partition: String,
    val key: String,
)

/** A row as stored; a removed row has no value. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class StoredRow(
    public val name: RowName,
    /** Increases with every transaction of the store. */
    public val version: Long,
    /** The content, or null if the row was removed. */
    @ByteString
    public val value: ByteArray?,
)

/** Writes [value] to the row [name], or removes the row if [value] is null. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class RowChange(
    public val name: RowName,
    @ByteString
    public val value: ByteArray?,
)

/** A consistent snapshot of rows. */
@Serializable
public class RowPage(
    public val rows: List<StoredRow>,
    /** The newest version of the store in this snapshot. */
    public val version: Long,
    public val hasMore: Boolean,
    /** When the store made this snapshot; null if it did not say. */
    public val readAt: StoreTime? = null,
)

/** The result of a transaction. */
@Serializable
public sealed interface WriteResult {
    /** All changes took effect. */
    @Serializable
    @SerialName("written")
    public data object Written : WriteResult

    /** A condition failed and nothing was changed; [current] contains the existing rows of the conditions. */
    @Serializable
    @SerialName("conflict")
    public class Conflict(
        public val current: List<StoredRow>,
    ) : WriteResult

    /** The store refused the transaction; nothing was changed and nothing will be. */
    @Serializable
    @SerialName("not-done")
    public data class NotDone(
        public val reason: String,
    ) : WriteResult

    /** No response was received; the changes may have taken effect or may still do so. */
    @Serializable
    @SerialName("unknown")
    public data class Unknown(
        public val reason: String,
    ) : WriteResult
}

/** The result of a read. */
public sealed interface StoreRead<out T> {
    /** The content that was read. */
    public data class Found<out T>(
        public val value: T,
    ) : StoreRead<T>

    /** The object does not exist, or the requested changes are no longer retained. */
    public data object Gone : StoreRead<Nothing>

    /** The store did not respond, or refused the read. */
    public data class Unavailable(
        public val reason: String,
    ) : StoreRead<Nothing>
}

/** The platform's store of rows and objects. Calls never throw; each completes within its timeout. */
public interface RowStore {
    /** Reads the rows of a partition whose keys are at least [from] and less than [to], in key order. */
    public suspend fun rows(
        table: String,
        partition: String,
        from: String? = null,
        to: String? = null,
        limit: Int? = null,
    ): StoreRead<RowPage>

    /** Lists the partitions of [table] that have rows. */
    public suspend fun partitions(table: String): StoreRead<List<String>>

    /** Waits up to [wait] for changes of [table] after version [after]; [StoreRead.Gone] if no longer retained. */
    public suspend fun changes(
        table: String,
        after: Long,
        wait: Duration,
    ): StoreRead<RowPage>

    /** Applies all [changes] if each row of [expected] has the given version; 0 means that it does not exist. */
    public suspend fun write(
        expected: Map<RowName, Long>,
        changes: List<RowChange>,
    ): WriteResult

    /** Stores an object unless one with that name exists; the result is the same in both cases. */
    public suspend fun putObject(
        name: String,
        bytes: ByteArray,
    ): WriteResult

    /** Reads an object; [StoreRead.Gone] if it does not exist. */
    public suspend fun getObject(name: String): StoreRead<ByteArray>

    /** Deletes an object. */
    public suspend fun deleteObject(name: String): WriteResult
}
