package org.agatestream.cli

import org.jfree.chart.ChartFactory
import org.jfree.chart.ChartUtils
import org.jfree.data.xy.XYSeries
import org.jfree.data.xy.XYSeriesCollection
import java.io.File

/** Draws the first-token latency of each stream by percentile as a PNG. */
internal fun plotLatencies(
    stats: List<LoadStats>,
    file: File,
) {
    val series = XYSeriesCollection()
    stats.filter { it.firstToken.totalCount > 0 }.forEach { series.addSeries(it.toSeries()) }
    val chart = ChartFactory.createXYLineChart("First token", "percentile", "milliseconds", series)
    ChartUtils.saveChartAsPNG(file, chart, PLOT_WIDTH_PIXELS, PLOT_HEIGHT_PIXELS)
}

private fun LoadStats.toSeries(): XYSeries {
    val line = XYSeries(name)
    for (percentile in 0..99) line.add(percentile.toDouble(), firstToken.millisAt(percentile.toDouble()))
    return line
}

private const val PLOT_WIDTH_PIXELS = 960
private const val PLOT_HEIGHT_PIXELS = 540
