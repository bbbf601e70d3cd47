package org.agatestream.core

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Identifies a job in the whole fleet: workspaces choose the ids of their jobs independently. */
public data class JobRef(
    /** The workspace that submitted the job; null if the deployment has no workspaces. */
    val workspace: WorkspaceId?,
    val id: JobId,
) {
    override fun toString(): String = if (workspace == null) "$id" else "$workspace/$id"
}

/** Identifies an item across all jobs. */
@Serializable(with = ItemRefSerializer::class)
public data class ItemRef(
    val job: JobRef,
    val item: ItemId,
) {
    override fun toString(): String = "$job/$item"
}

/** Encodes an [ItemRef] with the fields that VMs of earlier builds know, followed by the workspace. */
internal object ItemRefSerializer : KSerializer<ItemRef> {
    @Serializable
    private class Fields(
        val job: JobId,
        val item: ItemId,
        val workspace: WorkspaceId? = null,
    )

    override val descriptor: SerialDescriptor = Fields.serializer().descriptor

    override fun serialize(
        encoder: Encoder,
        value: ItemRef,
    ) {
        val fields = Fields(value.job.id, value.item, value.job.workspace)
        encoder.encodeSerializableValue(Fields.serializer(), fields)
    }

    override fun deserialize(decoder: Decoder): ItemRef {
        val fields = decoder.decodeSerializableValue(Fields.serializer())
        return ItemRef(JobRef(fields.workspace, fields.job), fields.item)
    }
}
