package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.sequoiaspindle.cli.state.LogLine;

/**
 * Reads the log files of instances line by line, so that memory use does not depend on the size of
 * the files.
 */
final class LogFiles {

    private LogFiles() {}

    /**
     * Passes every log line to the consumer.
     *
     * @return the number of lines that are not log lines, or an error message if a file cannot be
     *     read
     */
    static Either<String, Long> forEachLine(Vector<String> files, Consumer<LogLine> consumer) {
        long skippedLines = 0;
        for (String file : files) {
            try (BufferedReader reader = open(file)) {
                String line = reader.readLine();
                while (line != null) {
                    Option<LogLine> logLine = LogLineParser.parse(file, line);
                    logLine.forEach(consumer);
                    skippedLines += logLine.isEmpty() ? 1 : 0;
                    line = reader.readLine();
                }
            } catch (IOException | InvalidPathException e) {
                return Either.left(
                        "file %s cannot be read (%s); check its name"
                                .formatted(file, e.getClass().getSimpleName()));
            }
        }
        return Either.right(skippedLines);
    }

    /** Opens a file. The reader replaces malformed UTF-8, which truncated log lines may contain. */
    private static BufferedReader open(String file) throws IOException {
        return new BufferedReader(
                new InputStreamReader(
                        Files.newInputStream(Path.of(file)),
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .onMalformedInput(CodingErrorAction.REPLACE)
                                .onUnmappableCharacter(CodingErrorAction.REPLACE)));
    }
}
