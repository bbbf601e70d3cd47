@file:OptIn(ExperimentalSerializationApi::class)

package org.agatestream.server

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.agatestream.core.BackendServerId
import org.agatestream.core.ClassCounts
import org.agatestream.core.ServerResults
import org.agatestream.core.WorkspaceId

class LimitAskTest :
    FunSpec({
        val cbor =
            Cbor {
                preferCborLabelsOverNames = true
                encodeDefaults = false
            }
        val take = WorkspaceTake(WorkspaceId("carers"), 3, 1, 2, 0, 500, 150)
        val quota =
            QuotaLeaseAsk(
                QuotaKey.Server(BackendServerId("engine-17")),
                4711,
                ClassCounts(3, 1),
                ClassCounts(1, 0),
                ServerResults(2, 0, incarnation = "a1b2c3d4"),
            )

        test("asks and answers survive the wire") {
            for (ask in listOf(TokenAsk(listOf(take)), quota, GiveWayAsk(QuotaKey.Fleet(1), 2))) {
                cbor.decodeFromByteArray(
                    LimitAsk.serializer(),
                    cbor.encodeToByteArray(LimitAsk.serializer(), ask),
                ) shouldBe
                    ask
            }
        }

        test("an ask and its answer are small") {
            val sizes =
                mapOf(
                    "token ask" to cbor.encodeToByteArray(LimitAsk.serializer(), TokenAsk(listOf(take))).size,
                    "token answer" to
                        cbor.encodeToByteArray(LimitAnswer.serializer(), TokenAnswer(listOf(WorkspaceGrant(1)))).size,
                    "quota ask" to cbor.encodeToByteArray(LimitAsk.serializer(), quota).size,
                    "quota answer" to
                        cbor
                            .encodeToByteArray(
                                LimitAnswer.serializer(),
                                QuotaLeaseAnswer(ClassCounts(1), 1, false, 9, 32),
                            ).size,
                )
            println("bytes: $sizes")
            // 32 requests a second at a VM, each with a token ask and a quota ask that it sends and as many that it answers.
            sizes.values.sum() shouldBeLessThan 250
        }
    })
