package org.agatestream.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json

// Guards against VMs of two builds that can't read each other's messages while a fleet is updated.
class ItemRefTest :
    FunSpec({
        test("an item is encoded with the fields of earlier builds and the workspace") {
            val ref = ItemRef(JobRef(WorkspaceId("ta"), JobId("j")), ItemId("i"))
            val text = """{"job":"j","item":"i","workspace":"ta"}"""
            Json.encodeToString(ItemRef.serializer(), ref) shouldBe text
            Json.decodeFromString(ItemRef.serializer(), text) shouldBe ref
        }

        test("an item of an earlier build, which names no workspace, is read") {
            val ref = Json.decodeFromString(ItemRef.serializer(), """{"job":"j","item":"i"}""")
            ref shouldBe ItemRef(JobRef(null, JobId("j")), ItemId("i"))
        }
    })
