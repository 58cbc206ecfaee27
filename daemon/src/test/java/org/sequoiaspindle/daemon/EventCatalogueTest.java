package org.sequoiaspindle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.LogEvent;

/**
 * Guards against log events that are missing from the operators' event catalogue or differ from it.
 */
final class EventCatalogueTest {

    private static final int COLUMNS = 6;

    @Test
    void catalogueListsEveryEventInTheOrderOfTheNumbers() throws IOException {
        Vector<Vector<String>> rows =
                Vector.ofAll(Files.readAllLines(Path.of("../docs/events.md")))
                        .filter(line -> line.matches("\\| \\d+ \\|.*"))
                        .map(line -> Vector.of(line.split("\\|")).tail().map(String::strip));
        assertEquals(
                Vector.of(LogEvent.values())
                        .sortBy(LogEvent::number)
                        .map(
                                event ->
                                        Vector.of(
                                                String.valueOf(event.number()),
                                                event.level().name(),
                                                event.name(),
                                                event.message())),
                rows.map(row -> row.take(4)));
        assertTrue(
                rows.forAll(row -> row.size() == COLUMNS && row.forAll(cell -> !cell.isEmpty())));
    }
}
