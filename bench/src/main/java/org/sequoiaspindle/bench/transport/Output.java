package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sequoiaspindle.bench.protocol.Json;

/** Writes results to a directory. */
record Output(Path directory) {

    void json(String name, JsonNode node) {
        text(name, Json.pretty(node) + "\n");
    }

    void text(String name, String text) {
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve(name), text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
