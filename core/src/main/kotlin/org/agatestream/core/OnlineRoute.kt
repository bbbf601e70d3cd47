package org.agatestream.core

/** The target of an online request, determined by its method and path. */
public sealed interface OnlineRoute {
    /** The addresses of entry VMs; no key is required. */
    public data object Entries : OnlineRoute

    /** The models that the caller's workspace may use. */
    public data object Models : OnlineRoute

    /** A completion; [chat] is true for the conversation form and false for the prompt form. */
    public data class Completion(
        val chat: Boolean,
    ) : OnlineRoute

    /** A call to a plain service. */
    public data class Service(
        val id: RouteId,
        val setting: RouteSetting,
        /** True if the call may be retried. */
        val idempotent: Boolean,
    ) : OnlineRoute
}

/** Returns whether [path], percent-decoded and without the query, is an online route's, whatever the settings. */
public fun isOnlinePath(path: String): Boolean = path in FIXED_PATHS || path.startsWith(SERVICES_PREFIX)

/** Returns whether [path] is that of the entry addresses, which are served without settings. */
public fun isEntriesPath(path: String): Boolean = path == ENTRIES_PATH

/**
 * Finds the online route of a request, or returns null if the path is no online route's.
 *
 * Fails with `UNKNOWN_ROUTE`, `METHOD_NOT_ALLOWED` or `MALFORMED_REQUEST`.
 *
 * @param path the percent-decoded path without the query.
 */
public fun FleetView.findOnlineRoute(
    method: String,
    path: String,
): Outcome<OnlineRoute>? =
    when {
        path == ENTRIES_PATH -> OnlineRoute.Entries.requireMethod("GET", method)
        path == MODELS_PATH -> OnlineRoute.Models.requireMethod("GET", method)
        path == COMPLETIONS_PATH -> OnlineRoute.Completion(chat = false).requireMethod("POST", method)
        path == CHAT_COMPLETIONS_PATH -> OnlineRoute.Completion(chat = true).requireMethod("POST", method)
        path.startsWith(SERVICES_PREFIX) -> findService(method, path.removePrefix(SERVICES_PREFIX))
        else -> null
    }

/** Returns the engines that serve [model], for a caller of [workspace]; fails with `UNKNOWN_MODEL`. */
public fun FleetView.findEngines(
    workspace: WorkspaceSetting,
    model: ModelId,
): Outcome<Set<BackendServerId>> {
    val permitted = workspace.models.isEmpty() || model in workspace.models
    if (!permitted || model !in models) return ErrorKind.UNKNOWN_MODEL.toFailed("the workspace has no such model")
    return enginesByModel[model].orEmpty().toOk()
}

/** Returns the models that a caller of [workspace] may use, in order of id. */
public fun FleetView.listModels(workspace: WorkspaceSetting): List<ModelId> =
    models.keys.filter { workspace.models.isEmpty() || it in workspace.models }.sortedBy { it.value }

private fun OnlineRoute.requireMethod(
    allowed: String,
    method: String,
): Outcome<OnlineRoute> =
    if (method == allowed) toOk() else ErrorKind.METHOD_NOT_ALLOWED.toFailed("the route takes $allowed only")

private fun FleetView.findService(
    method: String,
    path: String,
): Outcome<OnlineRoute> {
    val id = RouteId(path.substringBefore('/'))
    val subpath = path.removePrefix(id.value)
    val setting = routes[id] ?: return ErrorKind.UNKNOWN_ROUTE.toFailed("there is no such route")
    if (isAmbiguous(subpath)) return ErrorKind.MALFORMED_REQUEST.toFailed("the path has dot segments or encoded marks")
    val idempotent = method in SAFE_METHODS || setting.idempotentPaths.any { subpath.isUnder(it) }
    return OnlineRoute.Service(id, setting, idempotent).toOk()
}

/** Returns whether a service could normalize the path to another one, which may not be safe to retry. */
private fun isAmbiguous(path: String): Boolean =
    path.split('/').any { it == "." || it == ".." } || path.any { it in AMBIGUOUS_CHARS } || "//" in path

private fun String.isUnder(prefix: String): Boolean {
    val base = "/" + prefix.trim('/')
    return this == base || startsWith("$base/")
}

private const val ENTRIES_PATH = "/v1/entries"
private const val MODELS_PATH = "/v1/models"
private const val COMPLETIONS_PATH = "/v1/completions"
private const val CHAT_COMPLETIONS_PATH = "/v1/chat/completions"
private const val SERVICES_PREFIX = "/services/"
private val FIXED_PATHS = setOf(ENTRIES_PATH, MODELS_PATH, COMPLETIONS_PATH, CHAT_COMPLETIONS_PATH)
private const val AMBIGUOUS_CHARS = "%\\;"
private val SAFE_METHODS = setOf("GET", "HEAD", "OPTIONS")
