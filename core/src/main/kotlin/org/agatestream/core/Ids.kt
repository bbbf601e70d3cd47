package org.agatestream.core

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies an entry VM for its lifetime; a replacement gets a new id. */
@Serializable
@JvmInline
public value class VmId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a failure domain: VMs and backend servers that may fail or be taken out of service together. */
@Serializable
@JvmInline
public value class FailureDomainId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a workspace, a tenant with a fleet-wide limit on rate and burst. */
@Serializable
@JvmInline
public value class WorkspaceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a backend server: a model engine or a plain service. */
@Serializable
@JvmInline
public value class BackendServerId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a model that engines serve. */
@Serializable
@JvmInline
public value class ModelId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a route to a plain service, the first path segment after `/services/`. */
@Serializable
@JvmInline
public value class RouteId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a batch job. */
@Serializable
@JvmInline
public value class JobId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies an item within its batch job; chosen by the caller. */
@Serializable
@JvmInline
public value class ItemId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a caller's or an operator's key without revealing the key. */
@Serializable
@JvmInline
public value class KeyId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies one attempt to change the configuration, so that its outcome can be looked up if the response is lost. */
@Serializable
@JvmInline
public value class ChangeId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies one request of a caller across VMs and log lines. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a part of a prompt that several requests may share. */
@Serializable
@JvmInline
public value class PromptPart(
    public val value: String,
) {
    override fun toString(): String = value
}
