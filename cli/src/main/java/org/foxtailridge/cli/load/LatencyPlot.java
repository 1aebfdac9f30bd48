package org.foxtailridge.cli.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.foxtailridge.cli.platform.OptionException;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots latencies by percentile. */
final class LatencyPlot {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 500;
    private static final int PERCENTILES = 100;
    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

    private LatencyPlot() {}

    /**
     * Writes the plot as a PNG file.
     *
     * @throws OptionException when the file can't be written
     */
    static void write(LoadReport report, String file) {
        System.setProperty("java.awt.headless", "true");
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title("Latency by percentile")
                        .xAxisTitle("percentile")
                        .yAxisTitle("milliseconds")
                        .build();
        addSeries(chart, "first token", report.firstToken());
        addSeries(chart, "between tokens", report.betweenTokens());
        addSeries(chart, "completion", report.completion());
        try {
            BitmapEncoder.saveBitmap(
                    chart, Path.of(file).toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException failure) {
            throw new OptionException("a file that can be written", file);
        }
    }

    private static void addSeries(XYChart chart, String name, Latencies latencies) {
        Histogram histogram = latencies.histogram();
        List<Integer> percentiles = new ArrayList<>();
        List<Double> milliseconds = new ArrayList<>();
        for (int percentile = 0; percentile <= PERCENTILES; percentile++) {
            percentiles.add(percentile);
            milliseconds.add(
                    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND);
        }
        chart.addSeries(name, percentiles, milliseconds).setMarker(SeriesMarkers.NONE);
    }
}
