package org.agatestream.standin

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import java.util.Base64

// More than the buffers of both sockets hold, so that the reset comes while the request is still being written.
private const val UPLOAD_BYTES = 8 * 1024 * 1024
private const val ITEM_BYTES = 4 * 1024 * 1024
private const val ROUNDS = 5
private val UPLOAD = "u".repeat(UPLOAD_BYTES)

/** The parts of the body for an id after which a server resets the connection. */
private val PARTS: List<(String) -> String> =
    listOf(
        { _ -> "" },
        { id -> numberedEvent(id, 0).dropLast(1) },
        { id -> numberedEvent(id, 0) + numberedEvent(id, 1) },
        { id -> wholeBody(id) },
    )

/** Answers at once with a success that has no length, and resets the connection after a part of its body. */
private fun CutRequest.resetResponse(): CutResponse =
    CutResponse("$STATUS_LINE${headers(id)}\r\n${PARTS[caseOf(id)](id)}", ConnectionEnd.RESET, isEarly = true)

/** Uploads [ROUNDS] bodies under [prefix] for each part and checks the responses; null stands for a cut one. */
private suspend fun PlatformFleet.forEachUpload(
    prefix: String,
    runs: CutRuns,
    check: (String, WholeResponse?) -> Unit,
) {
    for (case in PARTS.indices) {
        repeat(ROUNDS) { round ->
            val id = "$prefix-${round}c$case"
            val response = sendUntilRun("/$prefix/x", id, runs, UPLOAD)
            withClue("$id, status ${response?.status}, ${runs.of(id)} runs") { check(id, response) }
        }
    }
}

class ResetUploadTest :
    FunSpec({
        timeout = 120_000

        // Guards against the part of an answer before a reset that a caller gets as a whole one.
        test("a request whose server resets the connection during the upload fails, and runs once") {
            withCutServers(scriptOf { it.resetResponse() }) { fleet, runs ->
                fleet.forEachUpload("once", runs) { id, response ->
                    response?.status shouldBe 502
                    runs.of(id) shouldBe 1
                }
            }
        }

        test("a request that may be repeated gets the whole answer of another server") {
            val script = scriptOf { if (it.earlierRuns < 2) it.resetResponse() else it.wholeResponse() }
            withCutServers(script) { fleet, runs ->
                fleet.forEachUpload("safe", runs) { id, response ->
                    response?.status shouldBe 200
                    response?.body shouldBe wholeBody(id)
                }
            }
        }

        test("a stream whose server resets the connection during the upload never ends as a whole one") {
            withCutServers(scriptOf { it.resetResponse() }) { fleet, runs ->
                fleet.forEachUpload("stream", runs) { id, response ->
                    if (response != null) response.status shouldBe 502
                    runs.of(id) shouldBe 1
                }
            }
        }

        test("a stream goes on at another server, and is whole or cut") {
            val script = scriptOf { if (it.earlierRuns == 0) it.resetResponse() else it.wholeResponse() }
            withCutServers(script) { fleet, runs ->
                fleet.forEachUpload("resumed", runs) { id, response ->
                    // With all events passed on, a run that has none left proves nothing.
                    if (response == null && caseOf(id) == PARTS.lastIndex) return@forEachUpload
                    response?.status shouldBe 200
                    response?.body shouldBe wholeBody(id)
                }
            }
        }

        test("an item whose server resets the connection during the upload is listed with its whole output") {
            val script = scriptOf { if (it.earlierRuns < 2) it.resetResponse() else it.wholeResponse() }
            withCutServers(script) { fleet, _ ->
                for (case in PARTS.indices) {
                    val id = "itemc$case"
                    val body = Base64.getEncoder().encodeToString(ByteArray(ITEM_BYTES))
                    fleet.runItems(listOf(id), job = "job$case", body = body) shouldContainExactly
                        mapOf(id to completed(id))
                }
            }
        }
    })
