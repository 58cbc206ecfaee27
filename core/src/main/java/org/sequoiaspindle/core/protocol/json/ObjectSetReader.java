package org.sequoiaspindle.core.protocol.json;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Validation;
import java.util.function.Function;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedArray;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedObject;
import org.sequoiaspindle.core.protocol.json.LocatedValue.Member;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Reads an object set from JSON with comments and trailing commas. A kind that is absent from the
 * document has no objects. The consistency of the set is not checked here but by {@code
 * ConfigurationChecker}.
 */
public final class ObjectSetReader {

    private static final Vector<String> KIND_NAMES = ObjectKind.ALL.map(ObjectKind::name);

    private ObjectSetReader() {}

    /**
     * Returns the object set, or all structural errors, such as missing fields and wrong types,
     * ordered by kind and then as in the document. A syntax error ends the parsing and is the only
     * error reported. Messages begin with the line number.
     */
    public static Either<Vector<ValidationProblem>, ObjectSet> read(String document) {
        return LocatedValueParser.parse(document)
                .mapLeft(Vector::of)
                .flatMap(ObjectSetReader::readSet);
    }

    private static Either<Vector<ValidationProblem>, ObjectSet> readSet(LocatedValue root) {
        if (!(root instanceof LocatedObject document)) {
            return Either.left(
                    Vector.of(wrongType("", root, "one object with the arrays of all kinds")));
        }
        return Validation.combine(
                        readKind(document, ObjectKind.ORGANISATIONS, ObjectFactories::organisation),
                        readKind(document, ObjectKind.OPERATORS, ObjectFactories::operator),
                        readKind(
                                document,
                                ObjectKind.ENDPOINT_GROUPS,
                                ObjectFactories::endpointGroup),
                        readKind(document, ObjectKind.ENDPOINTS, ObjectFactories::endpoint),
                        readKind(document, ObjectKind.STAGES, ObjectFactories::stage),
                        readKind(document, ObjectKind.PIPELINES, ObjectFactories::pipeline),
                        readKind(document, ObjectKind.ROUTING_RULES, ObjectFactories::routingRule),
                        requireNone(MemberNameCheck.problems(document, KIND_NAMES, "", "")))
                .ap(
                        (org, op, group, end, stage, pipe, rule, none) ->
                                new ObjectSet(org, op, group, end, stage, pipe, rule))
                .mapError(problems -> problems.flatMap(Function.identity()).toVector())
                .toEither();
    }

    private static <T> Validation<Seq<ValidationProblem>, Vector<T>> readKind(
            LocatedObject document,
            ObjectKind<?> kind,
            Function<ObjectFields, Validation<Seq<ValidationProblem>, T>> create) {
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
                                .map(item -> readObject(kind, item._2() + 1, item._1(), create)))
                .map(Seq::toVector);
    }

    private static <T> Validation<Seq<ValidationProblem>, T> readObject(
            ObjectKind<?> kind,
            int position,
            LocatedValue value,
            Function<ObjectFields, Validation<Seq<ValidationProblem>, T>> create) {
        if (!(value instanceof LocatedObject source)) {
            ValidationProblem problem = wrongType(kind.name(), value, "an object");
            return Validation.invalid(
                    Vector.of(
                            new ValidationProblem(
                                    problem.code(),
                                    kind.name(),
                                    "#" + position,
                                    "",
                                    problem.message())));
        }
        ObjectFields fields = ObjectFields.of(kind, position, source);
        Vector<ValidationProblem> unexpectedFieldProblems = fields.unexpectedFieldProblems();
        Validation<Seq<ValidationProblem>, T> createdObject = create.apply(fields);
        return unexpectedFieldProblems.isEmpty()
                ? createdObject
                : Validation.invalid(
                        createdObject
                                .fold(problems -> problems, ok -> Vector.<ValidationProblem>empty())
                                .appendAll(unexpectedFieldProblems));
    }

    private static Validation<Seq<ValidationProblem>, Boolean> requireNone(
            Vector<ValidationProblem> unexpectedFieldProblems) {
        return unexpectedFieldProblems.isEmpty()
                ? Validation.valid(true)
                : Validation.invalid(unexpectedFieldProblems);
    }

    private static ValidationProblem wrongType(String kind, LocatedValue value, String expected) {
        return new ValidationProblem(
                "wrong-type",
                kind,
                "",
                "",
                "line %d: is %s; write %s".formatted(value.line(), value.describe(), expected));
    }
}
