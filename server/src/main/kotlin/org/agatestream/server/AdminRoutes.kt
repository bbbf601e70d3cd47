package org.agatestream.server

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.agatestream.core.CALLER_KEY_PREFIX
import org.agatestream.core.CallerKeySetting
import org.agatestream.core.ChangeId
import org.agatestream.core.ConfigLogEntry
import org.agatestream.core.ConfigWrite
import org.agatestream.core.ErrorKind
import org.agatestream.core.KeyHash
import org.agatestream.core.KeyHasher
import org.agatestream.core.OPERATOR_KEY_PREFIX
import org.agatestream.core.OperatorKey
import org.agatestream.core.OperatorKeySetting
import org.agatestream.core.Outcome
import org.agatestream.core.ParsedSettings
import org.agatestream.core.PathChange
import org.agatestream.core.Revision
import org.agatestream.core.SettingPath
import org.agatestream.core.WorkspaceId
import org.agatestream.core.map
import org.agatestream.core.parseFleet
import org.agatestream.core.parseSettings
import org.agatestream.core.toFailed
import org.agatestream.core.toOk
import org.agatestream.http.HttpCall
import org.agatestream.http.readBody
import org.agatestream.http.respondFailure
import java.security.SecureRandom
import java.util.Base64
import java.util.UUID

/** Serves the administration API. Settings are addressed by path, and an operator's key is bound to a subtree. */
public class AdminRoutes(
    private val store: SettingsStore,
    private val hasher: KeyHasher,
    private val authenticate: (HttpCall) -> Outcome<OperatorKey>,
    private val collectBurnRates: suspend () -> BurnRateReport,
) : HttpRoutes {
    private val random = SecureRandom()

    override suspend fun handle(call: HttpCall): Boolean {
        if (!call.path.startsWith(PATH_PREFIX)) return false
        when (val operator = authenticate(call)) {
            is Outcome.Failed -> call.respondFailure(operator.failure)
            is Outcome.Ok -> dispatch(call, operator.value)
        }
        return true
    }

    private suspend fun dispatch(
        call: HttpCall,
        operator: OperatorKey,
    ) {
        val resourcePath = call.path.removePrefix(PATH_PREFIX)
        val resource = resourcePath.substringBefore('/')
        val target = resourcePath.removePrefix(resource)
        when ("${call.method} $resource") {
            "GET settings" -> call.respondOutcome(SETTING_LIST, get(operator, target))
            "PUT settings" -> call.respondOutcome(ChangeResponse.serializer(), put(call, operator, target))
            "DELETE settings" -> call.respondOutcome(ChangeResponse.serializer(), delete(call, operator, target))
            "POST check" -> call.respondOutcome(CheckResponse.serializer(), check(call))
            "POST keys" -> call.respondOutcome(NewKeyResponse.serializer(), newKey(call, operator))
            "GET history" -> call.respondOutcome(LOG_ENTRY_LIST, history(operator, target))
            "GET in-force" -> call.respondOutcome(VM_IN_FORCE_LIST, store.inForce().toOk())
            "GET burn" -> call.respondOutcome(BurnRateReport.serializer(), collectBurnRates().toOk())
            else -> call.respondOutcome(SETTING_LIST, ErrorKind.UNKNOWN_ROUTE.toFailed("no such administration call"))
        }
    }

    private fun get(
        operator: OperatorKey,
        target: String,
    ): Outcome<List<SettingResponse>> {
        if (target.length > 1 && SettingPath.parse(target) == null) return invalidPath(target)
        val subtree = target.ifEmpty { "/" }
        val entries =
            store.settings.entries.filter { (path, entry) ->
                val setting = SettingPath.parse(path)
                entry.value != null && setting != null && setting.isWithin(subtree) &&
                    setting.isWithin(operator.subtree)
            }
        return entries
            .map { (path, entry) ->
                SettingResponse(path, entry.revision, Json.parseToJsonElement(entry.value.orEmpty()))
            }.sortedBy { it.path }
            .toOk()
    }

    private suspend fun put(
        call: HttpCall,
        operator: OperatorKey,
        target: String,
    ): Outcome<ChangeResponse> {
        val path = parsePermittedPath(operator, target).orReturn { return it }
        val text = call.readBody(MAX_SETTING_BYTES).orReturn { return it }.decodeToString()
        val element = parse(JsonElement.serializer(), target, text).orReturn { return it }
        checkGrantedSubtree(operator, path, element).orReturn { return it }
        return change(call, operator, path, element.toString())
    }

    private suspend fun delete(
        call: HttpCall,
        operator: OperatorKey,
        target: String,
    ): Outcome<ChangeResponse> {
        val path = parsePermittedPath(operator, target).orReturn { return it }
        return change(call, operator, path, null)
    }

    private suspend fun change(
        call: HttpCall,
        operator: OperatorKey,
        path: SettingPath,
        value: String?,
    ): Outcome<ChangeResponse> {
        val id = ChangeId(call.header("x-change-id") ?: UUID.randomUUID().toString())
        if (!CHANGE_ID.matches(id.value)) return ErrorKind.MALFORMED_REQUEST.toFailed("x-change-id is no valid id")
        val text = call.header("x-expected-revision")
        val expected = text?.toLongOrNull()
        if (text != null && expected == null) {
            return ErrorKind.MALFORMED_REQUEST.toFailed("x-expected-revision is no whole number")
        }
        val expectedRevisions = if (expected == null) emptyMap() else mapOf(path.text to Revision(expected))
        val write = ConfigWrite(id, operator.id, listOf(PathChange(path.text, value)), expectedRevisions)
        val outcome = store.put(write)
        logChange(write, outcome)
        return outcome.map { ChangeResponse(id.value, it) }
    }

    private suspend fun check(call: HttpCall): Outcome<CheckResponse> {
        val text = call.readBody(MAX_CHECK_BYTES).orReturn { return it }.decodeToString()
        val serializer = MapSerializer(String.serializer(), JsonElement.serializer())
        val changes = parse(serializer, "body", text).orReturn { return it }
        val merged = store.settings.values + changes.mapValues { it.value.toString() }
        val faults =
            when (val parsed = parseFleet(merged, Revision.NONE)) {
                is ParsedSettings.Valid -> emptyList()
                is ParsedSettings.Invalid -> parsed.faults
            }
        return CheckResponse(faults).toOk()
    }

    private suspend fun newKey(
        call: HttpCall,
        operator: OperatorKey,
    ): Outcome<NewKeyResponse> {
        val text = call.readBody(MAX_SETTING_BYTES).orReturn { return it }.decodeToString()
        val request = parse(NewKeyRequest.serializer(), "body", text).orReturn { return it }
        val path = parsePermittedPath(operator, request.path).orReturn { return it }
        val key = (if (request.subtree != null) OPERATOR_KEY_PREFIX else CALLER_KEY_PREFIX) + randomKeyText()
        val setting = request.toSetting(hasher.hash(key)).orReturn { return it }
        checkGrantedSubtree(operator, path, setting).orReturn { return it }
        return change(call, operator, path, setting.toString()).map { NewKeyResponse(key, path.text, it.revision) }
    }

    private suspend fun history(
        operator: OperatorKey,
        target: String,
    ): Outcome<List<ConfigLogEntry>> {
        val path = parsePermittedPath(operator, target).orReturn { return it }
        return store.history(HISTORY_LIMIT).map { entries ->
            entries.filter { entry -> entry.changes.any { SettingPath.parse(it.path)?.isWithin(path.text) == true } }
        }
    }

    private fun parsePermittedPath(
        operator: OperatorKey,
        text: String,
    ): Outcome<SettingPath> {
        val path = SettingPath.parse(text) ?: return invalidPath(text)
        if (!path.isWithin(operator.subtree)) {
            return ErrorKind.FORBIDDEN.toFailed("the operator's key is bound to ${operator.subtree}")
        }
        return path.toOk()
    }

    /** Fails with `FORBIDDEN` if [value] is an operator's key for more than the subtree of [operator]. */
    private fun checkGrantedSubtree(
        operator: OperatorKey,
        path: SettingPath,
        value: JsonElement,
    ): Outcome<Unit> {
        if (!path.isWithin(OPERATORS_PATH)) return Unit.toOk()
        val setting = parse(OperatorKeySetting.serializer(), path.text, value.toString()).orReturn { return it }
        val granted = SettingPath.parse(setting.subtree)
        val allowed = operator.subtree == "/" || granted?.isWithin(operator.subtree) == true
        return if (allowed) {
            Unit.toOk()
        } else {
            ErrorKind.FORBIDDEN.toFailed(
                "the subtree is larger than the operator's own",
            )
        }
    }

    private fun NewKeyRequest.toSetting(hash: KeyHash): Outcome<JsonElement> =
        when {
            workspace != null && subtree == null -> {
                val setting = CallerKeySetting(hash, WorkspaceId(workspace))
                Json.encodeToJsonElement(CallerKeySetting.serializer(), setting).toOk()
            }

            subtree != null && workspace == null -> {
                val setting = OperatorKeySetting(hash, subtree)
                Json.encodeToJsonElement(OperatorKeySetting.serializer(), setting).toOk()
            }

            else -> {
                ErrorKind.MALFORMED_REQUEST.toFailed("a key needs a workspace or a subtree, not both")
            }
        }

    private fun <T> parse(
        serializer: KSerializer<T>,
        name: String,
        text: String,
    ): Outcome<T> =
        try {
            when (val parsed = parseSettings(serializer, name, text)) {
                is ParsedSettings.Valid -> parsed.value.toOk()
                is ParsedSettings.Invalid -> ErrorKind.INVALID_SETTING.toFailed(parsed.faults.joinToString("; "))
            }
        } catch (_: SerializationException) {
            ErrorKind.INVALID_SETTING.toFailed("$name is no valid JSON")
        }

    private fun invalidPath(text: String): Outcome.Failed =
        ErrorKind.MALFORMED_REQUEST.toFailed("\"$text\" is no path of a setting")

    private fun randomKeyText(): String {
        val bytes = ByteArray(KEY_BYTES).also(random::nextBytes)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    private fun logChange(
        write: ConfigWrite,
        outcome: Outcome<Revision>,
    ) {
        val result =
            when (outcome) {
                is Outcome.Ok -> outcome.value.toString()
                is Outcome.Failed -> outcome.failure.kind.code
            }
        val path = write.changes.first().path
        EventLog.info("setting_change", "path" to path, "operator" to write.operator, "result" to result)
    }

    private companion object {
        const val PATH_PREFIX = "/admin/v1/"
        const val OPERATORS_PATH = "/fleet/operators"
        const val MAX_SETTING_BYTES = 256 * 1024
        const val MAX_CHECK_BYTES = 4 * 1024 * 1024
        const val HISTORY_LIMIT = 500
        const val KEY_BYTES = 32
        val CHANGE_ID = Regex("[A-Za-z0-9._-]{1,80}")
        val SETTING_LIST = ListSerializer(SettingResponse.serializer())
        val LOG_ENTRY_LIST = ListSerializer(ConfigLogEntry.serializer())
        val VM_IN_FORCE_LIST = ListSerializer(VmInForce.serializer())
    }
}

/** Responds with the JSON of a success, or with the failure. */
internal suspend fun <T> HttpCall.respondOutcome(
    serializer: KSerializer<T>,
    outcome: Outcome<T>,
) {
    when (outcome) {
        is Outcome.Failed -> {
            respondFailure(outcome.failure)
        }

        is Outcome.Ok -> {
            respond(
                200,
                "application/json",
                Json.encodeToString(serializer, outcome.value).encodeToByteArray(),
            )
        }
    }
}

/** Returns the value of a success, or calls [onFailed], which has to leave the calling function. */
internal inline fun <T> Outcome<T>.orReturn(onFailed: (Outcome.Failed) -> Nothing): T =
    when (this) {
        is Outcome.Ok -> value
        is Outcome.Failed -> onFailed(this)
    }
