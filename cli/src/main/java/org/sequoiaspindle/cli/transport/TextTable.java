package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Formats rows of cells as aligned columns. */
final class TextTable {

    private static final String COLUMN_SEPARATOR = "  ";

    private TextTable() {}

    /** Returns a table with the header and the rows, one per line. */
    static String of(Vector<String> header, Vector<Vector<String>> rows) {
        Vector<Vector<String>> allRows =
                rows.prepend(header).map(row -> row.map(ObjectNames::printable));
        Vector<Integer> widths =
                Vector.range(0, header.size())
                        .map(column -> allRows.map(row -> row.get(column).length()).max().get());
        return allRows.map(row -> formatRow(row, widths)).mkString();
    }

    private static String formatRow(Vector<String> row, Vector<Integer> widths) {
        return row.zipWith(widths, TextTable::pad).mkString(COLUMN_SEPARATOR).stripTrailing()
                + "\n";
    }

    private static String pad(String cell, int width) {
        return cell + " ".repeat(width - cell.length());
    }
}
