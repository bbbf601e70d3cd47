package org.agatestream.cli

import org.jfree.chart.ChartFactory
import org.jfree.chart.ChartUtils
import org.jfree.data.xy.XYSeries
import org.jfree.data.xy.XYSeriesCollection
import java.io.File

/** Plots the first-token latency of each stream by percentile to a PNG file. */
internal fun plotLatencies(
    stats: List<LoadStats>,
    file: File,
) {
    val dataset = XYSeriesCollection()
    stats.filter { it.firstToken.totalCount > 0 }.forEach { dataset.addSeries(it.toSeries()) }
    val chart = ChartFactory.createXYLineChart("First token", "percentile", "milliseconds", dataset)
    ChartUtils.saveChartAsPNG(file, chart, PLOT_WIDTH_PIXELS, PLOT_HEIGHT_PIXELS)
}

private fun LoadStats.toSeries(): XYSeries {
    val series = XYSeries(name)
    for (percentile in 0..99) series.add(percentile.toDouble(), firstToken.millisAt(percentile.toDouble()))
    return series
}

private const val PLOT_WIDTH_PIXELS = 960
private const val PLOT_HEIGHT_PIXELS = 540
