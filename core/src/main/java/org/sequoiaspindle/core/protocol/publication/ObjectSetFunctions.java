package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.function.Function;
import org.sequoiaspindle.core.coordination.configuration.Problem;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * What publication needs to know of object sets. None of the functions throws.
 *
 * @param writer canonical text of a set; equal sets have equal texts
 * @param reader set of a text, or the reason why the text is not one
 * @param checker reasons why a set cannot be published, empty for a consistent one
 */
public record ObjectSetFunctions(
        Function<ObjectSet, String> writer,
        Function<String, Either<String, ObjectSet>> reader,
        Function<ObjectSet, Vector<Problem>> checker) {}
