package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationChecker;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.state.ObjectSet;

/** Reads files that operators name on the command line. */
public final class InputFile {

    private static final long MAX_BYTES = 64L * 1024 * 1024;

    private InputFile() {}

    /**
     * Reads an object set from a file. Returns the error result of the command if the file cannot
     * be read or the object set is invalid.
     */
    static Either<CommandResult, ObjectSet> readObjectSet(String file) {
        return readText(file)
                .mapLeft(error -> CommandResult.message(ExitCode.USAGE, error))
                .flatMap(
                        text ->
                                ObjectSetReader.read(text)
                                        .flatMap(InputFile::validate)
                                        .mapLeft(
                                                problems ->
                                                        new CommandResult(
                                                                ExitCode.INVALID_SET,
                                                                new Report.FileCheck(
                                                                        file, problems))));
    }

    /** Reads a UTF-8 text file. Returns an error message if the file cannot be read. */
    public static Either<String, String> readText(String file) {
        try {
            Path path = Path.of(file);
            return Files.size(path) > MAX_BYTES
                    ? Either.left("file " + file + " is larger than " + MAX_BYTES + " bytes")
                    : Either.right(Files.readString(path));
        } catch (IOException | InvalidPathException e) {
            return Either.left(
                    "file %s cannot be read as UTF-8 text (%s); check its name and contents"
                            .formatted(file, e.getClass().getSimpleName()));
        }
    }

    private static Either<Vector<ValidationProblem>, ObjectSet> validate(ObjectSet set) {
        var problems = ConfigurationChecker.check(set);
        return problems.isEmpty() ? Either.right(set) : Either.left(problems);
    }
}
