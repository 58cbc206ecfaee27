package org.sequoiaspindle.core.protocol.json;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.vavr.control.Validation;
import java.util.function.Function;
import org.sequoiaspindle.core.coordination.configuration.ObjectKind;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedArray;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedBoolean;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedNull;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedNumber;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedObject;
import org.sequoiaspindle.core.protocol.json.LocatedValue.LocatedString;
import org.sequoiaspindle.core.protocol.json.LocatedValue.Member;

/**
 * Typed access to the fields of a JSON object. Each method returns the value of a field or its
 * problems, so that the caller can report the problems of all fields together.
 *
 * @param kind kind of the object
 * @param label label that identifies the object in problems
 * @param source the JSON object
 */
record ObjectFields(ObjectKind<?> kind, String label, LocatedObject source) {

    static ObjectFields of(ObjectKind<?> kind, int position, LocatedObject source) {
        String name =
                source.member("name")
                        .map(Member::value)
                        .map(value -> value instanceof LocatedString string ? string.value() : "")
                        .getOrElse("");
        return new ObjectFields(kind, ObjectNames.labelOf(name, position), source);
    }

    Validation<Seq<ValidationProblem>, String> string(String field) {
        return readRequired(field, value -> stringOf(field, value));
    }

    Validation<Seq<ValidationProblem>, Integer> integer(String field) {
        return readRequired(field, value -> integerOf(field, value));
    }

    Validation<Seq<ValidationProblem>, Boolean> bool(String field) {
        return readRequired(
                field,
                value ->
                        value instanceof LocatedBoolean bool
                                ? Validation.valid(bool.value())
                                : wrongType(field, value, "true or false"));
    }

    Validation<Seq<ValidationProblem>, Vector<String>> strings(String field) {
        return readRequired(
                field,
                value ->
                        value instanceof LocatedArray array
                                ? Validation.sequence(array.items().map(i -> stringOf(field, i)))
                                        .map(Seq::toVector)
                                : wrongType(field, value, "an array of strings"));
    }

    /** Returns none for an absent field and for null. */
    Validation<Seq<ValidationProblem>, Option<String>> optionalString(String field) {
        Option<LocatedValue> value =
                source.member(field).map(Member::value).filter(v -> !(v instanceof LocatedNull));
        return value.isEmpty()
                ? Validation.valid(Option.none())
                : stringOf(field, value.get()).map(Option::some);
    }

    <E extends Enum<E>> Validation<Seq<ValidationProblem>, E> choice(
            String field, Vector<E> choices, Function<E, String> nameOf) {
        return string(field)
                .flatMap(
                        string ->
                                choices.find(choice -> nameOf.apply(choice).equals(string))
                                        .<Validation<Seq<ValidationProblem>, E>>map(
                                                Validation::valid)
                                        .getOrElse(
                                                () -> {
                                                    String allowed =
                                                            choices.map(nameOf).mkString(", ");
                                                    return invalid(
                                                            "wrong-value",
                                                            field,
                                                            source.member(field).get().line(),
                                                            ObjectNames.quoted(string)
                                                                    + " is unknown; use one of "
                                                                    + allowed);
                                                }));
    }

    /** Returns problems for fields that the kind does not have and for duplicate fields. */
    Vector<ValidationProblem> unexpectedFieldProblems() {
        return MemberNameCheck.problems(
                source, kind.fields().map(ObjectKind.Field::name), kind.name(), label);
    }

    private <T> Validation<Seq<ValidationProblem>, T> readRequired(
            String field, Function<LocatedValue, Validation<Seq<ValidationProblem>, T>> read) {
        Option<Member> member = source.member(field);
        return member.isEmpty()
                ? invalid("missing-field", field, source.line(), "is missing; add it")
                : read.apply(member.get().value());
    }

    private Validation<Seq<ValidationProblem>, String> stringOf(String field, LocatedValue value) {
        return value instanceof LocatedString string
                ? Validation.valid(string.value())
                : wrongType(field, value, "a string");
    }

    private Validation<Seq<ValidationProblem>, Integer> integerOf(
            String field, LocatedValue value) {
        if (!(value instanceof LocatedNumber number) || !number.isInteger()) {
            return wrongType(field, value, "a whole number");
        }
        try {
            return Validation.valid(Integer.parseInt(number.literal()));
        } catch (NumberFormatException e) {
            return invalid(
                    "out-of-range",
                    field,
                    value.line(),
                    number.literal() + " is beyond the range of 32-bit numbers; correct it");
        }
    }

    private <T> Validation<Seq<ValidationProblem>, T> wrongType(
            String field, LocatedValue value, String expected) {
        return invalid(
                "wrong-type",
                field,
                value.line(),
                "is " + value.describe() + "; write " + expected);
    }

    private <T> Validation<Seq<ValidationProblem>, T> invalid(
            String code, String field, int line, String message) {
        return Validation.invalid(
                Vector.of(
                        new ValidationProblem(
                                code, kind.name(), label, field, "line " + line + ": " + message)));
    }
}
