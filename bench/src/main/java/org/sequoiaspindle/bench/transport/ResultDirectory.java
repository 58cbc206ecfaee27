package org.sequoiaspindle.bench.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.sequoiaspindle.bench.protocol.BenchJson;

/** Directory to which results are written. */
record ResultDirectory(Path directory) {

    void writeJson(String name, JsonNode node) {
        writeText(name, BenchJson.pretty(node) + "\n");
    }

    void writeText(String name, String content) {
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve(name), content);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
