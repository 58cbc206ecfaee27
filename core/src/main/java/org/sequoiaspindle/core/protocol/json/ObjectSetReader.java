package org.sequoiaspindle.core.protocol.json;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Validation;
import java.util.function.Function;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.coordination.configuration.Problem;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedArray;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedObject;
import org.sequoiaspindle.core.protocol.json.LocatedValue.Member;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Reads an object set from JSON with comments and trailing commas. A kind that the document leaves
 * out has no objects. Nothing is said about consistency; {@code ConfigurationChecker} decides that.
 */
public final class ObjectSetReader {

    private static final Vector<String> KIND_NAMES = ObjectKind.ALL.map(ObjectKind::name);

    private ObjectSetReader() {}

    /**
     * The set, or every error of shape by kind in the order of the document. An error of syntax
     * ends the reading and is reported alone. Messages begin with the line.
     */
    public static Either<Vector<Problem>, ObjectSet> read(String text) {
        return LocatedValueParser.parse(text).mapLeft(Vector::of).flatMap(ObjectSetReader::set);
    }

    private static Either<Vector<Problem>, ObjectSet> set(LocatedValue root) {
        if (!(root instanceof LocatedObject document)) {
            return Either.left(
                    Vector.of(wrongType("", root, "one object with the arrays of all kinds")));
        }
        return Validation.combine(
                        kind(document, ObjectKind.ORGANISATIONS, ObjectShapes::organisation),
                        kind(document, ObjectKind.OPERATORS, ObjectShapes::operator),
                        kind(document, ObjectKind.ENDPOINT_GROUPS, ObjectShapes::endpointGroup),
                        kind(document, ObjectKind.ENDPOINTS, ObjectShapes::endpoint),
                        kind(document, ObjectKind.STAGES, ObjectShapes::stage),
                        kind(document, ObjectKind.PIPELINES, ObjectShapes::pipeline),
                        kind(document, ObjectKind.ROUTING_RULES, ObjectShapes::routingRule),
                        withoutStray(MemberNames.stray(document, KIND_NAMES, "", "")))
                .ap(
                        (org, op, group, end, stage, pipe, rule, none) ->
                                new ObjectSet(org, op, group, end, stage, pipe, rule))
                .mapError(problems -> problems.flatMap(Function.identity()).toVector())
                .toEither();
    }

    private static <T> Validation<Seq<Problem>, Vector<T>> kind(
            LocatedObject document,
            ObjectKind<?> kind,
            Function<ObjectShape, Validation<Seq<Problem>, T>> make) {
        LocatedValue value =
                document.member(kind.name())
                        .map(Member::value)
                        .getOrElse(() -> new LocatedArray(document.line(), Vector.empty()));
        if (!(value instanceof LocatedArray array)) {
            return Validation.invalid(
                    Vector.of(wrongType(kind.name(), value, "an array of objects")));
        }
        return Validation.sequence(
                        array.items()
                                .zipWithIndex()
                                .map(item -> object(kind, item._2() + 1, item._1(), make)))
                .map(Seq::toVector);
    }

    private static <T> Validation<Seq<Problem>, T> object(
            ObjectKind<?> kind,
            int position,
            LocatedValue value,
            Function<ObjectShape, Validation<Seq<Problem>, T>> make) {
        if (!(value instanceof LocatedObject source)) {
            Problem problem = wrongType(kind.name(), value, "an object");
            return Validation.invalid(
                    Vector.of(
                            new Problem(
                                    problem.code(),
                                    kind.name(),
                                    "#" + position,
                                    "",
                                    problem.message())));
        }
        ObjectShape shape = ObjectShape.of(kind, position, source);
        Vector<Problem> stray = shape.strayFields();
        Validation<Seq<Problem>, T> made = make.apply(shape);
        return stray.isEmpty()
                ? made
                : Validation.invalid(
                        made.fold(problems -> problems, ok -> Vector.<Problem>empty())
                                .appendAll(stray));
    }

    private static Validation<Seq<Problem>, Boolean> withoutStray(Vector<Problem> stray) {
        return stray.isEmpty() ? Validation.valid(true) : Validation.invalid(stray);
    }

    private static Problem wrongType(String kind, LocatedValue value, String wanted) {
        return new Problem(
                "wrong-type",
                kind,
                "",
                "",
                "line %d: is %s; write %s".formatted(value.line(), value.describe(), wanted));
    }
}
