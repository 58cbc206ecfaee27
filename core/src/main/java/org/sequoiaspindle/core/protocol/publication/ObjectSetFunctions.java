package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.function.Function;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Functions on object sets that publication uses. None of the functions throws.
 *
 * @param writer returns an object set as a canonical string, which is the same for equal sets
 * @param reader parses an object set, or returns the reason why the string is not a valid set
 * @param checker returns the problems that forbid publishing an object set, empty for a consistent
 *     set
 */
public record ObjectSetFunctions(
        Function<ObjectSet, String> writer,
        Function<String, Either<String, ObjectSet>> reader,
        Function<ObjectSet, Vector<ValidationProblem>> checker) {}
