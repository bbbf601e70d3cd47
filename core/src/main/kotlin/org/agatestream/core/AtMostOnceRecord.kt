package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.jvm.JvmInline

/** Identifies one attempt to claim an at-most-once call; a retry by the caller creates a new one. */
@Serializable
@JvmInline
public value class ClaimId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** The states of an at-most-once call, as in the chart `once-call`. */
@Serializable
public enum class AtMostOnceState {
    ABSENT,
    CLAIMED,
    RELEASED,
    DONE,
    UNKNOWN,
}

/** The events of an at-most-once call, as in the chart `once-call`. */
public enum class AtMostOnceEvent {
    CLAIM,
    TAKE_OVER,
    RELEASE,
    COMPLETE,
    LOSE,
}

/** A response that is stored to be replayed to retries of its call. */
@Serializable
public data class StoredResponse(
    val status: Int,
    val contentType: String,
    val headers: Map<String, String> = emptyMap(),
    /** The body in Base64, or null if it was too large to store. */
    val body: String? = null,
)

/** The stored row of an at-most-once call. */
@Serializable
public data class AtMostOnceRecord(
    val state: AtMostOnceState,
    val claim: ClaimId,
    /** The VM that claimed the call; only this VM may send it. */
    val vm: VmId,
    /** A digest of the call, to detect reuse of the key for a different one. */
    val digest: String,
    val answer: StoredResponse? = null,
) {
    /** Returns the JSON text of the row. */
    public fun toRowValue(): String = Json.encodeToString(serializer(), this)

    /** Returns the record after [event], or null if the chart has no transition for it. */
    public fun after(
        event: AtMostOnceEvent,
        answer: StoredResponse? = null,
    ): AtMostOnceRecord? = (CHART.next(state, event) as? Step.Moved)?.let { copy(state = it.state, answer = answer) }

    public companion object {
        private val CHART = TypedChart.load<AtMostOnceState, AtMostOnceEvent>("once-call")
        private val json = Json { ignoreUnknownKeys = true }

        /** Parses the value of a row; returns null if it is not a valid record. */
        public fun parse(text: String): AtMostOnceRecord? =
            runCatching { json.decodeFromString(serializer(), text) }.getOrNull()
    }
}

/** One attempt to run an at-most-once call. */
public data class AtMostOnceClaim(
    /** The key of the call's row. */
    val rowKey: String,
    val id: ClaimId,
    val vm: VmId,
    val digest: String,
) {
    /** Returns the record that this claim writes. */
    public fun toRecord(): AtMostOnceRecord = AtMostOnceRecord(AtMostOnceState.CLAIMED, id, vm, digest)
}

/** Returns the key of the row for the call with [idempotencyKey] on [route]; open routes have no workspace. */
public fun atMostOnceRowKey(
    workspace: WorkspaceId?,
    route: RouteId,
    idempotencyKey: String,
): String = "once/${workspace?.value ?: "-"}/${sha256Hex(listOf(route.value, idempotencyKey))}"

/** Returns a digest that distinguishes calls under the same key, in hexadecimal. */
public fun atMostOnceDigest(
    method: String,
    target: String,
    body: ByteArray,
): String = sha256Hex(listOf(method, target), body)

private fun sha256Hex(
    parts: List<String>,
    body: ByteArray = ByteArray(0),
): String {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach {
        digest.update(it.encodeToByteArray())
        digest.update(0)
    }
    return HexFormat.of().formatHex(digest.digest(body))
}
