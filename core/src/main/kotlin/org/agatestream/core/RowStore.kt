package org.agatestream.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlin.time.Duration

/** The name of a row: its table, its part of the table and its key. */
@Serializable
public data class RowName(
    val table: String,
    /** Rows of one part can be written in one transaction; may be empty. */
    val part: String,
    val key: String,
)

/** A row as the store holds it; a removed row has no value. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class StoredRow(
    public val name: RowName,
    /** Grows with every transaction of the store. */
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

/** Rows as of one moment. */
@Serializable
public class RowPage(
    public val rows: List<StoredRow>,
    /** The newest version of the store at that moment. */
    public val version: Long,
    public val hasMore: Boolean,
)

/** The answer of the store to a transaction. */
@Serializable
public sealed interface WriteResult {
    /** All changes took effect. */
    @Serializable
    @SerialName("written")
    public data object Written : WriteResult

    /** A condition did not hold and nothing was changed; [current] holds the rows that exist of the conditions. */
    @Serializable
    @SerialName("conflict")
    public class Conflict(
        public val current: List<StoredRow>,
    ) : WriteResult

    /** The store refused, so nothing was changed and nothing will be. */
    @Serializable
    @SerialName("not-done")
    public data class NotDone(
        public val reason: String,
    ) : WriteResult

    /** No answer came; the changes may have taken effect, or may do so later. */
    @Serializable
    @SerialName("unknown")
    public data class Unknown(
        public val reason: String,
    ) : WriteResult
}

/** The answer of the store to a read. */
public sealed interface StoreRead<out T> {
    public data class Found<out T>(
        public val value: T,
    ) : StoreRead<T>

    /** The object does not exist, or the changes asked for are not kept any more. */
    public data object Gone : StoreRead<Nothing>

    /** The store did not answer, or refused. */
    public data class Unavailable(
        public val reason: String,
    ) : StoreRead<Nothing>
}

/** The platform's store of rows and objects. Calls never throw; each ends within its time limit. */
public interface RowStore {
    /** Reads the rows of a part whose keys are at least [from] and less than [to], in the order of keys. */
    public suspend fun rows(
        table: String,
        part: String,
        from: String? = null,
        to: String? = null,
        limit: Int? = null,
    ): StoreRead<RowPage>

    /** Lists the parts of [table] that have rows. */
    public suspend fun parts(table: String): StoreRead<List<String>>

    /** Waits up to [wait] for changes of [table] after version [after]; [StoreRead.Gone] if they are not kept. */
    public suspend fun changes(
        table: String,
        after: Long,
        wait: Duration,
    ): StoreRead<RowPage>

    /** Applies all [changes] if each row of [expected] has its version, where 0 means that it does not exist. */
    public suspend fun write(
        expected: Map<RowName, Long>,
        changes: List<RowChange>,
    ): WriteResult

    /** Stores an object unless one of that name exists; the result is the same either way. */
    public suspend fun putObject(
        name: String,
        bytes: ByteArray,
    ): WriteResult

    public suspend fun getObject(name: String): StoreRead<ByteArray>

    public suspend fun dropObject(name: String): WriteResult
}
