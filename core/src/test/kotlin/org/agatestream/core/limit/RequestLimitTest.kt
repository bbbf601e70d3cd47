package org.agatestream.core.limit

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.agatestream.core.BackendServerId
import org.agatestream.core.DispatchAction
import org.agatestream.core.Dispatcher
import org.agatestream.core.MonotonicTime
import org.agatestream.core.RunDetail
import org.agatestream.core.RunOutcome
import org.agatestream.core.START
import org.agatestream.core.VM_A
import org.agatestream.core.dispatcherOf
import org.agatestream.core.incarnation
import org.agatestream.core.manifestOf
import org.agatestream.core.placed
import org.agatestream.core.requestOf
import org.agatestream.core.serverOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LIMIT = 4.0
private val LIMITED = BackendServerId("s1")
private val WINDOW = 4.seconds

// The platform tolerates half as much again and five requests in a window.
private val MOST_IN_WINDOW = 1.5 * LIMIT * 4 + 5

private fun limitOf(
    perSecond: Double?,
    ageMillis: Long = 0,
) = listOf(ObservedLimit(serverOf("s1").entry.incarnation, ReportedLimit(perSecond, ageMillis)))

/** Two servers, of which one names a limit. */
private fun limitedDispatcher(): Dispatcher =
    dispatcherOf(manifestOf(), serverOf("s1", slots = 8), serverOf("s2", slots = 8)).also {
        it.onServerLimits(limitOf(LIMIT), START)
    }

/** Sends a request to each of the [dispatchers] every 20 ms for 16 s; returns when one started at the limited server. */
private fun overload(dispatchers: List<Dispatcher>): List<MonotonicTime> {
    val starts = ArrayList<MonotonicTime>()
    val ends = ArrayDeque<Triple<MonotonicTime, Dispatcher, DispatchAction.Place>>()
    var number = 0L

    fun apply(
        dispatcher: Dispatcher,
        actions: List<DispatchAction>,
        now: MonotonicTime,
    ) {
        for (place in actions.filterIsInstance<DispatchAction.Place>()) {
            if (place.server == LIMITED) starts += now
            ends += Triple(now + 300.milliseconds, dispatcher, place)
        }
    }
    for (millis in 0 until 16_000 step 20) {
        val now = START + millis.milliseconds
        while (ends.isNotEmpty() && ends.first().first <= now) {
            val (_, dispatcher, place) = ends.removeFirst()
            val detail = if (place.server == LIMITED) RunDetail(limit = ReportedLimit(LIMIT, 300)) else RunDetail.NONE
            apply(dispatcher, dispatcher.release(place.call, RunOutcome.ANSWERED, 50.milliseconds, now, detail), now)
        }
        for (dispatcher in dispatchers) apply(dispatcher, dispatcher.place(requestOf(number++, now), now), now)
        for (dispatcher in dispatchers) apply(dispatcher, dispatcher.tick(now), now)
    }
    return starts
}

private fun mostInWindow(starts: List<MonotonicTime>): Int =
    starts.maxOf { from -> starts.count { it >= from && it < from + WINDOW } }

class RequestLimitTest :
    FunSpec({
        // Guards against a server in need that is overrun: without a limit it gets some 25 requests a second here.
        test("overload: a server that names a limit gets no more requests than that, and not far fewer") {
            val starts = overload(listOf(limitedDispatcher()))
            mostInWindow(starts).toDouble() shouldBeLessThanOrEqual MOST_IN_WINDOW
            starts.size shouldBeGreaterThanOrEqual (0.9 * LIMIT * 16).toInt()
        }

        // Guards against VMs without a coordinator that each use the whole limit.
        test("overload at VMs that each decide for themselves: they share the limit") {
            val alone = List(3) { limitedDispatcher().also { it.onFollowers(listOf(VM_A), 3) } }
            mostInWindow(overload(alone)).toDouble() shouldBeLessThanOrEqual MOST_IN_WINDOW
        }

        // Guards against callers that wait for slots which the limit does not let them have.
        test("a backlog: what the limit can't serve in time is refused at once") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            dispatcher.onServerLimits(limitOf(1.0), START)
            val actions = (1L..20L).flatMap { dispatcher.place(requestOf(it), START) }
            val refused = actions.filterIsInstance<DispatchAction.Refuse>()
            // One request a second starts in the three seconds that callers wait; the slots are full for 0.7 s each.
            withClue(refused) { dispatcher.waitingRequests shouldBeInRange 3..6 }
            refused.size shouldBe 20 - dispatcher.waitingRequests
        }

        // Guards against a server that stays limited after it has recovered, and one that an old response sets free.
        test("only a later response without a limit ends it") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1", slots = 8))
            dispatcher.onServerLimits(limitOf(LIMIT), START)
            dispatcher.onServerLimits(limitOf(null, ageMillis = 200), START + 100.milliseconds)
            dispatcher.limitedServers(START + 100.milliseconds) shouldBe mapOf(LIMITED to LIMIT)
            dispatcher.onServerLimits(limitOf(null), START + 200.milliseconds)
            dispatcher.limitedServers(START + 200.milliseconds) shouldBe emptyMap()
            (1L..8L).flatMap { dispatcher.place(requestOf(it), START + 200.milliseconds) }.placed() shouldHaveSize 8
        }

        test("a limit ends with the server's incarnation, and without responses after some seconds") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1"))
            dispatcher.onServerLimits(limitOf(LIMIT), START)
            dispatcher.limitedServers(START + RequestLimiter.RETENTION) shouldBe emptyMap()
            val old = serverOf("s1")
            val restarted = old.copy(entry = old.entry.copy(startedAtMillis = 7))
            dispatcher.onServers(listOf(restarted), START + 1.milliseconds)
            dispatcher.onServerLimits(limitOf(LIMIT), START + 2.milliseconds)
            dispatcher.limitedServers(START + 2.milliseconds) shouldBe emptyMap()
        }

        // Guards against a server that nobody finds to have recovered.
        test("a server that takes nothing is tried now and then") {
            val dispatcher = dispatcherOf(manifestOf(), serverOf("s1"))
            dispatcher.onServerLimits(limitOf(0.0), START)
            dispatcher.place(requestOf(1), START).shouldBeEmpty()
            dispatcher.tick(START + 2.seconds).placed() shouldBe listOf(1L)
        }

        // Guards against a coordinator that takes over and overruns a server of which its predecessor knew the limit.
        test("a report has what the coordinator may not know, and everything for a new one") {
            val limits = NamedLimits()
            val server = serverOf("s1").entry.incarnation
            limits.onResponse(server, LIMIT, START)
            val report = limits.unreported(START + 100.milliseconds)
            report shouldBe limitOf(LIMIT, ageMillis = 100)
            limits.onReported(report)
            limits.onResponse(server, LIMIT, START + 200.milliseconds)
            limits.unreported(START + 200.milliseconds).shouldBeEmpty()
            limits.onResponse(server, 3.0, START + 300.milliseconds)
            limits.unreported(START + 300.milliseconds) shouldBe limitOf(3.0)
            limits.onReported(limitOf(3.0))
            limits.onCoordinatorChanged()
            limits.unreported(START + 400.milliseconds) shouldBe limitOf(3.0, ageMillis = 100)
            limits.onResponse(server, null, START + 500.milliseconds)
            limits.unreported(START + 500.milliseconds).shouldBeEmpty()
        }
    })
