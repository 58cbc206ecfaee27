package org.sequoiaspindle.bench.coordination;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;

/** Formats tables as Markdown. */
public final class MarkdownTable {

    private MarkdownTable() {}

    /** Formats a table. Each row must have as many cells as the header. */
    public static String of(Seq<String> header, Seq<? extends Seq<String>> rows) {
        Vector<String> rule = header.toVector().map(cell -> "---");
        return Vector.<Seq<String>>of(header, rule)
                .appendAll(rows)
                .map(row -> row.mkString("| ", " | ", " |\n"))
                .mkString();
    }
}
