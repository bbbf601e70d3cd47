package org.agatestream.core

import kotlinx.serialization.KSerializer

/** A kind of setting, told by its path. */
internal sealed interface SettingKind<T> {
    val serializer: KSerializer<T>

    data object FailureDomain : SettingKind<FailureDomainSetting> {
        override val serializer = FailureDomainSetting.serializer()
    }

    data object BackendServer : SettingKind<BackendServerSetting> {
        override val serializer = BackendServerSetting.serializer()
    }

    data object Model : SettingKind<ModelSetting> {
        override val serializer = ModelSetting.serializer()
    }

    data object Route : SettingKind<RouteSetting> {
        override val serializer = RouteSetting.serializer()
    }

    data object QuietHours : SettingKind<QuietHoursSetting> {
        override val serializer = QuietHoursSetting.serializer()
    }

    data object OperatorKey : SettingKind<OperatorKeySetting> {
        override val serializer = OperatorKeySetting.serializer()
    }

    data object Workspace : SettingKind<WorkspaceSetting> {
        override val serializer = WorkspaceSetting.serializer()
    }

    data object CallerKey : SettingKind<CallerKeySetting> {
        override val serializer = CallerKeySetting.serializer()
    }

    companion object {
        const val ALLOWED_PATHS: String =
            "/fleet/<failure-domains|backend-servers|models|routes|quiet-hours|operators>/<id> or " +
                "/teams/<team>/<workspaces|keys>/<id>"

        /** Returns the kind of the setting at [path], or null if no setting has such a path. */
        fun of(path: SettingPath): SettingKind<*>? {
            val parts = path.segments
            return when {
                parts.size == 3 && parts[0] == "fleet" -> ofFleet(parts[1])
                parts.size == 4 && parts[0] == "teams" -> ofTeam(parts[2])
                else -> null
            }
        }

        private fun ofFleet(group: String): SettingKind<*>? =
            when (group) {
                "failure-domains" -> FailureDomain
                "backend-servers" -> BackendServer
                "models" -> Model
                "routes" -> Route
                "quiet-hours" -> QuietHours
                "operators" -> OperatorKey
                else -> null
            }

        private fun ofTeam(group: String): SettingKind<*>? =
            when (group) {
                "workspaces" -> Workspace
                "keys" -> CallerKey
                else -> null
            }
    }
}
